package crankpack

import "maps"

// Relocation is a victim that starts again elsewhere, or only stops if it needs no place.
type Relocation struct {
	Victim Victim
	Target *WorkerCapacity // nil if it only stops
}

// Relocate returns victims whose stop lets the request fit while those of them that need a
// place fit elsewhere beside it, or nil. The requests for their places are by the victim's ID.
// It tries one set of victims, the cheapest one that PreemptLeastTotal finds, and does not
// change the pool.
//
// Load pattern: small tasks that must not be lost stand on every worker, one on each, and a
// task that needs a whole worker finds none however idle they are.
func (p *Pool) Relocate(q Request, victims VictimIndex, places map[int]Request) []Relocation {
	chosen := p.PreemptLeastTotal(q, victims)
	if chosen == nil {
		return nil
	}
	trial := p.clone()
	index := make(map[string]int, len(p.Workers))
	for i, w := range trial.Workers {
		index[w.Worker] = i
	}
	for _, v := range chosen {
		for _, part := range v.Parts {
			w := trial.Workers[index[part.Worker]]
			w.Future = w.Future.Plus(part.Demand)
		}
	}
	if !trial.allocate(q) {
		return nil
	}
	var moved []Relocation
	for _, v := range chosen {
		r := Relocation{Victim: v}
		if place, ok := places[v.ID]; ok {
			target := trial.Place(place, FutureCapacity)
			if target == nil {
				return nil
			}
			target[0].Allocate(place)
			r.Target = p.Workers[index[target[0].Worker]]
		}
		moved = append(moved, r)
	}
	return moved
}

// clone returns a pool with the same capacity that can be changed.
func (p *Pool) clone() *Pool {
	workers := make([]*WorkerCapacity, len(p.Workers))
	for i, w := range p.Workers {
		c := *w
		c.Ends, c.endsSorted, c.lateEnds, c.TasksByStep = nil, false, nil, maps.Clone(w.TasksByStep)
		workers[i] = &c
	}
	return NewPool(workers)
}

// allocate places a request on FutureCapacity and reports whether it fits.
func (p *Pool) allocate(q Request) bool {
	workers := p.Place(q, FutureCapacity)
	for _, w := range workers {
		w.Allocate(q)
	}
	return workers != nil
}
