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
	Cost  float64 // core-seconds of work that a stop throws away
}

// VictimPart is what a victim holds of a worker.
type VictimPart struct {
	Worker string
	Holds  crank.Demand
}

// Preempt returns the cheapest victims found whose stop makes room for the
// request, or nil when no choice does. Rooms are not changed.
func (f *Floor) Preempt(q Request, victims []Victim) []Victim {
	groups := f.racks
	if !q.Step.SameRack {
		groups = [][]*Room{f.Rooms}
	}
	var best []Victim
	bestCost := 0.0
	for _, rooms := range groups {
		chosen := choose(rooms, q, victims)
		if chosen == nil {
			continue
		}
		if cost := totalCost(chosen); best == nil || cost < bestCost {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// choose takes victims until the request fits into the rooms, then drops
// those that turn out needless.
func choose(rooms []*Room, q Request, victims []Victim) []Victim {
	here := make(map[string]bool, len(rooms))
	for _, r := range rooms {
		here[r.Worker] = r.admits(q, Later)
	}
	var useful []Victim
	for _, v := range victims {
		if v.freed(here).Cores() > 0 {
			useful = append(useful, v)
		}
	}
	slices.SortStableFunc(useful, func(a, b Victim) int {
		return cmp.Compare(a.Cost/a.freed(here).Cores(), b.Cost/b.freed(here).Cores())
	})
	// More victims never make less room, so the fewest that do are found by
	// bisection.
	if !fits(rooms, q, useful) {
		return nil
	}
	n := sort.Search(len(useful), func(n int) bool { return fits(rooms, q, useful[:n]) })
	return prune(rooms, q, useful[:n])
}

func (v Victim) freed(here map[string]bool) crank.Demand {
	var sum crank.Demand
	for _, p := range v.Parts {
		if here[p.Worker] {
			sum = sum.Plus(p.Holds)
		}
	}
	return sum
}

func fits(rooms []*Room, q Request, victims []Victim) bool {
	freed := make(map[string]crank.Demand)
	for _, v := range victims {
		for _, p := range v.Parts {
			freed[p.Worker] = freed[p.Worker].Plus(p.Holds)
		}
	}
	trial := make([]*Room, len(rooms))
	for i, r := range rooms {
		c := *r
		c.Soon = c.Soon.Plus(freed[r.Worker])
		trial[i] = &c
	}
	return fill(trial, q, Later) != nil
}

// prune drops the dearest victims that are not needed.
func prune(rooms []*Room, q Request, chosen []Victim) []Victim {
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.Cost, a.Cost) })
	for i := 0; i < len(chosen); {
		rest := slices.Delete(slices.Clone(chosen), i, i+1)
		if fits(rooms, q, rest) {
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
