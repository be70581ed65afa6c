package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// restoreHolds closes the workers that are held for jobs that still wait.
func (r *round) restoreHolds() {
	waiting := make(map[string]bool, len(r.Waiting))
	for _, j := range r.Waiting {
		waiting[j.ID] = true
	}
	for _, h := range r.Memory.Holds {
		if !waiting[h.Job] || !r.allInService(h.Workers) {
			continue
		}
		r.closeFor(h)
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

func (r *round) closeFor(h crank.Hold) {
	for _, id := range h.Workers {
		r.fleet.closed[r.fleet.index[id]] = h.Job
	}
	r.decisions.Memory.Holds = append(r.decisions.Memory.Holds, h)
}

// openHold gives back the workers that were held for a job.
func (r *round) openHold(job string) {
	holds := r.decisions.Memory.Holds
	for n, h := range holds {
		if h.Job != job {
			continue
		}
		for _, id := range h.Workers {
			r.fleet.closed[r.fleet.index[id]] = ""
		}
		r.decisions.Memory.Holds = slices.Delete(holds, n, n+1)
		return
	}
}

// backfillTime returns how long held workers must stay busy with other work
// for a job to use them meanwhile. Urgent jobs use them at any time.
func (r *round) backfillTime(j crank.RoundJob) time.Duration {
	if j.Class == crank.ClassUrgent {
		return 0
	}
	return max(j.RunTime, minRunTime)
}

// backfills returns which held workers a job of some length may use.
func (r *round) backfills(run time.Duration) func(int) bool {
	return func(i int) bool { return r.busyFor(i) >= run }
}

// busyFor predicts how long a closed worker's hold still has to wait.
func (r *round) busyFor(i int) time.Duration {
	job := r.fleet.closed[i]
	if left, ok := r.drains[job]; ok {
		return left
	}
	left := r.drainTime(r.heldFor(job))
	r.drains[job] = left
	return left
}

// drainTime predicts when the last attempt on some workers ends.
func (r *round) drainTime(workers []string) time.Duration {
	var longest time.Duration
	for _, id := range workers {
		longest = max(longest, r.busyWorker(id))
	}
	return longest
}

// busyWorker predicts when the last attempt on a worker ends.
func (r *round) busyWorker(id string) time.Duration {
	r.indexRemaining()
	return r.remaining[id]
}

// indexRemaining computes the predictions of all workers once for a round.
func (r *round) indexRemaining() {
	if r.remaining != nil {
		return
	}
	r.remaining = make(map[string]time.Duration, len(r.Workers))
	for n, a := range r.Active {
		if r.borrowers.evicted[n] || a.Stopping {
			continue
		}
		left := remaining(a, r.Now)
		for _, p := range a.Parts {
			r.remaining[p.Worker] = max(r.remaining[p.Worker], left)
		}
	}
}

// remaining predicts the rest of an attempt. One that outlasts its prediction
// is taken to last as long again as it has lasted so far, so that a wrong
// declaration is corrected by at most a factor of two at each look.
func remaining(a crank.RoundAttempt, now time.Time) time.Duration {
	elapsed := now.Sub(a.Placed)
	if elapsed < a.RunTime {
		return a.RunTime - elapsed
	}
	return max(elapsed, minRunTime)
}

// holdFor holds workers for a job that has waited long enough, and returns why
// the job waits.
func (r *round) holdFor(j crank.RoundJob) string {
	for _, h := range r.decisions.Memory.Holds {
		if h.Job == j.ID {
			return reasonHeld
		}
	}
	if r.Now.Sub(j.Submitted) < r.policy.HoldAfter || len(r.decisions.Memory.Holds) >= MaxHolds {
		return reasonNoRoom
	}
	workers := r.soonest(j.Shape)
	if workers == nil {
		return reasonNoRoom
	}
	r.closeFor(crank.Hold{Job: j.ID, Workers: workers, Since: r.Now})
	return reasonHeld
}

// soonest returns the workers of the domain that is predicted to have room for
// a gang first.
func (r *round) soonest(shape crank.Shape) []string {
	var best []string
	var earliest time.Duration
	for _, d := range r.fleet.domains(shape.Span) {
		workers, at := r.soonestIn(d, shape)
		if workers != nil && (best == nil || at < earliest) {
			best, earliest = workers, at
		}
	}
	return best
}

func (r *round) soonestIn(d domain, shape crank.Shape) ([]string, time.Duration) {
	type candidate struct {
		id   string
		fits int
		busy time.Duration
	}
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		w := r.fleet.workers[i]
		if !w.InService || r.fleet.closed[i] != "" {
			continue
		}
		room := w.Capacity.Minus(r.fleet.held[i])
		if fits := room.Fits(shape.PerTask, shape.Tasks); fits > 0 {
			candidates = append(candidates, candidate{w.ID, fits, r.busyWorker(w.ID)})
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

// placeHeld starts a job on the workers held for it by moving the last
// attempts off, when all of those can move and are small against the job. Since
// only a larger job moves smaller ones, two jobs never move each other in turn.
func (r *round) placeHeld(j crank.RoundJob) bool {
	held := r.heldFor(j.ID)
	if held == nil {
		return false
	}
	mine := make(map[string]bool, len(held))
	for _, id := range held {
		mine[id] = true
	}
	s := search{fleet: r.fleet, view: viewSoft, shape: j.Shape, job: j.ID, avoid: j.Avoid}
	s.open = func(i int) bool { return false }
	s.only = mine
	parts := s.best()
	if parts == nil {
		return false
	}
	victims, ok := r.borrowers.victims(r.fleet, parts, j.Shape.PerTask, movable)
	if !ok || r.area(victims)*moveGain > j.Shape.Total().Accelerators {
		return false
	}
	evicts := r.borrowers.evict(r.fleet, victims)
	r.place(j, crank.Placement{Parts: parts, Evicts: evicts}, j.Stoppable)
	return true
}

func (r *round) heldFor(job string) []string {
	for _, h := range r.decisions.Memory.Holds {
		if h.Job == job {
			return h.Workers
		}
	}
	return nil
}

func (r *round) area(list []int) int {
	total := 0
	for _, n := range list {
		total += r.Active[n].Shape.Total().Accelerators
	}
	return total
}

func movable(a crank.RoundAttempt) bool { return a.Movable && a.Class != crank.ClassUrgent }
