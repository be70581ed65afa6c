// Package crankwitness keeps what runs achieve at a worker that drains while there is no
// leader, or that the leader can't reach. Instances that don't hold the planner's term look at
// the workers that drain or don't answer the holder, and store the ends that they list once the
// holder is silent. The next leader would otherwise know nothing of them if the worker has left
// before it asks. They also store ends that nobody acknowledges in time, and the last ends of a
// worker that stops answering, since the answer to the holder may have been cut off when the
// worker left.
//
// A look carries the fencing token of the term in whose roster the worker drains. It
// acknowledges no end and does not extend the lease, and a worker that has seen a later
// term refuses it.
package crankwitness

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/cranklead"
)

// Timing of looks and records.
const (
	checkPeriod  = 100 * time.Millisecond  // between checks of what is to be stored, while workers are watched
	lookWait     = 1500 * time.Millisecond // longest wait of one look for an end
	lookTimeout  = 700 * time.Millisecond  // of one look, beyond its wait
	lookPause    = 80 * time.Millisecond   // while ends are listed, which a look does not wait for
	storeRetry   = 200 * time.Millisecond  // after a record that was not stored
	ackTime      = 500 * time.Millisecond  // in which a holder that reaches the worker stores and acknowledges an end
	maxFailures  = 2                       // looks without an answer in a row, before a worker is given up; one if it has never answered
	storeTimeout = 1 * time.Second         // of one record
)

// Config holds the settings and dependencies of a Witness.
type Config struct {
	Instance string
	Jobs     *crankjobs.JobReplica
	Term     func() cranklead.Term // the newest one
	Silent   func() bool           // whether its holder is silent
	Workers  crank.LeaseDialer
	Writer   *crankfeed.Writer    // of the job topic
	Store    crank.Store          // to read the worker topic while the holder is silent
	Decode   crankfleet.Decoder   // of the worker topic
	Timeline *crankfleet.Timeline // of the worker topic
	Logger   *slog.Logger
}

// Witness watches workers that drain.
type Witness struct {
	Config
	inbox      chan func()
	watches    map[string]*watch // by incarnation
	rosterSeen time.Time         // of the roster that was applied last
	term       int64             // newest one at that time
}

// watch is a worker that this instance looks at.
type watch struct {
	fence   int64
	ends    ends
	unacked time.Time // since when ends are listed that are not stored; zero if none are
	storing bool
	late    bool // the holder of the term has not recorded that the worker drains
	failing bool // the last look got no answer; the holder may have got none to its last renewal either
	stop    context.CancelFunc
}

// New returns a witness. It works while Run runs.
func New(c Config) *Witness {
	return &Witness{Config: c, inbox: make(chan func()), watches: make(map[string]*watch)}
}

// Run watches workers until the context ends.
func (w *Witness) Run(ctx context.Context) error {
	go w.findDrains(ctx)
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		_, changed := w.Jobs.Watch()
		w.store(ctx)
		w.syncRoster(ctx)
		var check <-chan time.Time
		if len(w.watches) > 0 {
			check = ticker.C
		}
		select {
		case f := <-w.inbox:
			f()
		case <-changed:
		case <-check:
		case <-ctx.Done():
			return nil
		}
	}
}

// post runs f on the goroutine of Run.
func (w *Witness) post(ctx context.Context, f func()) {
	select {
	case w.inbox <- f:
	case <-ctx.Done():
	}
}

// syncRoster watches the workers whose lease the roster limits, which are those that
// drain and those that don't answer.
func (w *Witness) syncRoster(ctx context.Context) {
	state, term := w.Jobs.View().State, w.Term()
	if state.RosterSeen.Equal(w.rosterSeen) && term.Number == w.term {
		return
	}
	w.rosterSeen, w.term = state.RosterSeen, term.Number
	for incarnation, watched := range w.watches {
		if _, ok := state.Roster.LeaseLeft[incarnation]; !ok && !(watched.late && state.Roster.Term == watched.fence) {
			watched.stop()
			delete(w.watches, incarnation)
		}
	}
	holder := cranklead.InstanceOf(term.Holder)
	if state.Roster.Term != term.Number || holder == w.Instance || len(state.Roster.LeaseLeft) == 0 {
		return
	}
	candidates := candidatesOf(state, holder)
	for i, incarnation := range state.Roster.Incarnations {
		if _, ok := state.Roster.LeaseLeft[incarnation]; !ok || !watches(w.Instance, candidates, incarnation) {
			continue
		}
		id, started, ok := crankfleet.ParseIncarnation(incarnation)
		if addr := state.Roster.Addr(i); ok && addr != "" {
			w.watch(ctx, incarnation, crank.WorkerEntry{ID: id, StartTimeMs: started, Addr: addr}, term.Number)
		}
	}
}

// candidatesOf returns the instances that may watch workers while an instance holds the term.
func candidatesOf(s crankjobs.State, holder string) []string {
	var candidates []string
	live, _ := s.Instances(time.Now())
	for _, a := range live {
		if a.ID != holder {
			candidates = append(candidates, a.ID)
		}
	}
	return candidates
}

// watch looks at an incarnation under a term, unless it is watched under that one.
func (w *Witness) watch(ctx context.Context, incarnation string, e crank.WorkerEntry, fence int64) {
	watched := &watch{fence: fence}
	if former := w.watches[incarnation]; former != nil {
		if former.fence == fence {
			return
		}
		former.stop()
		watched.ends = former.ends
	}
	lookCtx, stop := context.WithCancel(ctx)
	watched.stop = stop
	w.watches[incarnation] = watched
	go w.look(lookCtx, watched, w.Workers.LeasedWorker(e))
}

// look asks a worker for its ends until it has left, or a later leader has asked it.
func (w *Witness) look(ctx context.Context, watched *watch, worker crank.LeasedWorker) {
	for failures := maxFailures - 1; failures < maxFailures && ctx.Err() == nil; {
		callCtx, cancel := context.WithTimeout(ctx, lookWait+lookTimeout)
		r, err := worker.Renew(callCtx, crank.RenewOrder{Fence: watched.fence, Wait: lookWait})
		cancel()
		switch kind := crank.KindOf(err); {
		case err == nil:
			failures = 0
			w.post(ctx, func() { watched.noteReport(r) })
		case kind == crank.KindFenced || kind == crank.KindNotFound || kind == crank.KindConflict:
			return
		default:
			failures++
			w.post(ctx, func() { watched.failing = true })
		}
		if err != nil || len(r.Ended) > 0 {
			crankfeed.Sleep(ctx, lookPause)
		}
	}
}

// noteReport takes note of an answer to a look.
func (w *watch) noteReport(r crank.RenewReport) {
	w.ends, w.failing = w.ends.WithReport(r), false
	switch {
	case !w.ends.Unstored():
		w.unacked = time.Time{}
	case w.unacked.IsZero():
		w.unacked = time.Now()
	}
}

// isOverlooked reports whether the holder of the term, which is not silent, does not take note
// of ends: it can't reach the worker, or could not at last.
func (w *watch) isOverlooked() bool {
	return w.failing || (!w.unacked.IsZero() && time.Since(w.unacked) >= ackTime)
}

// store stores the ends that no leader takes note of: those listed while the holder of
// the term is silent or has just been followed by another, those that stay listed, and those
// that a worker listed, and nobody had acknowledged, right before it left.
func (w *Witness) store(ctx context.Context) {
	if len(w.watches) == 0 {
		return
	}
	silent, term := w.Silent(), w.Term().Number
	for incarnation, watched := range w.watches {
		if watched.storing || !watched.ends.Unstored() || !(silent || term != watched.fence || watched.isOverlooked()) {
			continue
		}
		done := watched.ends.listed
		record, err := crankjobs.WitnessedEndsRecord(crankjobs.WitnessedEnds{Incarnation: incarnation, Witness: w.Instance, Done: done})
		if err != nil {
			w.Logger.Error("witness: ends not encoded", "incarnation", incarnation, "error", err)
			continue
		}
		watched.storing = true
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			_, err := w.Writer.Append(callCtx, record)
			w.Logger.Info("witness: ends stored", "incarnation", incarnation, "term", watched.fence, "done", len(done), "error", err)
			if err != nil {
				crankfeed.Sleep(ctx, storeRetry)
			}
			w.post(ctx, func() {
				watched.storing = false
				if err == nil {
					watched.ends, watched.unacked = watched.ends.WithStored(done), time.Time{}
				}
			})
		}()
	}
}
