// Package crankdispatch starts the attempts that an instance owns: all parts of a
// gang, or none.
//
// The steps of one attempt are
//
//	stop the evicted attempts and wait until they have ended
//	reserve every part; a reservation expires by the worker's own clock
//	read the log to its end, beginning the read after the last reservation
//	check that the attempt is current and its workers and zones are in service
//	start every part under the reservations
//	record that the attempt was started
//
// When a step fails, every part is fenced or stopped, and the attempt is recorded
// as void if no part was ever started. The new owner of a reassigned attempt takes
// the same steps under a newer fencing token: parts that already run are confirmed
// and the others are started, or all are stopped.
package crankdispatch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// Proposer appends records to the event stream.
type Proposer interface {
	ProposeOne(ctx context.Context, p crankstream.Priority, r crankrecord.Record) (crankstate.Verdict, error)
}

// Config holds the dependencies of a Dispatcher.
type Config struct {
	Incarnation string // of this instance, recorded as the owner of its attempts
	Log         crank.Log
	Cache       *crankcache.StateCache
	Writer      Proposer
	Members     func() crankmembers.View
	Workers     crank.WorkerDialer
	Logger      *slog.Logger
}

// Dispatcher starts the attempts that this instance owns.
type Dispatcher struct {
	Config
}

// New returns a dispatcher; Run starts it.
func New(c Config) *Dispatcher { return &Dispatcher{Config: c} }

// attemptKey identifies one attempt under one fencing token.
type attemptKey struct {
	id    crank.AttemptID
	token crank.Position
}

// stateWaitTimeout bounds the wait for the state to show a proposed record.
const stateWaitTimeout = 200 * time.Millisecond

// shutdownTimeout bounds the starts that are in progress when the context ends.
const shutdownTimeout = 3 * time.Second

// Run starts attempts until the context ends, then waits for those in progress.
func (d *Dispatcher) Run(ctx context.Context) error {
	starters := make(map[attemptKey]*starter)
	ended := make(chan attemptKey)
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		view, changed := d.Cache.Get()
		for _, j := range view.State.Active() {
			key := attemptKey{id: j.ID(), token: j.Attempt.Token}
			if j.Attempt.Owner != d.Incarnation || j.Attempt.Started || starters[key] != nil {
				continue
			}
			s := &starter{Config: d.Config, id: key.id, token: key.token}
			starters[key] = s
			wg.Go(func() {
				s.run(ctx)
				select {
				case ended <- key:
				case <-ctx.Done():
				}
			})
		}
		select {
		case key := <-ended:
			delete(starters, key)
		case <-changed:
		case <-ctx.Done():
		}
	}
	return nil
}
