// Package crankdispatch starts gangs: all parts of an attempt, or none.
//
// The steps of one attempt are
//
//	stop the evicted attempts and wait for their end
//	reserve every part; a reservation lapses by the worker's own clock
//	read the tail of the log, beginning after the last reservation
//	check that the attempt is current and its availability zones are in service
//	start every part under the reservations
//	record that the attempt was started
//
// When a step fails, every part is fenced and stopped, and the attempt is
// recorded as void if no part was ever started. The next owner of an attempt,
// after the death of the first, takes the same steps under a newer token:
// parts that run already are confirmed, the others are started, or all are
// stopped.
package crankdispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// Proposer appends records to the event stream.
type Proposer interface {
	ProposeOne(ctx context.Context, p crankstream.Priority, r crankrecord.Record) (crankfold.Verdict, error)
}

// Config sets up a Dispatcher.
type Config struct {
	Life    string // owner name of this instance
	Log     crank.Log
	Box     *crankbox.Box
	Writer  Proposer
	Members func() crankmembers.View
	Workers crank.WorkerDialer
	Logger  *slog.Logger
}

// Dispatcher starts the attempts that this instance owns.
type Dispatcher struct {
	Config
}

// New returns a dispatcher. It works while Run runs.
func New(c Config) *Dispatcher { return &Dispatcher{Config: c} }

// task identifies one attempt under one token.
type task struct {
	id    crank.AttemptID
	token crank.Position
}

const retryPeriod = 200 * time.Millisecond

// finishWait bounds the starts that are under way when the context ends.
const finishWait = 3 * time.Second

// Run starts attempts until the context ends, and finishes those under way.
func (d *Dispatcher) Run(ctx context.Context) error {
	running := make(map[task]*starter)
	ended := make(chan task)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		view, changed := d.Box.Get()
		for _, j := range view.State.Active() {
			t := task{id: j.ID(), token: j.Attempt.Token}
			if j.Attempt.Owner != d.Life || j.Attempt.Started || running[t] != nil {
				continue
			}
			s := &starter{Config: d.Config, id: t.id, token: t.token}
			running[t] = s
			wg.Go(func() {
				s.run(ctx)
				select {
				case ended <- t:
				case <-ctx.Done():
				}
			})
		}
		select {
		case t := <-ended:
			delete(running, t)
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}
