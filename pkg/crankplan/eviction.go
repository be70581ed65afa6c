package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// borrowers indexes the attempts that may be evicted.
type borrowers struct {
	byWorker map[string][]usage // cheapest eviction first
	attempts []crank.RoundAttempt
	evicted  map[int]bool // by index in attempts
	costs    []float64    // eviction cost, by index in attempts
}

// usage is what one attempt uses on one worker.
type usage struct {
	attempt int
	used    crank.Resources
}

func newBorrowers(r crank.Round) *borrowers {
	b := &borrowers{
		byWorker: make(map[string][]usage, len(r.Workers)),
		attempts: r.Active,
		evicted:  make(map[int]bool),
		costs:    make([]float64, len(r.Active)),
	}
	order := make([]int, 0, len(r.Active))
	for n, a := range r.Active {
		if isBorrower(a) {
			b.costs[n] = evictionCost(a, r.Now)
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.costs[x], b.costs[y]) })
	for _, n := range order {
		a := r.Active[n]
		for _, p := range a.Parts {
			b.byWorker[p.Worker] = append(b.byWorker[p.Worker], usage{n, a.Shape.PerTask.Times(p.Tasks)})
		}
	}
	return b
}

// isBorrower reports whether an attempt may be evicted for a guarantee.
func isBorrower(a crank.RoundAttempt) bool { return a.Stoppable && a.Cell == "" && !a.Stopping }

// evictionCost returns the work that an eviction loses, in accelerator-seconds. A
// movable attempt continues from its checkpoint and loses little.
func evictionCost(a crank.RoundAttempt, now time.Time) float64 {
	weight := float64(max(1, a.Shape.Total().Accelerators))
	if a.Class == crank.ClassUrgent {
		weight *= urgentEvictionWeight
	}
	if a.Movable {
		return weight
	}
	return now.Sub(a.Placed).Seconds()*weight + weight
}

// victims returns the attempts to evict to free capacity for parts, cheapest first on
// each worker, or false if all eligible ones are not enough.
func (b *borrowers) victims(f *fleet, parts []crank.Part, perTask crank.Resources, eligible func(crank.RoundAttempt) bool) (victims []int, ok bool) {
	for _, p := range parts {
		need := perTask.Times(p.Tasks)
		have := f.free[f.index[p.Worker]]
		if have.Covers(need) {
			continue
		}
		usages := b.byWorker[p.Worker]
		for _, u := range usages {
			if slices.Contains(victims, u.attempt) {
				have = have.Plus(u.used)
			}
		}
		for _, u := range usages {
			if have.Covers(need) {
				break
			}
			if b.evicted[u.attempt] || slices.Contains(victims, u.attempt) || !eligible(b.attempts[u.attempt]) {
				continue
			}
			victims = append(victims, u.attempt)
			have = have.Plus(u.used)
		}
		if !have.Covers(need) {
			return nil, false
		}
	}
	return victims, true
}

// cheapestEviction returns a place for a job and the attempts to evict there. For a
// gang that fits on one worker, it is the place that loses the least work, otherwise
// the best-fitting place.
func (r *round) cheapestEviction(j crank.RoundJob, v view, eligible func(crank.RoundAttempt) bool) (parts []crank.Part, victims []int, ok bool) {
	total := j.Shape.Total()
	least := 0.0
	for i, w := range r.fleet.workers {
		if !r.fleet.avail(v, i).Covers(total) || slices.Contains(j.Avoid, w.ID) {
			continue
		}
		if ok && !r.fleet.free[i].Covers(total) && r.borrowers.minCost(w.ID) >= least {
			continue
		}
		here := []crank.Part{{Worker: w.ID, Tasks: j.Shape.Tasks}}
		candidates, possible := r.borrowers.victims(r.fleet, here, j.Shape.PerTask, eligible)
		if cost := r.borrowers.totalCost(candidates); possible && (!ok || cost < least) {
			parts, victims, ok, least = here, candidates, true, cost
		}
		if ok && least == 0 {
			break
		}
	}
	if ok || j.Shape.Span == crank.SpanWorker {
		return parts, victims, ok
	}
	s := search{fleet: r.fleet, view: v, shape: j.Shape, job: j.ID, avoid: j.Avoid, allowHeld: anyWorker}
	if parts = s.findBest(); parts == nil {
		return nil, nil, false
	}
	victims, ok = r.borrowers.victims(r.fleet, parts, j.Shape.PerTask, eligible)
	return parts, victims, ok
}

// minCost returns a lower bound of the cost of evicting anything from a worker.
func (b *borrowers) minCost(worker string) float64 {
	for _, u := range b.byWorker[worker] {
		if !b.evicted[u.attempt] {
			return b.costs[u.attempt]
		}
	}
	return 0
}

func (b *borrowers) totalCost(attempts []int) float64 {
	total := 0.0
	for _, n := range attempts {
		total += b.costs[n]
	}
	return total
}

// evict frees the resources of attempts and returns their IDs.
func (b *borrowers) evict(f *fleet, attempts []int) []crank.AttemptID {
	ids := make([]crank.AttemptID, 0, len(attempts))
	for _, n := range attempts {
		b.evicted[n] = true
		f.releaseEvicted(b.attempts[n])
		ids = append(ids, b.attempts[n].ID)
	}
	return ids
}

func anyBorrower(crank.RoundAttempt) bool { return true }

func patientBorrower(a crank.RoundAttempt) bool { return a.Class != crank.ClassUrgent }
