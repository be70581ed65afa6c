// Package crankpack chooses the workers that tasks are placed on, and the
// running work that makes room. Its functions do no I/O and read no clock.
package crankpack

import (
	"slices"

	crank "cranberrycrank"
)

// Room is the capacity of one worker as a planning round sees it.
type Room struct {
	Worker  string
	Zone    string
	Rack    string
	Labels  []string
	Total   crank.Demand
	Free    crank.Demand   // that nothing holds
	Soon    crank.Demand   // Free and what is being stopped
	Open    bool           // tasks may be started now
	Serves  bool           // a task with a latency target runs
	Fills   bool           // a filler runs
	PerStep map[string]int // tasks of a step that are there, by the step's key
	Doubt   int            // grows with failures there; rooms with less go first
}

// Request asks for places for tasks of one step.
type Request struct {
	Key   string // of the step's occurrence
	Step  crank.Step
	Tasks int
	Avoid func(worker string) bool // may be nil
}

// When says which capacity a placement counts on.
type When int

// Capacities that a placement may count on.
const (
	Now   When = iota // what is free
	Later             // also what is being stopped
	Empty             // all of it, as if nothing ran
)

// Floor is all rooms of a pool.
type Floor struct {
	Rooms []*Room
	racks [][]*Room
	full  map[size]bool // requests that found no place; rooms only shrink during a round
}

// size is all of a request that decides whether it finds a place, where it
// asks for nothing that differs from worker to worker.
type size struct {
	room     crank.Demand
	tasks    int
	sameRack bool
	label    string
	serves   bool
	fills    bool
	when     When
}

func sizeOf(q Request, w When) (size, bool) {
	plain := q.Avoid == nil && q.Step.MaxPerWorker == 0
	return size{q.Step.Room(), q.Tasks, q.Step.SameRack, q.Step.Label, q.Step.Latency > 0, q.Step.Filler, w}, plain
}

// Freed says that rooms have grown.
func (f *Floor) Freed() { clear(f.full) }

// NewFloor returns a floor of rooms. It changes the rooms as tasks are placed.
func NewFloor(rooms []*Room) *Floor {
	f := &Floor{Rooms: rooms, full: make(map[size]bool)}
	index := make(map[string]int)
	for _, r := range rooms {
		key := r.Zone + "\x00" + r.Rack
		i, ok := index[key]
		if !ok {
			i = len(f.racks)
			index[key] = i
			f.racks = append(f.racks, nil)
		}
		f.racks[i] = append(f.racks[i], r)
	}
	return f
}

// capacity returns what a request may count on in a room.
func (r *Room) capacity(w When) crank.Demand {
	switch w {
	case Later:
		return r.Soon
	case Empty:
		return r.Total
	}
	return r.Free
}

// admits reports whether the room may run tasks of the step at all.
func (r *Room) admits(q Request, w When) bool {
	if w != Empty && (!r.Open || (q.Step.Latency > 0 && r.Fills) || (q.Step.Filler && r.Serves)) {
		return false
	}
	if q.Step.Label != "" && !slices.Contains(r.Labels, q.Step.Label) {
		return false
	}
	return w == Empty || q.Avoid == nil || !q.Avoid(r.Worker)
}

// fits returns how many tasks of the request, at most limit, fit.
func (r *Room) fits(q Request, w When, limit int) int {
	if !r.admits(q, w) {
		return 0
	}
	if m := q.Step.MaxPerWorker; m > 0 {
		held := r.PerStep[q.Key]
		if w == Empty {
			held = 0
		}
		limit = min(limit, m-held)
	}
	have, need := r.capacity(w), q.Step.Room()
	n := 0
	for n < limit && have.Covers(need) {
		have = have.Minus(need)
		n++
	}
	return n
}

// Take books a task of a request in the room.
func (r *Room) Take(q Request) {
	need := q.Step.Room()
	r.Free, r.Soon = r.Free.Minus(need), r.Soon.Minus(need)
	if r.PerStep == nil {
		r.PerStep = make(map[string]int)
	}
	r.PerStep[q.Key]++
	r.Serves = r.Serves || q.Step.Latency > 0
	r.Fills = r.Fills || q.Step.Filler
}

// tighter orders rooms so that the one that is left with least comes first.
func tighter(w When) func(a, b *Room) int {
	return func(a, b *Room) int {
		if a.Doubt != b.Doubt {
			return a.Doubt - b.Doubt
		}
		x, y := a.capacity(w), b.capacity(w)
		if x.Accelerators != y.Accelerators {
			return x.Accelerators - y.Accelerators
		}
		return x.MilliCores - y.MilliCores
	}
}

// Place returns a room for each task of the request, or nil when not all fit.
// Tasks that belong on one rack are placed on one.
func (f *Floor) Place(q Request, w When) []*Room {
	size, plain := sizeOf(q, w)
	if plain && f.full[size] {
		return nil
	}
	rooms := f.place(q, w)
	if plain && rooms == nil {
		f.full[size] = true
	}
	return rooms
}

func (f *Floor) place(q Request, w When) []*Room {
	if q.Step.DataRack != "" {
		if rooms := fill(f.rack(q.Step.DataRack), q, w); rooms != nil {
			return rooms
		}
	}
	if !q.Step.SameRack {
		return fill(f.Rooms, q, w)
	}
	var best []*Room
	bestLeft := 0.0
	for _, rack := range f.racks {
		rooms := fill(rack, q, w)
		if rooms == nil {
			continue
		}
		if left := spare(rack, w); best == nil || left < bestLeft {
			best, bestLeft = rooms, left
		}
	}
	return best
}

// Spread places the request on any racks, as a last resort for tasks that
// belong on one.
func (f *Floor) Spread(q Request, w When) []*Room { return fill(f.Rooms, q, w) }

func (f *Floor) rack(name string) []*Room {
	for _, rack := range f.racks {
		if rack[0].Rack == name {
			return rack
		}
	}
	return nil
}

// spare returns what the open rooms of a rack have left.
func spare(rack []*Room, w When) float64 {
	sum := 0.0
	for _, r := range rack {
		if r.Open || w == Empty {
			sum += r.capacity(w).Cores()
		}
	}
	return sum
}

// fill returns rooms for all tasks, the tightest first, or nil.
func fill(rooms []*Room, q Request, w When) []*Room {
	sorted := slices.Clone(rooms)
	slices.SortStableFunc(sorted, tighter(w))
	var places []*Room
	for _, r := range sorted {
		n := r.fits(q, w, q.Tasks-len(places))
		for range n {
			places = append(places, r)
		}
		if len(places) == q.Tasks {
			return places
		}
	}
	return nil
}
