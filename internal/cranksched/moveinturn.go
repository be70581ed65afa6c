package cranksched

import (
	"time"

	"cranberrycrank/internal/crankpack"
)

// moveInTurn makes room for a guaranteed gang where that takes more stops of a step than its
// MaxUnavailable allows at a time. It stops as many as are allowed, keeps the workers for the
// gang, and goes on in a later round, once these tasks are at work elsewhere. It reports
// whether it keeps any.
//
// Load pattern: a service has a task on each worker, of which one may be unavailable, and a gang
// of whole workers is claimed within a guarantee.
func (s *Scheduler) moveInTurn(u unit, pool *crankpack.Pool, q crankpack.Request, reservations map[string][]reservation, known *preemptions, now time.Time) bool {
	if u.rank != rankGuaranteed || now.Sub(u.waitingSince) < moveDelay {
		return false
	}
	class, cacheable := crankpack.ClassOf(q)
	if fewest, ok := known.blocked[class]; ok && cacheable && q.Tasks >= fewest {
		return false
	}
	victims, runs, places := s.movable(u, known, nil)
	limited := false
	for id, p := range runs {
		if !p.hasStopBudget() {
			continue
		}
		limited = true
		if _, ok := places[id]; !ok {
			places[id] = placeOf(p, now)
		}
	}
	var moved []crankpack.Relocation
	if limited {
		moved = pool.Relocate(q, crankpack.NewVictimIndex(victims), places)
	}
	if moved == nil {
		if cacheable {
			known.blocked[class] = q.Tasks
		}
		return false
	}
	pool.ClearUnplaceable()
	clear(known.victims)
	workers := workersByID(pool)
	for _, m := range moved {
		free(workers, m.Victim)
	}
	r := reservation{request: q, workers: pool.Place(q, crankpack.FutureCapacity)}
	for _, c := range r.workers {
		c.Reserve(q)
	}
	budgets, last := make(stopBudgets), true
	var stopped []crankpack.Relocation
	for _, m := range moved {
		switch p := runs[m.Victim.ID]; {
		case !budgets.allows(p):
			last = false
		case p.hasStopBudget():
			stopped = append(stopped, m)
		}
	}
	if last { // what loses work is stopped only when the gang can start
		stopped = moved
	}
	for _, m := range stopped {
		s.moveRun(runs[m.Victim.ID], m.Target, places[m.Victim.ID], u)
	}
	for _, m := range moved {
		if runs[m.Victim.ID].state != stateStopping {
			hold(workers, m.Victim)
		}
	}
	pool.ClearUnplaceable()
	name := u.job.spec.Pool
	reservations[name] = append(reservations[name], r)
	return true
}

// hold undoes free.
func hold(workers map[string]*crankpack.WorkerCapacity, v crankpack.Victim) {
	for _, part := range v.Parts {
		workers[part.Worker].Future = workers[part.Worker].Future.Minus(part.Demand)
	}
}
