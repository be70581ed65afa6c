package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// borrowers are the attempts that may be stopped, by worker.
type borrowers struct {
	byWorker map[string][]tenant // by the work that their end loses, least first
	attempts []crank.RoundAttempt
	evicted  map[int]bool
	losses   []float64 // by attempt
}

// tenant is a part of an attempt at a worker.
type tenant struct {
	attempt int
	uses    crank.Resources
}

func newBorrowers(r crank.Round) *borrowers {
	b := &borrowers{
		byWorker: make(map[string][]tenant, len(r.Workers)),
		attempts: r.Active,
		evicted:  make(map[int]bool),
		losses:   make([]float64, len(r.Active)),
	}
	order := make([]int, 0, len(r.Active))
	for n, a := range r.Active {
		if borrows(a) {
			b.losses[n] = loss(a, r.Now)
			order = append(order, n)
		}
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(b.losses[x], b.losses[y]) })
	for _, n := range order {
		a := r.Active[n]
		for _, p := range a.Parts {
			b.byWorker[p.Worker] = append(b.byWorker[p.Worker], tenant{n, a.Shape.PerTask.Times(p.Tasks)})
		}
	}
	return b
}

// borrows reports whether an attempt may be stopped for a guarantee.
func borrows(a crank.RoundAttempt) bool { return a.Stoppable && a.Cell == "" && !a.Stopping }

// loss is the work that stopping an attempt throws away, in accelerator
// seconds. An attempt that can move loses little.
func loss(a crank.RoundAttempt, now time.Time) float64 {
	area := float64(max(1, a.Shape.Total().Accelerators))
	if a.Class == crank.ClassUrgent {
		area *= urgentLoss
	}
	if a.Movable {
		return area
	}
	return now.Sub(a.Placed).Seconds()*area + area
}

// victims returns attempts whose end makes room for parts, those that lose the
// least work, or false when there are not enough that may be stopped.
func (b *borrowers) victims(f *fleet, parts []crank.Part, per crank.Resources, may func(crank.RoundAttempt) bool) (list []int, ok bool) {
	for _, p := range parts {
		need := per.Times(p.Tasks)
		have := f.free[f.index[p.Worker]]
		if have.Covers(need) {
			continue
		}
		tenants := b.byWorker[p.Worker]
		for _, t := range tenants {
			if slices.Contains(list, t.attempt) {
				have = have.Plus(t.uses)
			}
		}
		for _, t := range tenants {
			if have.Covers(need) {
				break
			}
			if b.evicted[t.attempt] || slices.Contains(list, t.attempt) || !may(b.attempts[t.attempt]) {
				continue
			}
			list = append(list, t.attempt)
			have = have.Plus(t.uses)
		}
		if !have.Covers(need) {
			return nil, false
		}
	}
	return list, true
}

// cheapest returns a place for a job and the attempts to evict there. For a job
// that one worker can hold it is the place that loses the least work, for a
// wider one the tightest place.
func (r *round) cheapest(j crank.RoundJob, v view, may func(crank.RoundAttempt) bool) (parts []crank.Part, victims []int, ok bool) {
	total := j.Shape.Total()
	least := 0.0
	for i, w := range r.fleet.workers {
		if !r.fleet.avail(v, i).Covers(total) || slices.Contains(j.Avoid, w.ID) {
			continue
		}
		if ok && !r.fleet.free[i].Covers(total) && r.borrowers.leastLoss(w.ID) >= least {
			continue
		}
		here := []crank.Part{{Worker: w.ID, Tasks: j.Shape.Tasks}}
		list, possible := r.borrowers.victims(r.fleet, here, j.Shape.PerTask, may)
		if lost := r.borrowers.lossOf(list); possible && (!ok || lost < least) {
			parts, victims, ok, least = here, list, true, lost
		}
		if ok && least == 0 {
			break
		}
	}
	if ok || j.Shape.Span == crank.SpanWorker {
		return parts, victims, ok
	}
	s := search{fleet: r.fleet, view: v, shape: j.Shape, job: j.ID, avoid: j.Avoid, open: always}
	if parts = s.best(); parts == nil {
		return nil, nil, false
	}
	victims, ok = r.borrowers.victims(r.fleet, parts, j.Shape.PerTask, may)
	return parts, victims, ok
}

// leastLoss returns a lower bound of the work lost by evicting at a worker.
func (b *borrowers) leastLoss(worker string) float64 {
	for _, t := range b.byWorker[worker] {
		if !b.evicted[t.attempt] {
			return b.losses[t.attempt]
		}
	}
	return 0
}

func (b *borrowers) lossOf(list []int) float64 {
	total := 0.0
	for _, n := range list {
		total += b.losses[n]
	}
	return total
}

// evict takes attempts out of the fleet and returns their identities.
func (b *borrowers) evict(f *fleet, list []int) []crank.AttemptID {
	ids := make([]crank.AttemptID, 0, len(list))
	for _, n := range list {
		b.evicted[n] = true
		f.release(b.attempts[n])
		ids = append(ids, b.attempts[n].ID)
	}
	return ids
}

func anyBorrower(crank.RoundAttempt) bool { return true }

func patientBorrower(a crank.RoundAttempt) bool { return a.Class != crank.ClassUrgent }
