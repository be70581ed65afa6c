package cranksched

import (
	"time"

	"cranberrycrank/internal/crankpack"
)

// evict stops the best-effort tasks of workers that keep a task with a latency target
// waiting, and reports whether it fits once they are stopped.
func (s *Scheduler) evict(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions) bool {
	evictions := make(map[string]crankpack.Eviction)
	for _, c := range pool.Workers {
		if e, ok := s.evictionOf(c, q.Tasks); ok {
			evictions[c.Worker] = e
		}
	}
	chosen := pool.Evict(q, evictions)
	if chosen == nil {
		return false
	}
	pool.ClearUnplaceable()
	clear(known.victims)
	for _, c := range chosen {
		c.Future, c.BestEffortEnds = c.Future.Plus(evictions[c.Worker].Freed), true
		for _, p := range s.workers[c.Worker].placements {
			if p.state != stateRunning || p.step == nil || !p.step.BestEffort {
				continue
			}
			s.Logger.Info("sched: best-effort task evicted", "task", p.id, "run", p.run, "worker", c.Worker, "for", u.job.spec.ID,
				"waited", time.Since(u.waitingSince).Round(time.Millisecond))
			s.Scope.Counter("evictions").Inc(1)
			s.stopRun(p, "makes way for a latency target")
		}
	}
	return true
}

// evictionOf returns what it takes to stop the best-effort tasks of a worker for a number of
// tasks, and false if it has none or one that can't be stopped now. Of a step with a limit of
// unavailable tasks some are stopped only for a single task, which needs one worker.
func (s *Scheduler) evictionOf(c *crankpack.WorkerCapacity, tasks int) (e crankpack.Eviction, ok bool) {
	if !c.HasBestEffort || !c.Schedulable {
		return e, false
	}
	budgets := make(stopBudgets)
	for _, p := range s.workers[c.Worker].placements {
		switch {
		case p.step == nil, !p.step.BestEffort, p.state == stateStopping:
		case p.state != stateRunning || s.isGuaranteed(p.task.job):
			return e, false
		case p.hasStopBudget() && (tasks > 1 || !budgets.allows(p)):
			return e, false
		default:
			e.Freed, e.Cost = e.Freed.Plus(p.demand), e.Cost+p.cost()
		}
	}
	return e, true
}

// isGuaranteed reports whether a job is urgent and within its workspace's guarantee.
func (s *Scheduler) isGuaranteed(j *job) bool {
	return j.spec.Priority == 0 && s.guaranteed[j.spec.Workspace]
}
