package crankplan

import (
	crank "cranberrycrank"
)

// fleet is the working copy of a round's workers.
//
// For worker i, free[i] is what is free now, soft[i] adds what tasks hold that
// may be stopped for a guarantee, mild[i] adds of these only patient ones, and
// held[i] is kept for free cells. A
// placement that can't be stopped must leave soft[i] covering held[i].
type fleet struct {
	workers []crank.RoundWorker
	index   map[string]int
	racks   []domain
	zones   []domain
	all     []domain
	rackOf  []int     // rack of a worker
	zoneOf  []int     // availability zone of a worker
	scores  *gradient // nil when places are not scored
	free    []crank.Resources
	soft    []crank.Resources
	mild    []crank.Resources
	held    []crank.Resources
	closed  []string // job that a worker is held for, or ""
}

// domain is a range of workers that are adjacent.
type domain struct{ from, to int }

func newFleet(workers []crank.RoundWorker) *fleet {
	n := len(workers)
	f := &fleet{
		workers: workers,
		index:   make(map[string]int, n),
		free:    make([]crank.Resources, n),
		soft:    make([]crank.Resources, n),
		mild:    make([]crank.Resources, n),
		held:    make([]crank.Resources, n),
		closed:  make([]string, n),
		all:     []domain{{0, n}},
	}
	for i, w := range workers {
		f.index[w.ID] = i
		if w.InService {
			f.free[i] = w.Free
			f.soft[i] = w.Free
			f.mild[i] = w.Free
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

// addBorrower counts the parts of an attempt that may be stopped as soft.
func (f *fleet) addBorrower(a crank.RoundAttempt) {
	for _, p := range a.Parts {
		if i, ok := f.index[p.Worker]; ok && f.workers[i].InService {
			amount := a.Shape.PerTask.Times(p.Tasks)
			f.soft[i] = f.soft[i].Plus(amount)
			if a.Class != crank.ClassUrgent {
				f.mild[i] = f.mild[i].Plus(amount)
			}
		}
	}
}

// take places parts. A borrower may be stopped later, so it stays soft.
func (f *fleet) take(parts []crank.Part, per crank.Resources, borrower bool) {
	for _, p := range parts {
		i := f.index[p.Worker]
		need := per.Times(p.Tasks)
		f.setFree(i, f.free[i].Minus(need))
		f.mild[i] = f.mild[i].Minus(need)
		if !borrower {
			f.soft[i] = f.soft[i].Minus(need)
		}
	}
}

// release gives back the parts of an evicted borrower.
func (f *fleet) release(a crank.RoundAttempt) {
	for _, p := range a.Parts {
		if i, ok := f.index[p.Worker]; ok && f.workers[i].InService {
			f.setFree(i, f.free[i].Plus(a.Shape.PerTask.Times(p.Tasks)))
		}
	}
}

func (f *fleet) setFree(i int, free crank.Resources) {
	before := f.free[i]
	f.free[i] = free
	if f.scores != nil {
		f.scores.changed(i, before)
	}
}

// domainOf returns the index of the domain of a span that holds worker i.
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

// hold keeps parts for a cell; with n = -1 it gives them back.
func (f *fleet) hold(parts []crank.Part, per crank.Resources, n int) {
	for _, p := range parts {
		i := f.index[p.Worker]
		f.held[i] = f.held[i].Plus(per.Times(p.Tasks * n))
	}
}

// view says which amount of a worker a search may use.
type view int

const (
	viewFree     view = iota // what is free, also where cells are held
	viewSafe                 // what is free and not held for cells
	viewSoft                 // what is free or may be stopped, and not held for cells
	viewMild                 // the same, counting only patient work as what may be stopped
	viewCapacity             // everything, in service or not
)

// avail returns what a view shows of worker i.
func (f *fleet) avail(v view, i int) crank.Resources {
	switch v {
	case viewFree:
		return f.free[i]
	case viewSafe:
		return lesser(f.free[i], f.soft[i].Minus(f.held[i]))
	case viewSoft:
		return f.soft[i].Minus(f.held[i])
	case viewMild:
		return lesser(f.mild[i], f.soft[i].Minus(f.held[i]))
	default:
		return f.workers[i].Capacity
	}
}

func lesser(a, b crank.Resources) crank.Resources {
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
