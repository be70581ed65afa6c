package cranksched

import (
	"time"

	"cranberrycrank/internal/crankpack"
)

// Parameters of moves.
const (
	moveDelay = 1 * time.Second // guaranteed work that waits longer has other guaranteed work moved
	worthMove = 2 * time.Second // runs that end sooner are not moved
)

// move makes room for a guaranteed unit by starting other guaranteed work elsewhere, where no
// work that may be preempted is in the way. It reports whether the unit fits then.
//
// Load pattern: long-running tasks of other workspaces, within their guarantees, stand on each
// worker, and whole workers are claimed of which the guarantee promises some.
func (s *Scheduler) move(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions) bool {
	if u.rank != rankGuaranteed || time.Since(u.waitingSince) < moveDelay {
		return false
	}
	class, cacheable := crankpack.ClassOf(q)
	if fewest, ok := known.unmoved[class]; ok && cacheable && q.Tasks >= fewest {
		return false
	}
	victims, runs, places := s.movable(u, known, make(stopBudgets))
	moved := pool.Relocate(q, crankpack.NewVictimIndex(victims), places)
	if moved == nil {
		if cacheable {
			known.unmoved[class] = q.Tasks
		}
		return false
	}
	pool.ClearUnplaceable()
	clear(known.victims)
	workers := workersByID(pool)
	for _, m := range moved {
		free(workers, m.Victim)
		s.moveRun(runs[m.Victim.ID], m.Target, places[m.Victim.ID], u)
	}
	return true
}

// free counts what a victim holds as capacity that is being freed.
func free(workers map[string]*crankpack.WorkerCapacity, v crankpack.Victim) {
	for _, part := range v.Parts {
		workers[part.Worker].Future = workers[part.Worker].Future.Plus(part.Demand)
	}
}

// moveRun stops a run for a guaranteed unit and keeps a place for it elsewhere, if it has a target.
func (s *Scheduler) moveRun(p *placement, target *crankpack.WorkerCapacity, place crankpack.Request, u unit) {
	to := ""
	if target != nil {
		target.Allocate(place)
		to = target.Worker
	}
	s.Logger.Info("sched: work moved", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "to", to, "for", u.job.spec.ID,
		"waited", time.Since(u.waitingSince).Round(time.Millisecond))
	s.Scope.Counter("moves").Inc(1)
	s.stopRun(p, "makes room for a guarantee")
}

// movable returns the work that a guaranteed unit may have stopped or moved within the
// budgets, one run of each victim, and the requests for places of those that are moved, by the
// victim's ID. Gangs are not moved.
func (s *Scheduler) movable(u unit, known *preemptions, budgets stopBudgets) ([]crankpack.Victim, []*placement, map[int]crankpack.Request) {
	now := time.Now()
	victims, runs := s.victims(u, true, known.kept, budgets)
	places := make(map[int]crankpack.Request)
	for _, w := range s.workers {
		if w.entry.Pool != u.job.spec.Pool {
			continue
		}
		for _, p := range w.placements {
			if known.kept[p] || !s.mayMove(u, p) || !budgets.allows(p) {
				continue
			}
			id := len(victims)
			places[id] = placeOf(p, now)
			victims = append(victims, crankpack.Victim{ID: id, Parts: []crankpack.VictimPart{{Worker: w.entry.ID, Demand: p.demand}}, Cost: p.cost(), Lost: p.cost()})
			runs = append(runs, p)
		}
	}
	return victims, runs, places
}

// placeOf returns the request for another place for a run of guaranteed or long-running work.
func placeOf(p *placement, now time.Time) crankpack.Request {
	return newUnit(p.task.job, []*task{p.task}, true, now).request([]*task{p.task}, now)
}

// mayMove reports whether a run of guaranteed work may be stopped for a guaranteed unit and
// started again elsewhere.
func (s *Scheduler) mayMove(u unit, p *placement) bool {
	if p.state != stateRunning || p.task == nil || p.step.Gang || p.task.job == u.job || !s.isGuaranteed(p.task.job) {
		return false
	}
	if p.step.LongRunning {
		return p.isAtWork()
	}
	return p.worker.failedRenewals == 0 && s.expectedEnd(p).In > worthMove
}
