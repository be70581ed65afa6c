package cranksched

import (
	"slices"
	"time"

	"cranberrycrank/internal/crankpack"
)

// reservation is capacity that a planning round keeps free for a gang or a task.
type reservation struct {
	request crankpack.Request
	workers []*crankpack.WorkerCapacity // of each task
	wait    time.Duration               // until they are expected to be free
}

// reserve keeps workers free for a unit's request if the unit has waited for long enough.
func (u unit) reserve(pool *crankpack.Pool, q crankpack.Request, reservations map[string][]reservation, now time.Time) {
	name, limit := u.job.spec.Pool, maxTaskReservations
	if u.step.Gang {
		limit = maxReservations
	}
	same := 0
	for _, r := range reservations[name] {
		if r.request.Step.Gang == u.step.Gang {
			same++
		}
	}
	if same >= limit || u.rank == rankLate || now.Sub(u.waitingSince) <= reservationWait {
		return
	}
	if r, ok := newReservation(pool, q); ok {
		reservations[name] = append(reservations[name], r)
	}
}

// newReservation keeps the workers free that become free first. It reports whether there
// are any.
func newReservation(pool *crankpack.Pool, q crankpack.Request) (reservation, bool) {
	chosen := pool.Place(q, crankpack.EventualCapacity)
	if chosen == nil && q.Step.SameRack {
		chosen = pool.Place(q.AcrossRacks(), crankpack.EventualCapacity)
	}
	r := reservation{request: q, workers: chosen, wait: crankpack.LongestWait(chosen, q)}
	for _, c := range chosen {
		c.Reserve(q)
	}
	return r, chosen != nil
}

func (r reservation) cancel() {
	for _, c := range r.workers {
		c.Unreserve(r.request)
	}
}

// placeOnReserved starts work on reserved capacity that ends before the reservations are
// expected to begin. That time is an estimate and may be far off, so in idle pools long-running
// tasks that are overdue start there as well, and one task or gang of each job that stands, both
// also where there is room for it twice over. Jobs that stand wait until no new ones come, so that
// a gang is overtaken by a limited number.
func (s *Scheduler) placeOnReserved(units []unit, pools map[string]*crankpack.Pool, reservations map[string][]reservation, now time.Time) {
	if len(reservations) == 0 {
		return
	}
	waits := cancelAll(pools, reservations)
	for _, u := range units {
		name := u.job.spec.Pool
		wait, reserved := waits[name]
		if !reserved {
			continue
		}
		pool, waited := pools[name], now.Sub(u.waitingSince)
		idle := pool.InUse() < idleShare
		ends := !u.step.LongRunning && u.step.RunTime > 0 && u.step.RunTime < wait
		overdue := u.step.LongRunning && waited > longRunningOverdueTime
		together := u.tasks[:1]
		if u.step.Gang {
			together = u.tasks
		}
		stands := u.job.placed == 0 && min(waited, now.Sub(s.newestJob[name])) > reservedStandTime
		switch {
		case ends, overdue && idle:
			s.placeFree(u, u.tasks, pool, idle, now)
		case (overdue || stands) && (idle || pool.FitsTwice(u.request(together, now))):
			s.placeFree(u, together, pool, true, now)
		}
	}
}

// cancelAll cancels the reservations, and returns the shortest expected wait of each pool
// that has any.
func cancelAll(pools map[string]*crankpack.Pool, reservations map[string][]reservation) map[string]time.Duration {
	waits := make(map[string]time.Duration)
	for name, reserved := range reservations {
		waits[name] = reserved[0].wait
		for _, r := range reserved {
			r.cancel()
			waits[name] = min(waits[name], r.wait)
		}
		pools[name].ClearUnplaceable()
	}
	return waits
}

// placeFree starts those of a unit's tasks that fit now.
func (s *Scheduler) placeFree(u unit, tasks []*task, pool *crankpack.Pool, acrossRacks bool, now time.Time) {
	together := 1
	if u.step.Gang {
		together = len(tasks)
	}
	for some := range slices.Chunk(tasks, together) {
		if some[0].placement != nil {
			continue
		}
		q, _ := s.withTrust(u.request(some, now), some, pool, now)
		chosen := pool.Place(q, crankpack.FreeCapacity)
		if chosen == nil && acrossRacks && q.Step.SameRack {
			chosen = pool.Place(q.AcrossRacks(), crankpack.FreeCapacity)
		}
		if chosen != nil {
			s.allocateAndStart(some, chosen, q)
		}
	}
}
