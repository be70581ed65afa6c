package crankplan

import (
	"cmp"
	"slices"

	crank "cranberrycrank"
)

// gradient scores places by how many gangs of the current shapes they make
// impossible, so that placements keep large adjacent shapes free. It follows
// the fragmentation gradient descent of Weng et al. (USENIX ATC 2023), with
// whole gangs in place of single tasks.
type gradient struct {
	fleet  *fleet
	shapes []crank.Shape
	rooms  [][]int // tasks of a shape that fit into each of its domains
	lost   []int   // scratch space of partsLoss, by domain, zero between calls
}

// maxShapes bounds the shapes that are scored.
const maxShapes = 12

// smallLoss weighs the loss of room for a task against that of a whole gang.
const smallLoss = 1.0 / 64

// newGradient scores the shapes of the waiting and active jobs and of the
// guarantees.
func newGradient(f *fleet, r crank.Round) *gradient {
	g := &gradient{fleet: f, lost: make([]int, len(f.workers)+1)}
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
		g.rooms = append(g.rooms, g.roomsOf(s))
	}
	return g
}

func (g *gradient) addShape(s crank.Shape) {
	if s.PerTask.Accelerators == 0 || len(g.shapes) >= maxShapes || slices.Contains(g.shapes, s) {
		return
	}
	g.shapes = append(g.shapes, s)
}

func (g *gradient) roomsOf(s crank.Shape) []int {
	rooms := make([]int, g.fleet.domainCount(s.Span))
	for i, free := range g.fleet.free {
		rooms[g.fleet.domainOf(s.Span, i)] += free.Fits(s.PerTask, fitLimit)
	}
	return rooms
}

// fitLimit bounds the tasks that are counted for one worker.
const fitLimit = 1 << 10

// workerLoss returns what a place of some resources at worker i costs, in
// accelerators.
func (g *gradient) workerLoss(i int, need crank.Resources) float64 {
	free := g.fleet.free[i]
	rest := free.Minus(need)
	total := 0.0
	for k, s := range g.shapes {
		lost := free.Fits(s.PerTask, fitLimit) - rest.Fits(s.PerTask, fitLimit)
		if lost == 0 {
			continue
		}
		room := g.rooms[k][g.fleet.domainOf(s.Span, i)]
		total += roomLoss(s, room, lost)
	}
	return total
}

// roomLoss returns the accelerators that a shape can't use any more when a
// domain has room for fewer tasks.
func roomLoss(s crank.Shape, room, lost int) float64 {
	gangs := room/s.Tasks - (room-lost)/s.Tasks
	return float64(s.PerTask.Accelerators) * (float64(gangs*s.Tasks) + smallLoss*float64(lost))
}

// partsLoss returns what a whole gang's place costs, in accelerators.
func (g *gradient) partsLoss(parts []crank.Part, per crank.Resources) float64 {
	total := 0.0
	for k, s := range g.shapes {
		var touched []int
		for _, p := range parts {
			i := g.fleet.index[p.Worker]
			free := g.fleet.free[i]
			rest := free.Minus(per.Times(p.Tasks))
			d := g.fleet.domainOf(s.Span, i)
			if g.lost[d] == 0 {
				touched = append(touched, d)
			}
			g.lost[d] += free.Fits(s.PerTask, fitLimit) - rest.Fits(s.PerTask, fitLimit)
		}
		for _, d := range touched {
			total += roomLoss(s, g.rooms[k][d], g.lost[d])
			g.lost[d] = 0
		}
	}
	return total
}

// changed updates the rooms after worker i had other resources free.
func (g *gradient) changed(i int, before crank.Resources) {
	now := g.fleet.free[i]
	for k, s := range g.shapes {
		g.rooms[k][g.fleet.domainOf(s.Span, i)] += now.Fits(s.PerTask, fitLimit) - before.Fits(s.PerTask, fitLimit)
	}
}

// bestWorker finds the worker where the gang costs least.
func (g *gradient) bestWorker(s *search) []crank.Part {
	total := s.shape.Total()
	best, least, rest := -1, 0.0, 0
	for i := range s.fleet.workers {
		have := s.fleet.avail(s.view, i)
		if !have.Covers(total) || !s.usable(i) {
			continue
		}
		cost := g.workerLoss(i, total)
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

// bestDomain finds the domain where the gang costs least.
func (g *gradient) bestDomain(s *search, domains []domain) []crank.Part {
	var best []crank.Part
	least := 0.0
	for _, d := range domains {
		if tasks, _ := s.room(d); tasks < s.shape.Tasks {
			continue
		}
		parts := g.fill(s, d)
		if cost := g.partsLoss(parts, s.shape.PerTask); best == nil || cost < least {
			best, least = parts, cost
		}
	}
	return best
}

// fill spreads a gang over the workers of a domain where a task costs least.
func (g *gradient) fill(s *search, d domain) []crank.Part {
	type candidate struct {
		worker, fits int
		cost         float64 // of a task
	}
	var candidates []candidate
	for i := d.from; i < d.to; i++ {
		if fits := s.fits(i); fits > 0 {
			cost := g.workerLoss(i, s.shape.PerTask.Times(fits)) / float64(fits)
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
