package crankplan

import (
	crank "cranberrycrank"
)

// fleet tracks the resources of a round's workers during planning.
//
// For worker i, free[i] is free now; reclaimable[i] adds what borrowers use, attempts
// that may be evicted for a guarantee; patientReclaimable[i] adds only what patient
// borrowers use; cellReserved[i] is reserved for cells. A placement that can't be
// stopped must leave reclaimable[i] covering cellReserved[i].
type fleet struct {
	workers            []crank.RoundWorker
	index              map[string]int
	racks              []domain
	zones              []domain
	all                []domain
	rackOf             []int                // rack index by worker
	zoneOf             []int                // availability zone index by worker
	scorer             *fragmentationScorer // nil if places are not scored
	free               []crank.Resources
	reclaimable        []crank.Resources
	patientReclaimable []crank.Resources
	cellReserved       []crank.Resources
	heldFor            []string // job that the worker is held for, or ""
}

// domain is a range of adjacent workers, from inclusive to exclusive.
type domain struct{ from, to int }

func newFleet(workers []crank.RoundWorker) *fleet {
	n := len(workers)
	f := &fleet{
		workers:            workers,
		index:              make(map[string]int, n),
		free:               make([]crank.Resources, n),
		reclaimable:        make([]crank.Resources, n),
		patientReclaimable: make([]crank.Resources, n),
		cellReserved:       make([]crank.Resources, n),
		heldFor:            make([]string, n),
		all:                []domain{{0, n}},
	}
	for i, w := range workers {
		f.index[w.ID] = i
		if w.InService {
			f.free[i] = w.Free
			f.reclaimable[i] = w.Free
			f.patientReclaimable[i] = w.Free
		}
		if i == 0 || w.Zone != workers[i-1].Zone {
			f.zones = append(f.zones, domain{i, i})
		}
		if i == 0 || w.Zone != workers[i-1].Zone || w.Rack != workers[i-1].Rack {
			f.racks = append(f.racks, domain{i, i})
		}
		f.rackOf = append(f.rackOf, len(f.racks)-1)
		f.zoneOf = append(f.zoneOf, len(f.zones)-1)
		f.zones[len(f.zones)-1].to = i + 1
		f.racks[len(f.racks)-1].to = i + 1
	}
	return f
}

// addBorrower counts what a borrower uses as reclaimable.
func (f *fleet) addBorrower(a crank.RoundAttempt) {
	for _, p := range a.Parts {
		if i, ok := f.index[p.Worker]; ok && f.workers[i].InService {
			amount := a.Shape.PerTask.Times(p.Tasks)
			f.reclaimable[i] = f.reclaimable[i].Plus(amount)
			if a.Class != crank.ClassUrgent {
				f.patientReclaimable[i] = f.patientReclaimable[i].Plus(amount)
			}
		}
	}
}

// allocate takes the resources of a placement. What a borrower uses stays
// reclaimable.
func (f *fleet) allocate(parts []crank.Part, perTask crank.Resources, borrower bool) {
	for _, p := range parts {
		i := f.index[p.Worker]
		need := perTask.Times(p.Tasks)
		f.setFree(i, f.free[i].Minus(need))
		f.patientReclaimable[i] = f.patientReclaimable[i].Minus(need)
		if !borrower {
			f.reclaimable[i] = f.reclaimable[i].Minus(need)
		}
	}
}

// releaseEvicted frees what an evicted borrower used; it was reclaimable already.
func (f *fleet) releaseEvicted(a crank.RoundAttempt) {
	for _, p := range a.Parts {
		if i, ok := f.index[p.Worker]; ok && f.workers[i].InService {
			f.setFree(i, f.free[i].Plus(a.Shape.PerTask.Times(p.Tasks)))
		}
	}
}

func (f *fleet) setFree(i int, free crank.Resources) {
	before := f.free[i]
	f.free[i] = free
	if f.scorer != nil {
		f.scorer.update(i, before)
	}
}

// domainOf returns the index of the domain of span s that contains worker i.
func (f *fleet) domainOf(s crank.Span, i int) int {
	switch s {
	case crank.SpanWorker:
		return i
	case crank.SpanRack:
		return f.rackOf[i]
	case crank.SpanZone:
		return f.zoneOf[i]
	default:
		return 0
	}
}

func (f *fleet) domainCount(s crank.Span) int {
	if s == crank.SpanWorker {
		return len(f.workers)
	}
	return len(f.domains(s))
}

// reserveForCell reserves parts for a cell; n = -1 cancels that.
func (f *fleet) reserveForCell(parts []crank.Part, perTask crank.Resources, n int) {
	for _, p := range parts {
		i := f.index[p.Worker]
		f.cellReserved[i] = f.cellReserved[i].Plus(perTask.Times(p.Tasks * n))
	}
}

// view selects which resources of a worker a search may use.
type view int

const (
	viewFree               view = iota // free, also where reserved for cells
	viewUnreserved                     // free and not needed for cells
	viewReclaimable                    // free or used by borrowers, and not needed for cells
	viewPatientReclaimable             // the same, with patient borrowers only
	viewCapacity                       // full capacity, in service or not
)

func (f *fleet) avail(v view, i int) crank.Resources {
	switch v {
	case viewFree:
		return f.free[i]
	case viewUnreserved:
		return minResources(f.free[i], f.reclaimable[i].Minus(f.cellReserved[i]))
	case viewReclaimable:
		return f.reclaimable[i].Minus(f.cellReserved[i])
	case viewPatientReclaimable:
		return minResources(f.patientReclaimable[i], f.reclaimable[i].Minus(f.cellReserved[i]))
	default:
		return f.workers[i].Capacity
	}
}

func minResources(a, b crank.Resources) crank.Resources {
	return crank.Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		Cores:        min(a.Cores, b.Cores),
		MemoryMiB:    min(a.MemoryMiB, b.MemoryMiB),
		Slots:        min(a.Slots, b.Slots),
	}
}

// domains returns the domains of a span wider than one worker.
func (f *fleet) domains(s crank.Span) []domain {
	switch s {
	case crank.SpanRack:
		return f.racks
	case crank.SpanZone:
		return f.zones
	default:
		return f.all
	}
}
