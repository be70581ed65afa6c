package cranksched

import (
	"math"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankhealth"
	"cranberrycrank/internal/crankpack"
)

// workerHealth counts failures on one incarnation of a worker since its last
// successful run.
type workerHealth struct {
	failedJobs  map[string]bool    // jobs with a failed run
	stalledRuns int                // runs stopped for lack of progress
	record      crankhealth.Record // where planning is adaptive, instead of failedJobs
}

// Limits of worker health.
const (
	quarantineThreshold = 2               // jobs that fail in a row until the worker is quarantined
	quarantineTime      = 8 * time.Second // how long the worker gets no new tasks
	maxQuarantineShare  = 4               // at most one of so many workers of a pool or with a label is quarantined
)

func (s *Scheduler) healthOf(w *worker) *workerHealth {
	h := s.health[w.incarnation]
	if h == nil {
		h = &workerHealth{failedJobs: make(map[string]bool)}
		s.health[w.incarnation] = h
	}
	return h
}

func (s *Scheduler) failureCount(w *worker) int {
	h := s.health[w.incarnation]
	if h == nil {
		return 0
	}
	if s.Planning.Adaptive {
		return h.record.Penalty(time.Now()) + h.stalledRuns
	}
	return len(h.failedJobs) + h.stalledRuns
}

// recordSuccess takes note of a completed run. Begun is when it was started, zero if that is
// not known.
func (s *Scheduler) recordSuccess(w *worker, t *task, begun time.Time) {
	if !s.Planning.Adaptive {
		delete(s.health, w.incarnation)
		return
	}
	h := s.healthOf(w)
	h.stalledRuns = 0
	if !begun.IsZero() {
		h.record = h.record.WithSuccess(begun, time.Now())
	}
	t.job.setResults(t, t.job.results[t.id.Step].WithSuccess())
}

// recordFailure counts a failed run and quarantines a worker on which several jobs
// failed in a row.
//
// Load pattern: a burst of jobs that can never be done fails on every worker.
func (s *Scheduler) recordFailure(w *worker, t *task, begun time.Time) {
	if s.Planning.Adaptive {
		s.recordFailedRun(w, t, begun)
		return
	}
	h, job := s.healthOf(w), t.job.spec.ID
	h.failedJobs[job] = true
	if len(h.failedJobs) >= quarantineThreshold && s.mayQuarantine(w) {
		s.quarantine(w, "consecutive failed runs", len(h.failedJobs))
	}
}

// recordFailedRun is recordFailure where planning is adaptive. The failures of a job that
// fails everywhere count against no worker.
func (s *Scheduler) recordFailedRun(w *worker, t *task, begun time.Time) {
	j, now := t.job, time.Now()
	results := j.results[t.id.Step].WithFailure(w.incarnation)
	j.setResults(t, results)
	running := 0
	if !t.step.Gang && t.occurrence != nil { // a gang ends with its first member
		for _, m := range t.members() {
			if m.placement != nil && m.placement.state == stateRunning {
				running++
			}
		}
	}
	if results.FailsEverywhere(running) {
		s.Logger.Info("sched: failures not counted, the step fails everywhere", "task", t.id, "workers", len(results.FailedAt()), "running", running)
		for _, incarnation := range results.FailedAt() {
			if h := s.health[incarnation]; h != nil {
				h.record = h.record.WithoutJob(j.spec.ID)
			}
		}
		return
	}
	h, ran := s.healthOf(w), time.Duration(math.MaxInt64)
	if !begun.IsZero() {
		ran = now.Sub(begun)
	}
	s.setRecord(w, h.record.WithFailure(j.spec.ID, now, ran), now, "failed run")
	if n := h.record.FailedJobs(); n >= quarantineThreshold && s.mayQuarantine(w) {
		s.quarantine(w, "consecutive failed runs", n)
	}
}

// setRecord replaces the record of a worker after a fault.
func (s *Scheduler) setRecord(w *worker, r crankhealth.Record, now time.Time, why string) {
	h := s.healthOf(w)
	if before := h.record.Trust(now); before > crankhealth.Suspect && r.Trust(now) == crankhealth.Suspect {
		s.Logger.Info("sched: worker suspect", "worker", w.entry.ID, "why", why, "trust-before", int(before), "for", crankhealth.SuspectTime)
		s.Scope.Counter("workers_suspected").Inc(1)
	}
	h.record = r
}

func (j *job) setResults(t *task, results crankhealth.Step) {
	if j.results == nil {
		j.results = make(map[int]crankhealth.Step)
	}
	j.results[t.id.Step] = results
}

// begun returns when a run was started, zero if that is not known.
func (p *placement) begun() time.Time {
	if p == nil {
		return time.Time{}
	}
	return p.startedAt
}

// recordRefusedStart takes note of a start that the worker refused, or did not answer. An
// answer of another incarnation, or that the order is wrong or late, is no fault of it.
func (s *Scheduler) recordRefusedStart(p *placement, err error) {
	if !s.Planning.Adaptive || err == nil || s.ctx.Err() != nil {
		return
	}
	switch crank.KindOf(err) {
	case crank.KindRefused, crank.KindUnavailable, crank.KindUnknown:
		s.setRecord(p.worker, s.healthOf(p.worker).record.WithRefusal(time.Now()), time.Now(), "refused start")
	}
}

// judgeWorkers sets how far the workers of each pool are trusted. Where planning is not
// adaptive, all are trusted alike.
func (s *Scheduler) judgeWorkers(pools map[string][]*crankpack.WorkerCapacity, now time.Time) {
	if !s.Planning.Adaptive {
		return
	}
	s.poolHealth = make(map[string]crankhealth.Pool, len(pools))
	for name, workers := range pools {
		records := make([]crankhealth.Record, len(workers))
		for i, c := range workers {
			records[i] = s.recordOf(s.workers[c.Worker], now)
		}
		p := crankhealth.NewPool(records, now)
		for i, c := range workers {
			trust := records[i].TrustIn(p, now)
			c.Trust = int(trust)
			p = p.With(trust, c.Schedulable)
		}
		if !p.RestsSuspects() {
			for _, c := range workers {
				c.Trust = max(c.Trust, int(crankhealth.Suspect))
			}
		}
		s.poolHealth[name] = p
	}
}

// recordOf returns the record of a worker with the runs that did not fail at once.
func (s *Scheduler) recordOf(w *worker, now time.Time) crankhealth.Record {
	var kept time.Time
	for _, p := range w.placements {
		adopted := p.conclusiveAfter == 0 // its start is not known
		if p.state == stateRunning && !adopted && now.Sub(p.startedAt) >= crankhealth.KeptTime && p.startedAt.After(kept) {
			kept = p.startedAt
		}
	}
	h := s.health[w.incarnation]
	if h == nil && kept.IsZero() {
		return crankhealth.Record{}
	}
	h = s.healthOf(w)
	h.record = h.record.WithKept(kept)
	return h.record
}

// withTrust has a request for tasks use only workers that are trusted enough, and takes note
// of the time while only others have room. It reports whether the tasks rather wait than have
// other work preempted: that costs more than the wait unless the attempt is the last one.
func (s *Scheduler) withTrust(q crankpack.Request, tasks []*task, pool *crankpack.Pool, now time.Time) (trusted crankpack.Request, waits bool) {
	if !s.Planning.Adaptive {
		return q, false
	}
	t := tasks[0]
	if now.Sub(t.waitingSince) > crankhealth.MaxWait {
		q.Avoid = nil // as after avoidTime
	}
	need := crankhealth.Need{Gang: t.step.Gang, Urgent: t.job.spec.Priority == 0}
	if limit := t.job.spec.Attempts; limit > 0 {
		need.AttemptsLeft = max(1, limit-t.failures())
	}
	declines := !t.declinedAt.IsZero() && !t.declinedAt.Before(t.waitingSince)
	if declines {
		need.Declined = now.Sub(t.declinedAt)
	}
	choice := s.poolHealth[t.job.spec.Pool].Choose(need)
	trusted = q
	trusted.LeastTrust, trusted.TrustOrder = int(choice.Require), int(choice.Order)
	if pool.Place(trusted, crankpack.FreeCapacity) != nil {
		return trusted, false
	}
	if q.LeastTrust = int(crankhealth.Resting); choice.Require == crankhealth.Resting || pool.Place(q, crankpack.FreeCapacity) == nil {
		return trusted, false
	}
	if !declines {
		t.declinedAt = now
		s.Logger.Info("sched: placement declined", "task", t.id, "least-trust", trusted.LeastTrust, "attempts-left", need.AttemptsLeft)
	}
	return trusted, need.AttemptsLeft != 1
}

// mayQuarantine reports whether enough workers stay in use beside those in quarantine, of
// the pool and of those that share a label with the worker. The only one of the pool, or with a
// label that work requires, is never quarantined.
func (s *Scheduler) mayQuarantine(w *worker) bool {
	const anyLabel = ""
	all, quarantined, now := make(map[string]int), make(map[string]int), time.Now()
	for _, other := range s.workers {
		if other.ended || other.entry.Pool != w.entry.Pool {
			continue
		}
		for _, label := range append([]string{anyLabel}, other.entry.Labels...) {
			all[label]++
			if other != w && now.Before(other.quarantinedUntil) {
				quarantined[label]++
			}
		}
	}
	for _, label := range append([]string{anyLabel}, w.entry.Labels...) {
		if all[label] == 1 && (label == anyLabel || s.isRequired(label, w.entry.Pool)) {
			return false
		}
		if quarantined[label] >= max(1, all[label]/maxQuarantineShare) {
			return false
		}
	}
	return true
}

// isRequired reports whether a step of a job on a pool requires a label.
func (s *Scheduler) isRequired(label, pool string) bool {
	for _, j := range s.jobs {
		if j.spec.Pool == pool && !j.ending() && slices.ContainsFunc(j.spec.Steps, func(st crank.Step) bool { return st.Label == label }) {
			return true
		}
	}
	return false
}

func (s *Scheduler) quarantine(w *worker, why string, count int) {
	w.quarantinedUntil = time.Now().Add(quarantineTime)
	s.Logger.Warn("sched: worker quarantined", "worker", w.entry.ID, "why", why, "count", count, "for", quarantineTime)
}

func (t *task) avoidWorker(worker string) {
	if t.avoided == nil {
		t.avoided = make(map[string]bool)
	}
	t.avoided[worker] = true
}
