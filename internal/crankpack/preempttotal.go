package crankpack

import (
	"cmp"
	"slices"

	crank "cranberrycrank"
)

// PreemptLeastTotal returns the victims with the least total cost among several sets whose
// stop lets the request fit, or nil. On each rack, or in the whole pool where the request
// needs no rack, it compares the set that Preempt takes with one that is built worker by
// worker. It does not change the pool.
//
// Load pattern: urgent tasks need several accelerators of one worker each. By cost per
// freed core, single cheap tasks are taken all over the pool that make room for no task,
// and then a survey without checkpoints is added that does. Stopping the cheap tasks of few
// workers is enough.
//
// In such a burst each of 60 gangs looks at 44 racks. The first step of the second set is cheap
// and shows what a rack costs at least about; only the racks where that is least are searched.
func (p *Pool) PreemptLeastTotal(q Request, victims VictimIndex) []Victim {
	groups := p.racks
	if !q.Step.SameRack {
		groups = [][]*WorkerCapacity{p.Workers}
	}
	var searches []*workerSearch
	for _, workers := range groups {
		if victims.isEnough(workers, q) {
			searches = append(searches, victims.newWorkerSearch(workers, q))
		}
	}
	slices.SortStableFunc(searches, func(a, b *workerSearch) int { return cmp.Compare(a.estimate, b.estimate) })
	var best []Victim
	bestCost := 0.0
	for i, s := range searches {
		if best != nil && i >= maxSearches {
			break
		}
		for _, chosen := range [][]Victim{chooseGreedy(victims.usefulOn(s.workers, q), s.workers, q), s.choose()} {
			if chosen == nil {
				continue
			}
			if cost := TotalCost(chosen); best == nil || cost < bestCost {
				best, bestCost = chosen, cost
			}
		}
	}
	return best
}

// maxSearches is how many racks PreemptLeastTotal searches, unless none of them has a result.
const maxSearches = 6

// isEnough reports whether the request fits on workers once all their victims are stopped.
// What a gang frees on several workers is counted on each.
func (x VictimIndex) isEnough(workers []*WorkerCapacity, q Request) bool {
	n := 0
	for _, w := range workers {
		n += w.fitCount(q, FutureCapacity, x.heldOn(w), q.Tasks-n)
		if n >= q.Tasks {
			return true
		}
	}
	return false
}

func (x VictimIndex) heldOn(w *WorkerCapacity) crank.Demand {
	var held crank.Demand
	for _, h := range x.byWorker[w.Worker] {
		if !x.removed[h.victim] {
			held = held.Plus(h.demand)
		}
	}
	return held
}

// workerChoice is the cheapest way found to make room for one more task on a worker.
type workerChoice struct {
	victims     []int
	costPerTask float64 // of the tasks that fit in addition, on all workers
}

// workerSearch makes room on workers for one task after the other, each time on the worker
// where that costs least.
type workerSearch struct {
	index    VictimIndex
	workers  []*WorkerCapacity
	trial    *stopTrial
	stopped  map[int]bool
	choices  []workerChoice // of each worker, for its next task
	estimate float64        // of the total cost, without what a second task of a worker costs more
}

func (x VictimIndex) newWorkerSearch(workers []*WorkerCapacity, q Request) *workerSearch {
	s := &workerSearch{index: x, workers: workers, trial: newStopTrial(workers, q), stopped: make(map[int]bool), choices: make([]workerChoice, len(workers))}
	var costs []float64
	for i := range workers {
		s.choices[i] = x.cheapestOn(i, s.trial, s.stopped)
		if s.choices[i].victims != nil {
			costs = append(costs, s.choices[i].costPerTask)
		}
	}
	if len(costs) == 0 {
		return s
	}
	slices.Sort(costs)
	for n := range max(0, q.Tasks-s.trial.total) {
		s.estimate += costs[min(n, len(costs)-1)]
	}
	return s
}

// choose returns victims whose stop lets the request fit, all of them needed, or nil.
func (s *workerSearch) choose() []Victim {
	var chosen []Victim
	for !s.trial.fits() {
		best := -1
		for i, c := range s.choices {
			if c.victims != nil && (best < 0 || c.costPerTask < s.choices[best].costPerTask) {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		victims := s.choices[best].victims
		for _, v := range victims {
			s.stopped[v] = true
			s.trial.stop(s.index.victims[v])
			chosen = append(chosen, s.index.victims[v])
		}
		for _, v := range victims {
			for _, part := range s.index.victims[v].Parts { // a gang also freed capacity on other workers
				if i, ok := s.trial.index[part.Worker]; ok {
					s.choices[i] = s.index.cheapestOn(i, s.trial, s.stopped)
				}
			}
		}
	}
	return s.trial.prune(chosen)
}

// cheapestOn returns the cheapest victims found that make room for one more task on a
// worker: a single one, or several by cost and by what they free of what is short.
func (x VictimIndex) cheapestOn(i int, trial *stopTrial, stopped map[int]bool) workerChoice {
	w, q := trial.workers[i], trial.request
	var held crank.Demand
	var holds []victimHold
	for _, h := range x.byWorker[w.Worker] {
		if stopped[h.victim] || x.removed[h.victim] {
			continue
		}
		held = held.Plus(h.demand)
		if n := len(holds); n > 0 && holds[n-1].victim == h.victim { // members of a gang
			holds[n-1].demand = holds[n-1].demand.Plus(h.demand)
		} else {
			holds = append(holds, h)
		}
	}
	before := trial.counts[i]
	if before >= q.Tasks || len(holds) == 0 || w.fitCount(q, FutureCapacity, trial.freed[i].Plus(held), before+1) <= before {
		return workerChoice{}
	}
	need := q.Step.ReservedCapacity()
	short := need.Times(before + 1).Minus(w.Future.Plus(trial.freed[i]))
	slices.SortStableFunc(holds, func(a, b victimHold) int {
		return cmp.Compare(x.victims[a.victim].Cost/shareOf(short, a.demand), x.victims[b.victim].Cost/shareOf(short, b.demand))
	})
	var taken []victimHold
	sum := crank.Demand{}
	for _, h := range holds {
		taken, sum = append(taken, h), sum.Plus(h.demand)
		if sum.Covers(short) {
			break
		}
	}
	slices.SortStableFunc(taken, func(a, b victimHold) int { return cmp.Compare(x.victims[b.victim].Cost, x.victims[a.victim].Cost) })
	var needed []int
	cost := 0.0
	for _, h := range taken {
		if sum.Minus(h.demand).Covers(short) {
			sum = sum.Minus(h.demand)
			continue
		}
		needed, cost = append(needed, h.victim), cost+x.victims[h.victim].Cost
	}
	for _, h := range holds {
		if c := x.victims[h.victim].Cost; c < cost && h.demand.Covers(short) {
			needed, cost = []int{h.victim}, c
		}
	}
	return workerChoice{needed, cost / float64(x.gain(needed, trial))}
}

// gain returns how many more tasks of the request fit once victims are stopped, at least 1.
func (x VictimIndex) gain(victims []int, trial *stopTrial) int {
	before := trial.total
	for _, v := range victims {
		trial.stop(x.victims[v])
	}
	gained := min(trial.total, trial.request.Tasks) - before
	for _, v := range victims {
		trial.resume(x.victims[v])
	}
	return max(1, gained)
}

// shareOf returns which share of what is short a demand covers, summed over the resources
// and more than 0.
func shareOf(short, d crank.Demand) float64 {
	sum := 1e-9
	for _, r := range [][2]int{{short.MilliCores, d.MilliCores}, {short.MemoryMiB, d.MemoryMiB}, {short.Accelerators, d.Accelerators}} {
		if r[0] > 0 {
			sum += float64(min(r[0], r[1])) / float64(r[0])
		}
	}
	return sum
}
