package crankplan

import (
	"cmp"
	"slices"

	crank "cranberrycrank"
)

// fragmentationScorer computes the cost of a place: how many gangs of the current
// shapes no longer fit. Low cost keeps large adjacent shapes free. It follows the
// fragmentation gradient descent of Weng et al. (USENIX ATC 2023), but with whole
// gangs instead of single tasks.
type fragmentationScorer struct {
	fleet        *fleet
	shapes       []crank.Shape
	taskCapacity [][]int // by shape and domain of its span: tasks that fit into what is free
	lostTasks    []int   // scratch space of partsCost, by domain; zero between calls
}

const maxScoredShapes = 12

// taskLossWeight weighs lost capacity for a task against that for a whole gang.
const taskLossWeight = 1.0 / 64

// newFragmentationScorer scores the shapes of the guarantees, the waiting jobs and
// the active attempts.
func newFragmentationScorer(f *fleet, r crank.Round) *fragmentationScorer {
	sc := &fragmentationScorer{fleet: f, lostTasks: make([]int, len(f.workers)+1)}
	for _, w := range r.Workspaces {
		for _, guarantee := range w.Guarantees {
			sc.addShape(guarantee.Shape)
		}
	}
	for _, j := range r.Waiting {
		sc.addShape(j.Shape)
	}
	for _, a := range r.Active {
		sc.addShape(a.Shape)
	}
	for _, s := range sc.shapes {
		sc.taskCapacity = append(sc.taskCapacity, sc.countTaskCapacity(s))
	}
	return sc
}

func (sc *fragmentationScorer) addShape(s crank.Shape) {
	if s.PerTask.Accelerators == 0 || len(sc.shapes) >= maxScoredShapes || slices.Contains(sc.shapes, s) {
		return
	}
	sc.shapes = append(sc.shapes, s)
}

func (sc *fragmentationScorer) countTaskCapacity(s crank.Shape) []int {
	counts := make([]int, sc.fleet.domainCount(s.Span))
	for i, free := range sc.fleet.free {
		counts[sc.fleet.domainOf(s.Span, i)] += free.Fits(s.PerTask, maxTasksPerWorker)
	}
	return counts
}

// maxTasksPerWorker limits the tasks counted on one worker.
const maxTasksPerWorker = 1 << 10

// workerCost returns the cost of using resources on worker i, in accelerators.
func (sc *fragmentationScorer) workerCost(i int, need crank.Resources) float64 {
	free := sc.fleet.free[i]
	rest := free.Minus(need)
	total := 0.0
	for k, s := range sc.shapes {
		lost := free.Fits(s.PerTask, maxTasksPerWorker) - rest.Fits(s.PerTask, maxTasksPerWorker)
		if lost == 0 {
			continue
		}
		capacity := sc.taskCapacity[k][sc.fleet.domainOf(s.Span, i)]
		total += lostAccelerators(s, capacity, lost)
	}
	return total
}

// lostAccelerators returns the accelerators that a shape can no longer use when a
// domain's capacity, in tasks, shrinks by lost.
func lostAccelerators(s crank.Shape, capacity, lost int) float64 {
	gangs := capacity/s.Tasks - (capacity-lost)/s.Tasks
	return float64(s.PerTask.Accelerators) * (float64(gangs*s.Tasks) + taskLossWeight*float64(lost))
}

// partsCost returns the cost of placing a gang, in accelerators.
func (sc *fragmentationScorer) partsCost(parts []crank.Part, perTask crank.Resources) float64 {
	total := 0.0
	for k, s := range sc.shapes {
		var touched []int
		for _, p := range parts {
			i := sc.fleet.index[p.Worker]
			free := sc.fleet.free[i]
			rest := free.Minus(perTask.Times(p.Tasks))
			d := sc.fleet.domainOf(s.Span, i)
			if sc.lostTasks[d] == 0 {
				touched = append(touched, d)
			}
			sc.lostTasks[d] += free.Fits(s.PerTask, maxTasksPerWorker) - rest.Fits(s.PerTask, maxTasksPerWorker)
		}
		for _, d := range touched {
			total += lostAccelerators(s, sc.taskCapacity[k][d], sc.lostTasks[d])
			sc.lostTasks[d] = 0
		}
	}
	return total
}

// update adjusts taskCapacity after free[i] changed.
func (sc *fragmentationScorer) update(i int, before crank.Resources) {
	now := sc.fleet.free[i]
	for k, s := range sc.shapes {
		sc.taskCapacity[k][sc.fleet.domainOf(s.Span, i)] += now.Fits(s.PerTask, maxTasksPerWorker) - before.Fits(s.PerTask, maxTasksPerWorker)
	}
}

// bestWorker picks the worker where the gang costs least, on a tie the one with the
// fewest accelerators left over.
func (sc *fragmentationScorer) bestWorker(s *search) []crank.Part {
	total := s.shape.Total()
	best, least, rest := -1, 0.0, 0
	for i := range s.fleet.workers {
		have := s.fleet.avail(s.view, i)
		if !have.Covers(total) || !s.usable(i) {
			continue
		}
		cost := sc.workerCost(i, total)
		left := s.fleet.free[i].Accelerators - total.Accelerators
		if best < 0 || cost < least || (cost == least && left < rest) {
			best, least, rest = i, cost, left
		}
	}
	if best < 0 {
		return nil
	}
	return []crank.Part{{Worker: s.fleet.workers[best].ID, Tasks: s.shape.Tasks}}
}

// bestDomain picks the domain where the gang costs least.
func (sc *fragmentationScorer) bestDomain(s *search, domains []domain) []crank.Part {
	var best []crank.Part
	least := 0.0
	for _, d := range domains {
		if tasks, _ := s.domainCapacity(d); tasks < s.shape.Tasks {
			continue
		}
		parts := sc.fill(s, d)
		if cost := sc.partsCost(parts, s.shape.PerTask); best == nil || cost < least {
			best, least = parts, cost
		}
	}
	return best
}

// fill assigns a gang to the workers of a domain with the lowest cost per task.
func (sc *fragmentationScorer) fill(s *search, d domain) []crank.Part {
	type candidate struct {
		worker, fits int
		cost         float64 // per task
	}
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		if fits := s.fitsOn(i); fits > 0 {
			cost := sc.workerCost(i, s.shape.PerTask.Times(fits)) / float64(fits)
			candidates = append(candidates, candidate{i, fits, cost})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), b.fits-a.fits)
	})
	var parts []crank.Part
	rest := s.shape.Tasks
	for _, c := range candidates {
		tasks := min(rest, c.fits)
		parts = append(parts, crank.Part{Worker: s.fleet.workers[c.worker].ID, Tasks: tasks})
		if rest -= tasks; rest == 0 {
			return parts
		}
	}
	return nil
}
