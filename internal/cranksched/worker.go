package cranksched

import (
	"context"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"
)

// worker is one life of a worker and what holds room there.
type worker struct {
	entry    crank.WorkerEntry
	life     string
	client   crank.LeasedWorker
	keeper   *crankfleet.Keeper
	stop     context.CancelFunc
	held     bool // it has answered under this term
	failing  int  // holds without an answer since the last one
	over     bool // its life is over
	unlisted time.Time
	seen     int64 // ends up to this number were taken in
	places   map[crank.TaskID]*placement
	shunned  time.Time // no new starts before then
}

// state is the state of a placement.
type state string

// States of a placement.
const (
	ordered  state = "ordered" // the start has no answer yet
	running  state = "running"
	stopping state = "stopping"
)

// placement is a run of a task that holds room at a worker.
type placement struct {
	id      crank.TaskID
	task    *task // nil for a run that nobody wants
	worker  *worker
	run     int64
	room    crank.Demand
	key     string // of the step's occurrence
	step    *crank.Step
	state   state
	certain int64 // a report made later on the worker's clock lists the run if it is there
	began   time.Time
	endBy   time.Time // by then a run of a gang that is done has ended by itself
	stopAt  time.Time // when the stop is tried again
	reason  string    // of the stop
	percent float64
	moved   time.Time // when percent last changed
}

// syncWorkers takes in the list of workers.
func (s *Scheduler) syncWorkers(now time.Time) {
	version, read := s.list.Version()
	if !read || (version == s.listed && now.Sub(s.syncedAt) < syncPeriod) {
		return
	}
	s.listed, s.syncedAt = version, now
	entries := s.list.Entries()
	for id, e := range entries {
		w, known := s.workers[id]
		if known && w.entry.Born != e.Born {
			s.endLife(w, "a newer life is listed")
			known = false
		}
		if !known {
			s.addWorker(e)
			continue
		}
		if w.entry.Draining != e.Draining {
			s.Logger.Info("sched: worker draining", "worker", id, "draining", e.Draining, "running", len(w.places))
			s.changed = true
		}
		w.entry, w.unlisted = e, time.Time{}
	}
	for id, w := range s.workers {
		if _, listed := entries[id]; listed {
			continue
		}
		if w.unlisted.IsZero() {
			w.unlisted = now
		}
		// A worker that said that it leaves, and is neither listed nor answers,
		// has left. Another one may be cut off and run on until its lease is over,
		// which an earlier holder of the term may still extend while the worker is
		// not accounted for.
		gone := w.entry.Draining || (!s.pending[w.life] && now.After(w.keeper.LeaseOver()))
		if w.over || (now.Sub(w.unlisted) > unlistedGrace && w.failing > 0 && gone) {
			s.endLife(w, "it is not listed any more")
			delete(s.workers, id)
			if s.roster[w.life] {
				delete(s.roster, w.life)
				s.stale = true
			}
		}
	}
}

func (s *Scheduler) addWorker(e crank.WorkerEntry) {
	ctx, stop := context.WithCancel(s.ctx)
	w := &worker{entry: e, life: crankfleet.Life(e), client: s.Workers.LeasedWorker(e), stop: stop, places: make(map[crank.TaskID]*placement)}
	w.keeper = crankfleet.NewKeeper(crankfleet.KeeperConfig{
		Entry:  e,
		Worker: w.client,
		Fence:  s.Term,
		Limit:  s.Bounds.HoldLimit,
		Valid:  s.Holding.Valid,
		Report: func(r crankfleet.Report) { s.post(func() { s.takeReport(w, r) }) },
	})
	s.workers[e.ID] = w
	s.stale = s.stale || !s.roster[w.life]
	go w.keeper.Run(ctx)
}

// endLife gives up a worker whose life is over: nothing runs there any more.
func (s *Scheduler) endLife(w *worker, reason string) {
	w.stop()
	w.over = true
	if s.pending[w.life] {
		s.account(w.life)
	}
	s.Logger.Info("sched: worker over", "worker", w.entry.ID, "born", w.entry.Born, "reason", reason, "lost", len(w.places))
	for _, p := range w.places {
		s.release(p, "worker over")
	}
	delete(s.acks, w)
	s.changed = true
}

// account notes that it is known what runs at a worker of an earlier term.
func (s *Scheduler) account(life string) {
	delete(s.pending, life)
	if len(s.pending) == 0 {
		s.Logger.Info("sched: all workers accounted for", "term", s.Term)
	}
	s.changed = true
}

// open reports whether tasks may be started at a worker.
func (s *Scheduler) open(w *worker, out map[string]bool, now time.Time) bool {
	return w.held && !w.over && w.failing == 0 && !w.entry.Draining && !out[w.entry.Zone] && s.roster[w.life] &&
		(w.unlisted.IsZero() || now.Sub(w.unlisted) < unlistedGrace) && !now.Before(w.shunned)
}

// expire gives up what can't run any more, and repeats stops.
func (s *Scheduler) expire(now time.Time) {
	if len(s.pending) > 0 && now.After(s.settled) {
		s.Logger.Warn("sched: workers not accounted for, their leases are over", "workers", len(s.pending))
		clear(s.pending)
		s.changed = true
	}
	for _, w := range s.workers {
		if w.failing > 0 && len(w.places) > 0 && now.After(w.keeper.LeaseOver()) {
			s.Scope.Counter("leases_lapsed").Inc(1)
			s.Logger.Warn("sched: lease over without an answer", "worker", w.entry.ID, "born", w.entry.Born, "lost", len(w.places))
			for _, p := range w.places {
				s.release(p, "lease over")
			}
		}
		for _, p := range w.places {
			if p.state == stopping && now.After(p.stopAt) {
				s.sendStop(p)
			}
		}
	}
}

// release frees the room of a run that is not at its worker any more. Its task
// waits again.
func (s *Scheduler) release(p *placement, why string) {
	delete(p.worker.places, p.id)
	s.changed = true
	if p.task == nil || p.task.place != p {
		return
	}
	p.task.place = nil
	p.task.idle = time.Now()
	p.task.job.running--
	if why != "" {
		s.Logger.Info("sched: run over", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "why", why)
	}
}
