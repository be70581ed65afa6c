package crankpack

import (
	"cmp"
	"maps"
	"slices"

	crank "cranberrycrank"
)

// Victim is running work that may be stopped as a whole: a task, or a gang.
type Victim struct {
	ID    int
	Parts []VictimPart
	Cost  float64 // core-seconds of work that a stop loses, weighted
	Lost  float64 // the same, not weighted
}

// VictimPart is the capacity that a victim holds on one worker.
type VictimPart struct {
	Worker string
	Demand crank.Demand
}

// Preempt returns the cheapest victims found whose stop lets the request fit, or nil.
// It is greedy and need not find the optimum. It does not change the pool.
//
// Load pattern: a burst of urgent gangs meets a full pool, and most of them find too
// little to preempt. Such a request costs one look at each worker and victim, since
// victims are ordered only on workers where stopping all of them is enough.
func (p *Pool) Preempt(q Request, victims VictimIndex) []Victim {
	groups := p.racks
	if !q.Step.SameRack {
		groups = [][]*WorkerCapacity{p.Workers}
	}
	var best []Victim
	bestCost := 0.0
	for _, workers := range groups {
		chosen := victims.choose(workers, q)
		if chosen == nil {
			continue
		}
		if cost := TotalCost(chosen); best == nil || cost < bestCost {
			best, bestCost = chosen, cost
		}
	}
	return best
}

// VictimIndex finds the victims that hold capacity on a worker.
type VictimIndex struct {
	victims  []Victim
	byWorker map[string][]victimHold
	removed  []bool // by index of the victim
}

// victimHold is what one victim holds on a worker.
type victimHold struct {
	victim int // index of the victim
	demand crank.Demand
}

// NewVictimIndex returns an index of victims.
func NewVictimIndex(victims []Victim) VictimIndex {
	byWorker := make(map[string][]victimHold)
	for i, v := range victims {
		for _, part := range v.Parts {
			byWorker[part.Worker] = append(byWorker[part.Worker], victimHold{i, part.Demand})
		}
	}
	return VictimIndex{victims, byWorker, make([]bool, len(victims))}
}

// Remove takes a victim, by its index, out of the index.
func (x VictimIndex) Remove(victim int) { x.removed[victim] = true }

// usefulVictim is a victim that frees capacity for a request.
type usefulVictim struct {
	Victim
	costPerCore float64 // of the freed cores
}

// choose takes victims by cost per freed core until the request fits on the workers,
// then drops those that are not needed.
func (x VictimIndex) choose(workers []*WorkerCapacity, q Request) []Victim {
	useful := x.usefulOn(workers, q)
	trial := newStopTrial(workers, q)
	for _, v := range useful {
		trial.stop(v.Victim)
	}
	if !trial.fits() {
		return nil
	}
	return chooseGreedy(useful, workers, q)
}

// chooseGreedy is choose for victims that may be enough.
func chooseGreedy(useful []usefulVictim, workers []*WorkerCapacity, q Request) []Victim {
	slices.SortStableFunc(useful, func(a, b usefulVictim) int { return cmp.Compare(a.costPerCore, b.costPerCore) })
	trial := newStopTrial(workers, q)
	var chosen []Victim
	for _, v := range useful {
		if trial.fits() {
			break
		}
		trial.stop(v.Victim)
		chosen = append(chosen, v.Victim)
	}
	if !trial.fits() {
		return nil
	}
	return trial.prune(chosen)
}

// usefulOn returns the victims whose stop frees capacity on workers that admit the
// request, in the order of the index.
func (x VictimIndex) usefulOn(workers []*WorkerCapacity, q Request) []usefulVictim {
	freedCores := make(map[int]float64)
	for _, w := range workers {
		if !w.admits(q, FutureCapacity) {
			continue
		}
		for _, h := range x.byWorker[w.Worker] {
			if !x.removed[h.victim] {
				freedCores[h.victim] += h.demand.Cores()
			}
		}
	}
	useful := make([]usefulVictim, 0, len(freedCores))
	for _, i := range slices.Sorted(maps.Keys(freedCores)) {
		if freedCores[i] > 0 {
			useful = append(useful, usefulVictim{x.victims[i], x.victims[i].Cost / freedCores[i]})
		}
	}
	return useful
}

// stopTrial counts how many tasks of a request fit on workers when victims are
// stopped. The tasks are alike, so the request fits when enough of them do.
type stopTrial struct {
	request Request
	workers []*WorkerCapacity
	index   map[string]int // of workers, by ID
	freed   []crank.Demand // by stopped victims, for each worker
	counts  []int          // tasks that fit, for each worker
	total   int
}

func newStopTrial(workers []*WorkerCapacity, q Request) *stopTrial {
	t := &stopTrial{request: q, workers: workers, index: make(map[string]int, len(workers)), freed: make([]crank.Demand, len(workers)), counts: make([]int, len(workers))}
	for i, w := range workers {
		t.index[w.Worker] = i
		t.recount(i)
	}
	return t
}

func (t *stopTrial) recount(i int) {
	n := t.workers[i].fitCount(t.request, FutureCapacity, t.freed[i], t.request.Tasks)
	t.total += n - t.counts[i]
	t.counts[i] = n
}

func (t *stopTrial) fits() bool { return t.total >= t.request.Tasks }

func (t *stopTrial) stop(v Victim) {
	for _, part := range v.Parts {
		if i, ok := t.index[part.Worker]; ok {
			t.freed[i] = t.freed[i].Plus(part.Demand)
			t.recount(i)
		}
	}
}

func (t *stopTrial) resume(v Victim) {
	for _, part := range v.Parts {
		if i, ok := t.index[part.Worker]; ok {
			t.freed[i] = t.freed[i].Minus(part.Demand)
			t.recount(i)
		}
	}
}

// prune drops stopped victims that are not needed, trying the most expensive first.
func (t *stopTrial) prune(chosen []Victim) []Victim {
	slices.SortStableFunc(chosen, func(a, b Victim) int { return cmp.Compare(b.Cost, a.Cost) })
	var needed []Victim
	for _, v := range chosen {
		t.resume(v)
		if t.fits() {
			continue
		}
		t.stop(v)
		needed = append(needed, v)
	}
	return needed
}

// TotalCost returns the cost of stopping all of the victims.
func TotalCost(victims []Victim) float64 {
	sum := 0.0
	for _, v := range victims {
		sum += v.Cost
	}
	return sum
}
