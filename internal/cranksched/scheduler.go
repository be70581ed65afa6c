// Package cranksched is the planner of jobs with steps on leased workers. It
// works at the instance that holds the planner's term.
//
//	book (submissions, cancellations) -> jobs -> claim -> store
//	list, keepers (what runs, what ended) -> workers' books
//	round: jobs whose turn has come + free room -> start orders, stop orders
//	ends -> progress -> store -> acknowledged at the worker
//
// One goroutine owns all state. Calls run in goroutines of their own and post
// what became of them to its inbox.
//
// What a term's holder may rely on:
//
//   - A job is claimed in the store before its first task is started, under an
//     epoch that shuts out earlier holders. A job that is not claimed when a
//     term begins has never been started.
//   - A worker is entered in the roster in the store before it gets its first
//     order. A task of a job that an earlier holder claimed is started only
//     when each worker of the roster has answered under the new fence, or its
//     life or its lease is over: then it is known where the task runs.
//   - Numbers of runs grow with the term, so that no number is used twice.
//   - An order without an answer keeps its room until a report that was made
//     after the order's time was over does not list it.
package cranksched

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankboard"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"

	"github.com/uber-go/tally/v4"
)

// Holding is the planner's term.
type Holding interface {
	// Valid reports whether orders may still be given.
	Valid() bool
	// Resign gives the term up.
	Resign(reason string)
}

// Config sets up a Scheduler.
type Config struct {
	Term      int64
	Holding   Holding
	Store     crank.Store
	Book      *crankbook.Book
	Board     *crankboard.Board
	Decode    crankfleet.Decoder
	Workers   crank.LeaseDialer
	Bounds    crank.LeaseBounds
	Overlap   time.Duration // earlier holders may give orders for so long
	Retention time.Duration // ended jobs are kept this long
	Logger    *slog.Logger
	Scope     tally.Scope
}

// Times of the scheduler.
const (
	tick           = 50 * time.Millisecond   // between looks at what is due
	roundGap       = 10 * time.Millisecond   // between rounds, so that one answers several events
	roundShare     = 5                       // rounds take at most one part in so many of the time
	startTimeout   = 600 * time.Millisecond  // of one try of a start
	startTries     = 2                       // tries of a start that gets no answer
	startWindow    = 1600 * time.Millisecond // a start is refused by the worker later than this; two tries fit
	gangShare      = 0.6                     // of the time that a gang member waits for the others, for starts at the most
	stopTimeout    = 600 * time.Millisecond  // of one try of a stop
	stopMargin     = 300 * time.Millisecond  // for the report of an end, before a stop without effect is repeated
	gangEndTime    = 2 * time.Second         // the members of a gang that is done list their ends within one hold
	writeRetry     = 100 * time.Millisecond  // after a refused write
	unlistedGrace  = 2500 * time.Millisecond // an entry that lapsed while the store was away is back by then
	syncPeriod     = 200 * time.Millisecond  // between looks at workers that left the list
	sweepPeriod    = 5 * time.Second         // between removals of jobs that ended long ago
	drift          = 1.03                    // a worker's clock may be 2% slow
	takeoverMargin = 1 * time.Second         // added before an earlier holder's orders count as over
	inboxSize      = 256
)

// Scheduler is the planner during one term.
type Scheduler struct {
	Config
	inbox  chan func()
	list   *crankfleet.List
	writer *crankfeed.Writer
	ctx    context.Context

	revision  int64 // of the book, up to which jobs are taken over
	jobs      map[string]*job
	workers   map[string]*worker // by identity
	dirty     map[string]*job    // jobs whose progress is to be written
	acks      map[*worker]int64  // ends that may be acknowledged after the next write
	roster    map[string]bool    // lives in the stored roster
	pending   map[string]bool    // lives of earlier terms that are not accounted for
	settled   time.Time          // when pending counts as accounted for at the latest
	stale     bool               // the stored roster is to be replaced
	writing   bool
	retryAt   time.Time
	changed   bool // a round may find something to do
	roundAt   time.Time
	sweepAt   time.Time
	listed    int64 // version of the list that was taken in
	syncedAt  time.Time
	expiredAt time.Time
	within    map[string]bool    // workspaces whose urgent work is within their guarantee
	evidence  map[string]*record // what runs have shown of workers, by life
	dropped   map[string]bool    // jobs that ended in this term; the book may not show it yet

	gaugesAt   time.Time
	priorities map[int]bool // that jobs have had
}

// New returns a scheduler for one term. It works while Run runs.
func New(c Config) *Scheduler {
	return &Scheduler{
		Config:   c,
		inbox:    make(chan func(), inboxSize),
		list:     crankfleet.NewList(c.Decode, c.Logger),
		jobs:     make(map[string]*job),
		workers:  make(map[string]*worker),
		dirty:    make(map[string]*job),
		acks:     make(map[*worker]int64),
		roster:   make(map[string]bool),
		pending:  make(map[string]bool),
		evidence: make(map[string]*record),
		dropped:  make(map[string]bool),

		priorities: make(map[int]bool),
	}
}

// plannerProducer is the producer of the planner's records; the term is its
// epoch.
const plannerProducer = "planner"

// Run plans until the context ends.
func (s *Scheduler) Run(ctx context.Context) {
	s.ctx = ctx
	s.writer = crankfeed.NewWriter(crankfeed.WriterConfig{
		Store: s.Store, Topic: crank.JobTopic, Logger: s.Logger, Producer: plannerProducer, Epoch: s.Term,
	})
	if !s.takeOver(ctx) {
		return
	}
	feed := crankfeed.NewFollower(crankfeed.FollowerConfig{
		Store: s.Store, Topic: crank.WorkerTopic, Logger: s.Logger, Gap: crankfeed.Every(crankfleet.ListPeriod), Sink: s.list,
	})
	go s.writer.Run(ctx)
	go feed.Run(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		_, changed := s.Book.Get()
		s.step()
		select {
		case f := <-s.inbox:
			f()
			s.drain()
		case <-changed:
		case <-ticker.C:
			s.changed = true
		case <-ctx.Done():
			return
		}
	}
}

// takeOver shuts out earlier holders and reads all that they recorded.
func (s *Scheduler) takeOver(ctx context.Context) bool {
	begun := time.Now()
	record, err := crankbook.TermRecord(s.Term)
	if err != nil {
		s.Holding.Resign(err.Error())
		return false
	}
	end, err := s.writer.Seize(ctx, record)
	if err != nil {
		if ctx.Err() == nil {
			s.Holding.Resign("the epoch was not raised: " + err.Error())
		}
		return false
	}
	view, err := s.Book.Wait(ctx, func(v crankbook.View) bool { return v.End >= end })
	if err != nil {
		return false
	}
	for _, life := range view.State.Roster.Lives {
		s.roster[life], s.pending[life] = true, true
	}
	s.settled = time.Now().Add(s.Overlap + time.Duration(float64(s.Bounds.HoldLimit)*drift) + takeoverMargin)
	s.takeJobs(view.State, true)
	s.Logger.Info("sched: term taken over", "term", s.Term, "jobs", len(s.jobs), "roster", len(s.roster), "book-end", view.End, "took", time.Since(begun))
	return true
}

func (s *Scheduler) drain() {
	for {
		select {
		case f := <-s.inbox:
			f()
		default:
			return
		}
	}
}

// post hands a result to the goroutine that owns the state.
func (s *Scheduler) post(f func()) {
	select {
	case s.inbox <- f:
	case <-s.ctx.Done():
	}
}

// step takes in what changed outside and decides what to do.
func (s *Scheduler) step() {
	if state := s.Book.View().State; state.Revision != s.revision {
		s.takeJobs(state, false)
	}
	now := time.Now()
	s.syncWorkers(now)
	if now.Sub(s.expiredAt) >= tick {
		s.expiredAt = now
		s.expire(now)
	}
	if s.changed && s.Holding.Valid() && time.Since(s.roundAt) >= roundGap {
		s.changed = false
		begun := time.Now()
		s.round()
		took := time.Since(begun)
		s.Scope.Timer("round").Record(took)
		s.roundAt = begun.Add(took * roundShare)
	}
	s.write()
	s.sweep()
	s.updateGauges(now)
}
