package crankpack

import crank "cranberrycrank"

// Fit is how many tasks of a request the workers of a pool have room for.
type Fit struct {
	Rack int // on the rack with the most room
	Pool int // on all racks
}

// Fit returns how many tasks of the request fit, at most as many as it has.
func (p *Pool) Fit(q Request, k CapacityKind) Fit {
	var f Fit
	for _, rack := range p.racks {
		n := 0
		for _, w := range rack {
			n += w.fitCount(q, k, crank.Demand{}, q.Tasks-n)
		}
		f.Rack = max(f.Rack, n)
		f.Pool = min(q.Tasks, f.Pool+n)
	}
	return f
}

// InUse returns the share of the pool's capacity that was in use when the pool was made,
// of the resource that is used most.
func (p *Pool) InUse() float64 { return p.inUse }

func shareInUse(workers []*WorkerCapacity) float64 {
	var free, total crank.Demand
	for _, w := range workers {
		free, total = free.Plus(w.Free), total.Plus(w.Total)
	}
	inUse := 0.0
	for _, r := range [][2]int{{free.MilliCores, total.MilliCores}, {free.MemoryMiB, total.MemoryMiB}, {free.Accelerators, total.Accelerators}} {
		if r[1] > 0 {
			inUse = max(inUse, 1-float64(r[0])/float64(r[1]))
		}
	}
	return inUse
}
