package cranksched

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpack"
)

const (
	recentShapes   = 30 * time.Second // jobs that came since then stand for those that will come
	maxShapes      = 6                // of a pool, that placement weighs
	maxShapedSteps = 8                // of one job
)

// shapeClass is a group of steps that count as one shape. Cores and memory of jobs vary
// more or less continuously.
type shapeClass struct {
	accelerators   int
	gang, sameRack bool
}

// shapeSum is what steps of a class request.
type shapeSum struct {
	steps, tasks int
	demand       crank.Demand // of one task each
}

// recentlyRequested returns the shapes that jobs of each pool requested lately, those of the
// most work first.
func (s *Scheduler) recentlyRequested(now time.Time) map[string][]crankpack.Shape {
	sums := make(map[string]map[shapeClass]shapeSum)
	for _, j := range s.jobs {
		if now.Sub(j.firstSeen) > recentShapes {
			continue
		}
		of := sums[j.spec.Pool]
		if of == nil {
			of = make(map[shapeClass]shapeSum)
			sums[j.spec.Pool] = of
		}
		for i := range j.spec.Steps[:min(len(j.spec.Steps), maxShapedSteps)] {
			st := &j.spec.Steps[i]
			class := shapeClass{st.Demand.Accelerators, st.Gang, st.SameRack}
			sum := of[class]
			of[class] = shapeSum{sum.steps + 1, sum.tasks + st.Tasks, sum.demand.Plus(st.ReservedCapacity())}
		}
	}
	shapes := make(map[string][]crankpack.Shape, len(sums))
	for pool, of := range sums {
		for class, sum := range of {
			shape := crankpack.Shape{Tasks: 1, SameRack: class.sameRack, Weight: float64(sum.steps), Demand: crank.Demand{
				MilliCores: sum.demand.MilliCores / sum.steps, MemoryMiB: sum.demand.MemoryMiB / sum.steps, Accelerators: class.accelerators,
			}}
			if class.gang {
				shape.Tasks = max(1, sum.tasks/sum.steps)
			}
			if shape.Demand != (crank.Demand{}) {
				shapes[pool] = append(shapes[pool], shape)
			}
		}
		slices.SortFunc(shapes[pool], func(a, b crankpack.Shape) int {
			return cmp.Or(cmp.Compare(shapeWork(b), shapeWork(a)), cmp.Compare(a.Demand.Accelerators, b.Demand.Accelerators), cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Demand.MilliCores, b.Demand.MilliCores))
		})
		shapes[pool] = shapes[pool][:min(len(shapes[pool]), maxShapes)]
	}
	return shapes
}

// shapeWork returns the cores that requests of a shape take, weighted by how often they come.
func shapeWork(s crankpack.Shape) float64 {
	return s.Weight * s.Demand.Times(s.Tasks).Cores()
}
