package crankplan

import (
	"cmp"
	"slices"

	crank "cranberrycrank"
)

// fragmentationScorer computes the cost of a place: how many gangs of the current
// shapes would no longer fit. Places of low cost keep large adjacent shapes free.
// It follows the fragmentation gradient descent of Weng et al. (USENIX ATC 2023),
// but counts whole gangs instead of single tasks.
type fragmentationScorer struct {
	fleet        *fleet
	shapes       []crank.Shape
	taskCapacity [][]int // by shape and domain of its span: tasks that fit into what is free
	lostTasks    []int   // scratch space of partsCost, by domain; all zero between calls
}

// maxScoredShapes limits how many shapes are scored.
const maxScoredShapes = 12

// taskLossWeight is the weight of losing capacity for a task, relative to losing it as
// part of a whole gang.
const taskLossWeight = 1.0 / 64

// newFragmentationScorer scores the shapes of the guarantees, the waiting jobs and
// the active attempts.
func newFragmentationScorer(f *fleet, r crank.Round) *fragmentationScorer {
	g := &fragmentationScorer{fleet: f, lostTasks: make([]int, len(f.workers)+1)}
	for _, w := range r.Workspaces {
		for _, guarantee := range w.Guarantees {
			g.addShape(guarantee.Shape)
		}
	}
	for _, j := range r.Waiting {
		g.addShape(j.Shape)
	}
	for _, a := range r.Active {
		g.addShape(a.Shape)
	}
	for _, s := range g.shapes {
		g.taskCapacity = append(g.taskCapacity, g.countTaskCapacity(s))
	}
	return g
}

func (g *fragmentationScorer) addShape(s crank.Shape) {
	if s.PerTask.Accelerators == 0 || len(g.shapes) >= maxScoredShapes || slices.Contains(g.shapes, s) {
		return
	}
	g.shapes = append(g.shapes, s)
}

func (g *fragmentationScorer) countTaskCapacity(s crank.Shape) []int {
	counts := make([]int, g.fleet.domainCount(s.Span))
	for i, free := range g.fleet.free {
		counts[g.fleet.domainOf(s.Span, i)] += free.Fits(s.PerTask, maxTasksPerWorker)
	}
	return counts
}

// maxTasksPerWorker limits how many tasks are counted on one worker.
const maxTasksPerWorker = 1 << 10

// workerCost returns the cost of using resources on worker i, in accelerators.
func (g *fragmentationScorer) workerCost(i int, need crank.Resources) float64 {
	free := g.fleet.free[i]
	rest := free.Minus(need)
	total := 0.0
	for k, s := range g.shapes {
		lost := free.Fits(s.PerTask, maxTasksPerWorker) - rest.Fits(s.PerTask, maxTasksPerWorker)
		if lost == 0 {
			continue
		}
		capacity := g.taskCapacity[k][g.fleet.domainOf(s.Span, i)]
		total += lostAccelerators(s, capacity, lost)
	}
	return total
}

// lostAccelerators returns the accelerators that a shape can no longer use if a
// domain with capacity for the given number of tasks loses capacity for some of them.
func lostAccelerators(s crank.Shape, capacity, lost int) float64 {
	gangs := capacity/s.Tasks - (capacity-lost)/s.Tasks
	return float64(s.PerTask.Accelerators) * (float64(gangs*s.Tasks) + taskLossWeight*float64(lost))
}

// partsCost returns the cost of placing a whole gang, in accelerators.
func (g *fragmentationScorer) partsCost(parts []crank.Part, per crank.Resources) float64 {
	total := 0.0
	for k, s := range g.shapes {
		var touched []int
		for _, p := range parts {
			i := g.fleet.index[p.Worker]
			free := g.fleet.free[i]
			rest := free.Minus(per.Times(p.Tasks))
			d := g.fleet.domainOf(s.Span, i)
			if g.lostTasks[d] == 0 {
				touched = append(touched, d)
			}
			g.lostTasks[d] += free.Fits(s.PerTask, maxTasksPerWorker) - rest.Fits(s.PerTask, maxTasksPerWorker)
		}
		for _, d := range touched {
			total += lostAccelerators(s, g.taskCapacity[k][d], g.lostTasks[d])
			g.lostTasks[d] = 0
		}
	}
	return total
}

// update adjusts the task capacity after the free resources of worker i changed.
func (g *fragmentationScorer) update(i int, before crank.Resources) {
	now := g.fleet.free[i]
	for k, s := range g.shapes {
		g.taskCapacity[k][g.fleet.domainOf(s.Span, i)] += now.Fits(s.PerTask, maxTasksPerWorker) - before.Fits(s.PerTask, maxTasksPerWorker)
	}
}

// bestWorker picks the worker where the gang costs least, on a tie the one with
// the fewest free accelerators left over.
func (g *fragmentationScorer) bestWorker(s *search) []crank.Part {
	total := s.shape.Total()
	best, least, rest := -1, 0.0, 0
	for i := range s.fleet.workers {
		have := s.fleet.avail(s.view, i)
		if !have.Covers(total) || !s.usable(i) {
			continue
		}
		cost := g.workerCost(i, total)
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
func (g *fragmentationScorer) bestDomain(s *search, domains []domain) []crank.Part {
	var best []crank.Part
	least := 0.0
	for _, d := range domains {
		if tasks, _ := s.domainCapacity(d); tasks < s.shape.Tasks {
			continue
		}
		parts := g.fill(s, d)
		if cost := g.partsCost(parts, s.shape.PerTask); best == nil || cost < least {
			best, least = parts, cost
		}
	}
	return best
}

// fill assigns a gang to the workers of a domain with the lowest cost per task.
func (g *fragmentationScorer) fill(s *search, d domain) []crank.Part {
	type candidate struct {
		worker, fits int
		cost         float64 // per task
	}
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		if fits := s.fitsOn(i); fits > 0 {
			cost := g.workerCost(i, s.shape.PerTask.Times(fits)) / float64(fits)
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
