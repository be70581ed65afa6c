package cranksched

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankevidence"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
)

// worker is one incarnation of a worker, which lasts until the worker restarts.
type worker struct {
	entry            crank.WorkerEntry
	incarnation      string
	client           crank.LeasedWorker
	keeper           *crankfleet.LeaseKeeper
	stop             context.CancelFunc
	answered         bool      // has answered a renewal of this term
	accounted        bool      // with a complete report
	unreadable       bool      // its last report had rows that can't be read
	failedRenewals   int       // since the last answer
	laterMs          int64     // start time of another incarnation that has answered, 0 for none
	listedMs         int64     // start time of another incarnation that is listed, 0 for none
	contradicted     bool      // an earlier incarnation has answered
	silentSince      time.Time // of the first of them
	ending           bool      // its lease is not extended
	endingStored     bool      // a roster that says so may be stored
	ended            bool      // nothing runs there
	unlistedSince    time.Time // zero while it is listed
	leavesAt         time.Time // the earliest time at which it may leave, zero if that is not known
	lastEnd          int64     // number of the last handled end
	placements       map[crank.TaskID]*placement
	quarantinedUntil time.Time
	share            share
	watched          atomic.Bool // see needsWatch
}

// runState is the state of a placement.
type runState string

// States of a placement.
const (
	statePlanned  runState = "planned" // to be sent once it is stored that the job may run
	stateOrdered  runState = "ordered" // sent, not confirmed yet
	stateRunning  runState = "running"
	stateStopping runState = "stopping"
)

// placement is a run of a task that holds capacity on a worker.
type placement struct {
	id      crank.TaskID
	task    *task // nil for a run that no task needs
	worker  *worker
	run     int64
	demand  crank.Demand
	stepKey string
	step    *crank.Step
	state   runState
	// A report without the run proves that it does not exist if its renewal was sent when the
	// worker's clock was past conclusiveAfter, or after answeredAt, when an answer showed that.
	conclusiveAfter int64
	answeredAt      time.Time // zero without an answer
	startedAt       time.Time
	endBy           time.Time // when a run of a finished gang is stopped if it has not ended by itself
	stopRetryAt     time.Time
	reason          string // of the stop
	percent         float64
	progressedAt    time.Time     // when percent last changed, by this instance's clock
	unchanged       bool          // the last report brought no progress
	latency         time.Duration // newest tail of the response times, for a step with a latency target
	missed          int           // reports in a row in which it exceeds the target
	learning        *runLearning  // nil unless planning is adaptive and the run may be learned from
}

// syncWorkers adds newly listed incarnations and removes workers that have left.
func (s *Scheduler) syncWorkers(now time.Time) {
	version, read := s.list.Version()
	if !read || (version == s.listVersion && now.Sub(s.syncedAt) < syncPeriod) {
		return
	}
	s.listVersion, s.syncedAt = version, now
	entries := s.list.Entries()
	s.fleet.Store(int64(len(entries)))
	if d, ok := s.Workers.(crank.FleetSizer); ok {
		d.SetFleetSize(len(entries))
	}
	for _, id := range s.contactOrder(entries) {
		e := entries[id]
		w, known := s.workers[id]
		if known && !w.ended && e.StartTimeMs != w.entry.StartTimeMs {
			if w.listedMs != e.StartTimeMs {
				w.listedMs = e.StartTimeMs
				s.askListed(w, e)
			}
			v := s.judge(w, now)
			if !v.Over() {
				continue // see askNext
			}
			s.endIncarnation(w, v)
		}
		known = known && e.StartTimeMs == w.entry.StartTimeMs
		if !known {
			s.addWorker(e)
			continue
		}
		if w.entry.Draining != e.Draining {
			s.Logger.Info("sched: worker draining", "worker", id, "draining", e.Draining, "running", len(w.placements))
			s.changed = true
		}
		if e.Draining && e.DrainLeft > 0 && (!w.entry.Draining || e.DrainLeft != w.entry.DrainLeft) {
			w.leavesAt = now.Add(e.DrainLeft - crankfleet.ListPeriod)
		}
		moved := e.Addr != w.entry.Addr
		w.entry, w.unlistedSince, w.listedMs = e, time.Time{}, 0
		if moved {
			s.redirect(w)
		}
		if e.Draining {
			s.stopExtending(w)
		}
	}
	if !s.askedRoster {
		s.askedRoster = true
		s.askUnlisted(now)
	}
	for id, w := range s.workers {
		if _, listed := entries[id]; listed {
			continue
		}
		if w.unlistedSince.IsZero() {
			w.unlistedSince = now
		}
		if v := s.judge(w, now); !w.ended && w.mayEnd(v, now) && (v.Evidence() != crankevidence.LeaseOver || now.Sub(w.unlistedSince) > unlistedGrace) {
			s.endIncarnation(w, v)
		}
		if w.ended {
			delete(s.workers, id)
		}
	}
}

// contactOrder returns the IDs of listed workers in the order in which they are first renewed.
// At the takeover of a fleet whose first renewals are paced, workers come first at which urgent
// tasks may run that an earlier term has started; these wait for the answer.
func (s *Scheduler) contactOrder(entries map[string]crank.WorkerEntry) []string {
	ids := slices.Collect(maps.Keys(entries))
	if len(s.workers) > 0 || len(entries) <= crankfleet.MaxFirstRenewals {
		return ids
	}
	awaited := make(map[string]bool) // incarnations
	for _, j := range s.jobs {
		if j.spec.Priority != 0 {
			continue
		}
		for _, o := range j.open {
			for _, t := range o.tasks {
				if t.held && t.recorded != 0 {
					awaited[s.roster.named[t.recorded]] = true
				}
			}
		}
	}
	rank := func(id string) int {
		if awaited[crankfleet.Incarnation(entries[id])] {
			return 0
		}
		return 1
	}
	slices.SortFunc(ids, func(a, b string) int { return rank(a) - rank(b) })
	return ids
}

// FleetSize returns the number of listed workers, and false before there is one.
func (s *Scheduler) FleetSize() (int, bool) {
	n := s.fleet.Load()
	return int(n), n > 0
}

// askUnlisted asks the incarnations of the inherited roster that are not listed for
// their runs, and looks up in the history of the topic which of them have left.
func (s *Scheduler) askUnlisted(now time.Time) {
	asked := 0
	for incarnation := range s.unaccounted {
		id, started, ok := crankfleet.ParseIncarnation(incarnation)
		addr := s.roster.addrs[incarnation]
		if !ok || addr == "" || s.workers[id] != nil {
			continue
		}
		s.addWorker(crank.WorkerEntry{ID: id, StartTimeMs: started, Addr: addr})
		s.workers[id].unlistedSince = now
		asked++
	}
	if from, ok := s.Timeline.EndBefore(historyTime); ok && asked > 0 {
		go s.readHistory(from)
	}
}

// readHistory passes the records of the worker topic from an offset on to the list.
func (s *Scheduler) readHistory(from crank.Offset) {
	begun, next := time.Now(), from
	var records []crank.KeyedRecord
	for time.Since(begun) < historyReadTime {
		ctx, cancel := context.WithTimeout(s.ctx, historyReadTime)
		batch, err := s.Store.Read(ctx, crank.WorkerTopic, next, 0)
		cancel()
		if kind := crank.KindOf(err); err != nil && (s.ctx.Err() != nil || kind == crank.KindExpired) {
			s.Logger.Warn("sched: history of the worker list not read", "from", next, "error", err)
			return
		}
		if err != nil {
			crankfeed.Sleep(s.ctx, writeRetry)
			continue
		}
		records = append(records, batch.Records...)
		if len(batch.Records) > 0 {
			next = batch.Records[len(batch.Records)-1].Offset + 1
		}
		if next >= batch.End {
			s.Logger.Info("sched: history of the worker list read", "from", from, "end", next, "took", time.Since(begun))
			s.list.ReadHistory(records)
			return
		}
	}
	s.Logger.Warn("sched: history of the worker list not read in time", "from", from, "next", next)
}

// redirect sends orders and renewals to the address at which an incarnation is listed now.
func (s *Scheduler) redirect(w *worker) {
	s.Logger.Info("sched: worker has another address", "worker", w.entry.ID, "born", w.entry.StartTimeMs, "addr", w.entry.Addr, "running", len(w.placements))
	w.client = s.Workers.LeasedWorker(w.entry)
	w.keeper.Redirect(w.client)
	if s.roster.addrs[w.incarnation] != "" {
		s.roster.addrs[w.incarnation], s.roster.stale = w.entry.Addr, true
	}
}

// askNext asks the next incarnation of a worker for its runs before it is listed.
func (s *Scheduler) askNext(w *worker, startTimeMs int64) {
	s.addWorker(crank.WorkerEntry{ID: w.entry.ID, StartTimeMs: startTimeMs, Addr: w.entry.Addr})
	s.workers[w.entry.ID].unlistedSince = time.Now()
}

// askListed asks whether a later incarnation has begun that is listed, without waiting for
// the renewal that is under way.
func (s *Scheduler) askListed(w *worker, e crank.WorkerEntry) {
	if e.StartTimeMs < w.entry.StartTimeMs || !s.Leadership.Valid() {
		return
	}
	client := s.Workers.LeasedWorker(e)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, startTimeout)
		defer cancel()
		if _, err := client.Renew(ctx, crank.RenewOrder{Fence: s.Term}); err != nil {
			return // the renewals tell
		}
		s.post(func() {
			if w.ended {
				return
			}
			w.laterMs = max(w.laterMs, e.StartTimeMs)
			if v := s.judge(w, time.Now()); v.Over() {
				s.endIncarnation(w, v)
				s.addWorker(e)
			}
		})
	}()
}

// addWorker starts to renew the lease of a new incarnation.
func (s *Scheduler) addWorker(e crank.WorkerEntry) {
	ctx, stop := context.WithCancel(s.ctx)
	w := &worker{entry: e, incarnation: crankfleet.Incarnation(e), client: s.Workers.LeasedWorker(e), stop: stop, placements: make(map[crank.TaskID]*placement)}
	w.keeper = crankfleet.NewLeaseKeeper(crankfleet.LeaseKeeperConfig{
		Entry:    e,
		Worker:   w.client,
		Fence:    s.Term,
		MaxLease: s.Bounds.MaxLease,
		Valid:    s.Leadership.Valid,
		Limit:    s.Leadership.LeaseLimit,
		Former:   s.Former.End,
		Uptime:   s.Uptime,
		Watched:  w.watched.Load,
		Pace:     s.firstRenewals,
		OnRenew:  func(r crankfleet.RenewResult) { s.post(func() { s.handleReport(w, r) }) },
	})
	s.workers[e.ID] = w
	if s.roster.limited[w.incarnation] {
		w.endingStored = true
	}
	if e.Draining || w.endingStored {
		s.stopExtending(w)
	}
	go w.keeper.Run(ctx)
}

// stopExtending leaves the lease of a worker as it is. From when that is stored, a later
// planner knows how long the lease may last.
func (s *Scheduler) stopExtending(w *worker) {
	if !w.ending {
		w.ending = true
		w.keeper.StopExtending()
	}
	s.roster.stale = s.roster.stale || (!w.endingStored && s.roster.stored[w.incarnation])
}

// resumeExtending extends the lease again, once it is stored that it is.
func (s *Scheduler) resumeExtending(w *worker) {
	switch {
	case !w.ending || w.entry.Draining || w.failedRenewals > 0 || w.unreadable:
	case w.endingStored:
		s.roster.stale = true // see resumeStored
	default:
		w.ending = false
		w.keeper.ResumeExtending()
		s.changed = true
	}
}
