package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// restoreHolds restores the previous holds whose job still waits and whose workers
// are all in service.
func (r *round) restoreHolds() {
	waiting := make(map[string]bool, len(r.Waiting))
	for _, j := range r.Waiting {
		waiting[j.ID] = true
	}
	for _, h := range r.PolicyState.Holds {
		if !waiting[h.Job] || !r.allInService(h.Workers) {
			continue
		}
		r.applyHold(h)
	}
}

func (r *round) allInService(workers []string) bool {
	for _, id := range workers {
		i, ok := r.fleet.index[id]
		if !ok || !r.fleet.workers[i].InService {
			return false
		}
	}
	return true
}

// applyHold keeps workers for a job and stores the hold for the next round.
func (r *round) applyHold(h crank.Hold) {
	for _, id := range h.Workers {
		r.fleet.heldFor[r.fleet.index[id]] = h.Job
	}
	r.decisions.PolicyState.Holds = append(r.decisions.PolicyState.Holds, h)
}

func (r *round) releaseHold(job string) {
	holds := r.decisions.PolicyState.Holds
	for n, h := range holds {
		if h.Job != job {
			continue
		}
		for _, id := range h.Workers {
			r.fleet.heldFor[r.fleet.index[id]] = ""
		}
		r.decisions.PolicyState.Holds = slices.Delete(holds, n, n+1)
		return
	}
}

// backfillTime returns how long the drain of held workers must still last for a job
// to use them meanwhile. Urgent jobs may use them at any time.
func (r *round) backfillTime(j crank.RoundJob) time.Duration {
	if j.Class == crank.ClassUrgent {
		return 0
	}
	return max(j.RunTime, minRunTime)
}

// backfillFilter accepts held workers that a job of a run time may use before the
// hold needs them.
func (r *round) backfillFilter(run time.Duration) func(int) bool {
	return func(i int) bool { return r.holdDrainTime(i) >= run }
}

// holdDrainTime predicts how long it takes until all workers are free that are held
// for the same job as worker i.
func (r *round) holdDrainTime(i int) time.Duration {
	job := r.fleet.heldFor[i]
	if left, ok := r.drainTimes[job]; ok {
		return left
	}
	left := r.drainTime(r.heldWorkers(job))
	r.drainTimes[job] = left
	return left
}

// drainTime predicts how long the last attempt on any of the workers still runs.
func (r *round) drainTime(workers []string) time.Duration {
	var longest time.Duration
	for _, id := range workers {
		longest = max(longest, r.workerBusyTime(id))
	}
	return longest
}

func (r *round) workerBusyTime(id string) time.Duration {
	r.computeRemaining()
	return r.remaining[id]
}

// computeRemaining fills r.remaining, once per round.
func (r *round) computeRemaining() {
	if r.remaining != nil {
		return
	}
	r.remaining = make(map[string]time.Duration, len(r.Workers))
	for n, a := range r.Active {
		if r.borrowers.evicted[n] || a.Stopping {
			continue
		}
		left := predictRemaining(a, r.Now)
		for _, p := range a.Parts {
			r.remaining[p.Worker] = max(r.remaining[p.Worker], left)
		}
	}
}

// predictRemaining predicts how long an attempt still runs. One that exceeds its
// predicted run time is assumed to run as long again as it has so far, so that each
// prediction corrects a wrong declaration by at most a factor of two.
func predictRemaining(a crank.RoundAttempt, now time.Time) time.Duration {
	elapsed := now.Sub(a.Placed)
	if elapsed < a.RunTime {
		return a.RunTime - elapsed
	}
	return max(elapsed, minRunTime)
}

// holdWorkersFor holds workers for a job that has waited long enough, and returns why
// the job waits.
func (r *round) holdWorkersFor(j crank.RoundJob) string {
	for _, h := range r.decisions.PolicyState.Holds {
		if h.Job == j.ID {
			return reasonHeld
		}
	}
	if r.Now.Sub(j.Submitted) < r.policy.HoldAfter || len(r.decisions.PolicyState.Holds) >= MaxHolds {
		return reasonNoCapacity
	}
	workers := r.earliestWorkers(j.Shape)
	if workers == nil {
		return reasonNoCapacity
	}
	r.applyHold(crank.Hold{Job: j.ID, Workers: workers, Since: r.Now})
	return reasonHeld
}

// earliestWorkers returns the workers to hold: those of the domain that is predicted
// to fit a gang first. It returns nil if there are none.
func (r *round) earliestWorkers(shape crank.Shape) []string {
	var best []string
	var earliest time.Duration
	for _, d := range r.fleet.domains(shape.Span) {
		workers, at := r.earliestWorkersIn(d, shape)
		if workers != nil && (best == nil || at < earliest) {
			best, earliest = workers, at
		}
	}
	return best
}

// earliestWorkersIn returns the workers of a domain that fit a gang first, and the
// predicted time until then; nil if it never fits.
func (r *round) earliestWorkersIn(d domain, shape crank.Shape) ([]string, time.Duration) {
	type candidate struct {
		id   string
		fits int
		busy time.Duration
	}
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		w := r.fleet.workers[i]
		if !w.InService || r.fleet.heldFor[i] != "" {
			continue
		}
		capacity := w.Capacity.Minus(r.fleet.cellReserved[i])
		if fits := capacity.Fits(shape.PerTask, shape.Tasks); fits > 0 {
			candidates = append(candidates, candidate{w.ID, fits, r.workerBusyTime(w.ID)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		if c := cmp.Compare(a.busy, b.busy); c != 0 {
			return c
		}
		return b.fits - a.fits
	})
	var workers []string
	rest := shape.Tasks
	for _, c := range candidates {
		workers = append(workers, c.id)
		rest -= c.fits
		if rest <= 0 {
			return workers, c.busy
		}
	}
	return nil, 0
}

// placeOnHeld places a job on the workers held for it and moves the remaining
// attempts off, if all are movable and small compared with the job. Only a larger job
// moves smaller ones, so two jobs never evict each other in turn.
func (r *round) placeOnHeld(j crank.RoundJob) bool {
	held := r.heldWorkers(j.ID)
	if held == nil {
		return false
	}
	heldSet := make(map[string]bool, len(held))
	for _, id := range held {
		heldSet[id] = true
	}
	s := search{fleet: r.fleet, view: viewReclaimable, shape: j.Shape, job: j.ID, avoid: j.Avoid}
	s.allowHeld = func(i int) bool { return false }
	s.only = heldSet
	parts := s.findBest()
	if parts == nil {
		return false
	}
	victims, ok := r.borrowers.victims(r.fleet, parts, j.Shape.PerTask, movable)
	if !ok || r.totalAccelerators(victims)*minMoveRatio > j.Shape.Total().Accelerators {
		return false
	}
	evictions := r.borrowers.evict(r.fleet, victims)
	r.place(j, crank.Placement{Parts: parts, Evictions: evictions}, j.Stoppable)
	return true
}

func (r *round) heldWorkers(job string) []string {
	for _, h := range r.decisions.PolicyState.Holds {
		if h.Job == job {
			return h.Workers
		}
	}
	return nil
}

func (r *round) totalAccelerators(attempts []int) int {
	total := 0
	for _, n := range attempts {
		total += r.Active[n].Shape.Total().Accelerators
	}
	return total
}

func movable(a crank.RoundAttempt) bool { return a.Movable && a.Class != crank.ClassUrgent }
