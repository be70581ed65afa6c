package cranksched

import (
	"math"
	"slices"
	"time"

	"cranberrycrank/internal/crankpack"
)

// Parameters of the placement policy.
const (
	lateFactor             = 3                       // after so many times its objective a job is worth nothing more and ranks last
	maxLateWait            = 30 * time.Second        // with adaptive planning, the late unit of a pool that has waited longest, and longer, goes before patient ones
	crossRackWait          = 1200 * time.Millisecond // a gang that waits longer for a rack may be placed on several
	idleShare              = 0.5                     // in use; a pool below has room for tasks that take longer
	longRunningOverdueTime = 2 * time.Second         // a long-running task that waits longer goes first, also before reservations
	reservationWait        = 1500 * time.Millisecond // a gang or task that waits longer reserves capacity
	avoidTime              = 2 * time.Second         // how long a waiting task avoids workers where it failed
	maxReservations        = 2                       // gangs of a pool that reserve capacity in one round
	maxTaskReservations    = 1                       // tasks of a pool that are in no gang and do so
	reservedStandTime      = 2 * time.Second         // a job that stands longer in an idle pool uses reserved capacity
	startedUpPercent       = 100                     // progress of a long-running task that has started up
	unstartedDelay         = 1 * time.Second         // an urgent job that waits longer is recorded as not started
	restoreSeconds         = 1.0                     // most work that stopping a task with checkpoints loses
)

// round stops the runs of ended jobs, then places waiting work in order of rank.
func (s *Scheduler) round() {
	now := time.Now()
	s.stopEndedJobs(now)
	operator := s.Operator.View()
	s.followQueues(operator.Config)
	pools := s.pools(operator.EvacuatedZones, now)
	if s.Planning.Adaptive {
		shapes := s.recentlyRequested(now)
		for name, pool := range pools {
			pool.Weigh(shapes[name])
		}
	}
	units := s.waitingUnits(now)
	reservations := make(map[string][]reservation)
	known := newPreemptions()
	for _, u := range units {
		pool := pools[u.job.spec.Pool]
		if pool == nil {
			continue
		}
		if u.step.Gang {
			s.placeGang(u, pool, reservations, known, now)
		} else {
			s.placeTasks(u, pool, reservations, known, now)
		}
		if now.Sub(u.waitingSince) > unstartedDelay {
			s.revokeStarts(u.job)
		}
	}
	s.placeOnReserved(units, pools, reservations, now)
	s.awaiting, s.reserving = known.awaiting, make(map[string]bool)
	for _, of := range reservations {
		for _, r := range of {
			s.reserving[r.request.StepKey] = true
		}
	}
}

func (s *Scheduler) stopEndedJobs(now time.Time) {
	for _, j := range s.jobs {
		if !j.ending() {
			continue
		}
		for _, o := range j.open {
			for _, t := range o.tasks {
				if t.placement != nil && !t.placement.endsByItself(now) {
					s.stopRun(t.placement, "its job has ended")
				}
			}
		}
		if j.placed == 0 {
			s.dropEnded(j)
		}
	}
}

// endsByItself reports whether a run needs no stop order: its gang is done and the
// other members are about to report the same end.
func (p *placement) endsByItself(now time.Time) bool {
	return p.task.done && p.step.Gang && now.Before(p.endBy)
}

// pools returns the capacity of each pool. Workers are sorted by ID, which
// decides between equally good ones.
func (s *Scheduler) pools(evacuatedZones map[string]bool, now time.Time) map[string]*crankpack.Pool {
	workers := make(map[string][]*crankpack.WorkerCapacity)
	ids := make([]string, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := s.workers[id]
		workers[w.entry.Pool] = append(workers[w.entry.Pool], s.capacityOf(w, s.unschedulableWhy(w, evacuatedZones, now) == ""))
	}
	s.judgeWorkers(workers, now)
	pools := make(map[string]*crankpack.Pool, len(workers))
	for name, poolWorkers := range workers {
		pools[name] = crankpack.NewPool(poolWorkers)
	}
	return pools
}

func (s *Scheduler) capacityOf(w *worker, schedulable bool) *crankpack.WorkerCapacity {
	e := w.entry
	c := &crankpack.WorkerCapacity{
		Worker: e.ID, Zone: e.Zone, Rack: e.Rack, Labels: e.Labels, Total: e.Capacity, Free: e.Capacity, Future: e.Capacity, Eventual: e.Capacity,
		Schedulable: schedulable, Ends: make([]crankpack.ExpectedEnd, 0, len(w.placements)), TasksByStep: make(map[string]int), FailureCount: s.failureCount(w), Speed: s.speedOf(w),
	}
	for _, p := range w.placements {
		c.Free = c.Free.Minus(p.demand)
		if p.state != stateStopping {
			c.Future = c.Future.Minus(p.demand)
		}
		switch {
		case p.state == stateStopping:
		case p.step != nil && p.step.LongRunning:
			c.Eventual = c.Eventual.Minus(p.demand)
		default:
			c.AddEnd(s.expectedEnd(p))
		}
		if p.step == nil {
			continue
		}
		c.TasksByStep[p.stepKey]++
		c.HasLatencyTask = c.HasLatencyTask || p.step.Latency > 0
		c.HasBestEffort = c.HasBestEffort || p.step.BestEffort
	}
	c.TakesShared = c.HasLatencyTask && w.mayShare(time.Now())
	return c
}

// expectedEnd returns when a run that ends by itself is expected to.
func (s *Scheduler) expectedEnd(p *placement) crankpack.ExpectedEnd {
	e := crankpack.ExpectedEnd{In: p.declaredLeft(), Late: crankpack.UnknownEnd, Demand: p.demand, Run: p}
	if s.Planning.Adaptive && s.isExpected(p) {
		left := s.expectedLeft(p)
		e.In, e.Late = left.usual, left.late
	}
	return e
}

// declaredLeft returns how long a run takes yet by the caller's estimate, 0 if it runs until its job is cancelled.
func (p *placement) declaredLeft() time.Duration {
	if p.step == nil || p.step.LongRunning {
		return 0
	}
	return time.Duration(float64(p.step.RunTime) * (1 - p.percent/100))
}

// placeGang starts a gang if all of it fits now. Otherwise, in this order, it waits for
// capacity that is being freed, preempts other work, leaves its rack if it may, or reserves
// capacity. A SameRack gang too large for any empty rack is placed on several.
func (s *Scheduler) placeGang(u unit, pool *crankpack.Pool, reservations map[string][]reservation, known *preemptions, now time.Time) {
	q, waited := u.request(u.tasks, now), now.Sub(u.waitingSince)
	if u.step.SameRack && pool.Place(q, crankpack.TotalCapacity) == nil {
		q = q.AcrossRacks()
	}
	atAnyTrust := q
	q, waits := s.withTrust(q, u.tasks, pool, now)
	if s.placeGangNow(u, pool, q, known, u.mayPreempt() && !waits) {
		return
	}
	crosses := q.Step.SameRack && mayCrossRacks(u, pool, atAnyTrust, waited)
	if crosses && s.placeGangNow(u, pool, q.AcrossRacks(), known, u.rank == rankGuaranteed) {
		return
	}
	if s.moveInTurn(u, pool, q, reservations, known, now) || (crosses && s.moveInTurn(u, pool, q.AcrossRacks(), reservations, known, now)) {
		return
	}
	u.reserve(pool, q, reservations, now)
}

// placeGangNow starts a gang, or has it wait for runs that are being stopped. It reports
// false if it can do neither.
func (s *Scheduler) placeGangNow(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions, mayPreempt bool) bool {
	if chosen := pool.Place(q, crankpack.FreeCapacity); chosen != nil {
		s.allocateAndStart(u.tasks, chosen, q)
		return true
	}
	chosen := pool.Place(q, crankpack.FutureCapacity)
	if chosen == nil && mayPreempt && s.awaits(u, pool, q, known) {
		return true
	}
	if chosen == nil && !(mayPreempt && s.preempt(u, pool, q, known)) {
		return false
	}
	if chosen == nil {
		chosen = pool.Place(q, crankpack.FutureCapacity)
	}
	allocate(chosen, q)
	return true
}

// mayCrossRacks reports whether a gang that fits on no rack now is better placed on several:
// its guarantee matters more than the time that its tasks lose there, the pool has room for
// slower tasks, or no rack becomes free by itself. In a pool that is full, slower tasks would
// take from others what the gang gains.
func mayCrossRacks(u unit, pool *crankpack.Pool, q crankpack.Request, waited time.Duration) bool {
	if waited <= crossRackWait {
		return false
	}
	return u.rank == rankGuaranteed || pool.InUse() < idleShare || pool.FitsTwice(q) || pool.Place(q, crankpack.EventualCapacity) == nil
}

// placeTasks starts the tasks of a step that fit now. For others it waits for
// capacity that is being freed, shares workers with latency targets, preempts other work, or
// reserves capacity for one.
func (s *Scheduler) placeTasks(u unit, pool *crankpack.Pool, reservations map[string][]reservation, known *preemptions, now time.Time) {
	noCapacityFor := math.MaxInt // least trust of a request that did not fit
	for _, t := range u.tasks {
		one := []*task{t}
		q, waits := s.withTrust(u.request(one, now), one, pool, now)
		if q.Avoid == nil && q.LeastTrust >= noCapacityFor {
			continue
		}
		if chosen := pool.Place(q, crankpack.FreeCapacity); chosen != nil {
			s.allocateAndStart(one, chosen, q)
			continue
		}
		if chosen := pool.Place(q, crankpack.FutureCapacity); chosen != nil {
			allocate(chosen, q)
			continue
		}
		if chosen := u.placeShared(pool, q, now); chosen != nil {
			s.allocateAndStart(one, chosen, q)
			continue
		}
		if u.mayPreempt() && s.awaits(u, pool, q, known) {
			continue
		}
		if u.mayPreempt() && !waits && s.preempt(u, pool, q, known) {
			if chosen := pool.Place(q, crankpack.FutureCapacity); chosen != nil {
				allocate(chosen, q)
			}
			continue
		}
		if q.Avoid == nil {
			noCapacityFor = min(noCapacityFor, q.LeastTrust)
		}
		if noCapacityFor < math.MaxInt {
			u.reserve(pool, q, reservations, now)
		}
	}
}

func allocate(chosen []*crankpack.WorkerCapacity, q crankpack.Request) {
	for _, c := range chosen {
		c.Allocate(q)
	}
}

func (s *Scheduler) allocateAndStart(tasks []*task, chosen []*crankpack.WorkerCapacity, q crankpack.Request) {
	allocate(chosen, q)
	workers := make([]*worker, len(chosen))
	for i, c := range chosen {
		workers[i] = s.workers[c.Worker]
	}
	s.startRuns(tasks, workers)
}
