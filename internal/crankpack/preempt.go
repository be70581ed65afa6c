package crankpack

import (
	"cmp"
	"slices"
	"sort"

	crank "cranberrycrank"
)

// Victim is running work that may be stopped as a whole: a task, or a gang.
type Victim struct {
	ID    int
	Parts []VictimPart
	Cost  float64 // core-seconds of work that a stop loses
}

// VictimPart is the capacity that a victim holds on one worker.
type VictimPart struct {
	Worker string
	Demand crank.Demand
}

// Preempt returns the cheapest victims found whose stop lets the request fit, or nil.
// It is greedy and need not find the optimum. It does not change the pool.
func (p *Pool) Preempt(q Request, victims []Victim) []Victim {
	groups := p.racks
	if !q.Step.SameRack {
		groups = [][]*WorkerCapacity{p.Workers}
	}
	var best []Victim
	bestCost := 0.0
	for _, workers := range groups {
		chosen := chooseVictims(workers, q, victims)
		if chosen == nil {
			continue
		}
		if cost := totalCost(chosen); best == nil || cost < bestCost {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// chooseVictims takes victims by cost per freed core until the request fits on
// the workers, then drops those that are not needed.
func chooseVictims(workers []*WorkerCapacity, q Request, victims []Victim) []Victim {
	usable := make(map[string]bool, len(workers))
	for _, w := range workers {
		usable[w.Worker] = w.admits(q, FutureCapacity)
	}
	var useful []Victim
	for _, v := range victims {
		if v.freedOn(usable).Cores() > 0 {
			useful = append(useful, v)
		}
	}
	slices.SortStableFunc(useful, func(a, b Victim) int {
		return cmp.Compare(a.Cost/a.freedOn(usable).Cores(), b.Cost/b.freedOn(usable).Cores())
	})
	// Stopping more victims never frees less, so a binary search finds the
	// shortest sufficient prefix.
	if !fitsAfterPreempting(workers, q, useful) {
		return nil
	}
	n := sort.Search(len(useful), func(n int) bool { return fitsAfterPreempting(workers, q, useful[:n]) })
	return prune(workers, q, useful[:n])
}

// freedOn returns what stopping the victim frees on usable workers.
func (v Victim) freedOn(usable map[string]bool) crank.Demand {
	var sum crank.Demand
	for _, p := range v.Parts {
		if usable[p.Worker] {
			sum = sum.Plus(p.Demand)
		}
	}
	return sum
}

// fitsAfterPreempting reports whether the request fits once the victims have stopped.
func fitsAfterPreempting(workers []*WorkerCapacity, q Request, victims []Victim) bool {
	freed := make(map[string]crank.Demand)
	for _, v := range victims {
		for _, p := range v.Parts {
			freed[p.Worker] = freed[p.Worker].Plus(p.Demand)
		}
	}
	trial := make([]*WorkerCapacity, len(workers))
	for i, w := range workers {
		c := *w
		c.Future = c.Future.Plus(freed[w.Worker])
		trial[i] = &c
	}
	return placeBestFit(trial, q, FutureCapacity) != nil
}

// prune drops victims that are not needed, trying the most expensive first.
func prune(workers []*WorkerCapacity, q Request, chosen []Victim) []Victim {
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.Cost, a.Cost) })
	for i := 0; i < len(chosen); {
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		if fitsAfterPreempting(workers, q, rest) {
			chosen = rest
			continue
		}
		i++
	}
	return chosen
}

func totalCost(victims []Victim) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += v.Cost
	}
	return sum
}
