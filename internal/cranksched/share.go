package cranksched

import (
	"time"

	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankpack"
)

// Parameters of workers that best-effort tasks share with tasks with a latency target.
const (
	shareDelay     = 1500 * time.Millisecond // a best-effort task that waits longer may share a worker
	shareSettle    = 2 * time.Second         // between two starts at one worker, until reports show what the first one did
	sharedLatency  = 0.7                     // of the target; a worker with slower responses takes no best-effort task
	missedReports  = 2                       // in a row over the target before best-effort tasks make way
	latestReports  = 4                       // likewise for those that MaxUnavailable keeps
	firstShareRest = 30 * time.Second        // for which a worker then takes none; doubles each time
	maxShareRest   = 10 * time.Minute
)

// share is what is known of best-effort tasks beside tasks with a latency target at one worker.
type share struct {
	restUntil time.Time     // takes no best-effort task until then
	rest      time.Duration // newest
}

// noteLoad takes note of the response times in a report of a run with a latency target.
func (p *placement) noteLoad(load float64) {
	if p.step == nil || p.step.Latency == 0 {
		return
	}
	p.latency = time.Duration(load * float64(time.Millisecond))
	if p.latency > p.step.Latency {
		p.missed++
	} else {
		p.missed = 0
	}
}

// protectLatency stops best-effort tasks at a worker where the response times of a task exceed
// its target.
func (s *Scheduler) protectLatency(w *worker, r crankfleet.RenewResult) {
	var harmed *placement
	var beside []*placement
	for _, p := range w.placements {
		switch {
		case p.step == nil || p.state == stateStopping:
		case p.step.BestEffort && p.task != nil:
			beside = append(beside, p)
		case p.missed >= missedReports:
			harmed = p
		}
	}
	if harmed == nil || len(beside) == 0 {
		return
	}
	if r.Received.After(w.share.restUntil) {
		w.share.rest = min(max(firstShareRest, 2*w.share.rest), maxShareRest)
		w.share.restUntil = r.Received.Add(w.share.rest)
	}
	budgets := make(stopBudgets)
	for _, p := range beside {
		if harmed.missed < latestReports && !budgets.allows(p) {
			continue
		}
		s.Logger.Info("sched: best-effort task evicted", "task", p.id, "run", p.run, "worker", w.entry.ID, "for", harmed.id.Job,
			"latency", harmed.latency, "target", harmed.step.Latency, "rest", w.share.rest)
		s.Scope.Counter("evictions").Inc(1)
		s.stopRun(p, "a latency target is exceeded beside it")
	}
}

// isShared reports whether best-effort tasks run beside tasks with a latency target.
func (w *worker) isShared() bool {
	latency, bestEffort := false, false
	for _, p := range w.placements {
		if p.step != nil && p.state != stateStopping {
			latency = latency || p.step.Latency > 0
			bestEffort = bestEffort || p.step.BestEffort
		}
	}
	return latency && bestEffort
}

// mayShare reports whether a best-effort task may be started at a worker with a latency target:
// its reports are fresh, and all responses there are well within their targets.
func (w *worker) mayShare(now time.Time) bool {
	if w.failedRenewals > 0 || now.Before(w.share.restUntil) {
		return false
	}
	for _, p := range w.placements {
		switch {
		case p.step == nil:
			return false
		case p.step.BestEffort && now.Sub(p.startedAt) < shareSettle:
			return false
		case p.step.Latency > 0 && (!p.isAtWork() || float64(p.latency) > sharedLatency*float64(p.step.Latency)):
			return false
		}
	}
	return true
}

// placeShared returns a worker with latency targets for a best-effort task for which there is
// no room elsewhere, or nil.
func (u unit) placeShared(pool *crankpack.Pool, q crankpack.Request, now time.Time) []*crankpack.WorkerCapacity {
	if !u.step.BestEffort || u.step.Gang || now.Sub(u.waitingSince) <= shareDelay || u.triesToShare(now) {
		return nil
	}
	q.MayShare = true
	return pool.Place(q, crankpack.FreeCapacity)
}

// triesToShare reports whether a task of a step with MaxUnavailable has begun to share a worker
// just now: others of the step wait to see whether it may stay, as not all could be stopped at once.
func (u unit) triesToShare(now time.Time) bool {
	if !u.step.LongRunning || u.step.MaxUnavailable == 0 {
		return false
	}
	for _, m := range u.tasks[0].members() {
		if p := m.placement; p != nil && p.worker.isShared() && now.Sub(p.startedAt) < shareSettle {
			return true
		}
	}
	return false
}
