package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// borrowers are the attempts that may be stopped, by worker.
type borrowers struct {
	now      time.Time
	byWorker map[string][]int
	attempts []crank.RoundAttempt
	evicted  map[int]bool
}

func newBorrowers(r crank.Round) *borrowers {
	b := &borrowers{now: r.Now, byWorker: make(map[string][]int), attempts: r.Active, evicted: make(map[int]bool)}
	for n, a := range r.Active {
		if !borrows(a) {
			continue
		}
		for _, p := range a.Parts {
			b.byWorker[p.Worker] = append(b.byWorker[p.Worker], n)
		}
	}
	return b
}

// borrows reports whether an attempt may be stopped for a guarantee.
func borrows(a crank.RoundAttempt) bool { return a.Stoppable && a.Cell == "" && !a.Stopping }

// loss is the work that stopping an attempt throws away, in accelerator
// seconds. An attempt that can move loses little.
func (b *borrowers) loss(n int) float64 {
	a := b.attempts[n]
	area := float64(max(1, a.Shape.Total().Accelerators))
	if a.Movable {
		return area
	}
	return b.now.Sub(a.Placed).Seconds()*area + area
}

// victims returns attempts whose end makes room for parts, those that lose the
// least work, or false when there are not enough that may be stopped.
func (b *borrowers) victims(f *fleet, parts []crank.Part, per crank.Resources, may func(crank.RoundAttempt) bool) ([]int, bool) {
	chosen := make(map[int]bool)
	var list []int
	for _, p := range parts {
		need := per.Times(p.Tasks)
		have := f.free[f.index[p.Worker]]
		for _, n := range list {
			have = have.Plus(b.usedAt(n, p.Worker))
		}
		if have.Covers(need) {
			continue
		}
		for _, n := range b.candidates(p.Worker, chosen, may) {
			chosen[n] = true
			list = append(list, n)
			have = have.Plus(b.usedAt(n, p.Worker))
			if have.Covers(need) {
				break
			}
		}
		if !have.Covers(need) {
			return nil, false
		}
	}
	return list, true
}

func (b *borrowers) candidates(worker string, chosen map[int]bool, may func(crank.RoundAttempt) bool) []int {
	var list []int
	for _, n := range b.byWorker[worker] {
		if !chosen[n] && !b.evicted[n] && may(b.attempts[n]) {
			list = append(list, n)
		}
	}
	slices.SortStableFunc(list, func(x, y int) int { return cmp.Compare(b.loss(x), b.loss(y)) })
	return list
}

func (b *borrowers) usedAt(n int, worker string) crank.Resources {
	a := b.attempts[n]
	for _, p := range a.Parts {
		if p.Worker == worker {
			return a.Shape.PerTask.Times(p.Tasks)
		}
	}
	return crank.Resources{}
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
