package crankpack

import (
	"fmt"
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawFloor draws rooms that are partly taken, with what each victim holds.
func drawFloor(t *rapid.T) (*Floor, []Victim) {
	var rooms []*Room
	var victims []Victim
	for i := range rapid.IntRange(1, 20).Draw(t, "rooms") {
		total := crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8}
		r := &Room{Worker: fmt.Sprintf("w%02d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/4), Total: total, Free: total, Open: rapid.IntRange(0, 9).Draw(t, "closed") > 0}
		for range rapid.IntRange(0, 3).Draw(t, "running") {
			held := crank.Demand{MilliCores: 1000 * rapid.IntRange(1, 8).Draw(t, "cores"), MemoryMiB: 4096, Accelerators: rapid.IntRange(0, 2).Draw(t, "accelerators")}
			r.Free = r.Free.Minus(held)
			victims = append(victims, Victim{ID: len(victims), Parts: []VictimPart{{r.Worker, held}}, Cost: float64(rapid.IntRange(0, 100).Draw(t, "cost"))})
		}
		r.Soon = r.Free
		rooms = append(rooms, r)
	}
	return NewFloor(rooms), victims
}

func drawRequest(t *rapid.T) Request {
	return Request{Key: "k", Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Step: crank.Step{
		Demand:       crank.Demand{MilliCores: 1000 * rapid.IntRange(1, 16).Draw(t, "need"), MemoryMiB: 8192, Accelerators: rapid.IntRange(0, 8).Draw(t, "gpu")},
		Gang:         true,
		SameRack:     rapid.Bool().Draw(t, "same rack"),
		MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "per worker"),
	}}
}

func TestPlacesFitAndKeepTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor, _ := drawFloor(t)
		q := drawRequest(t)
		rooms := floor.Place(q, Now)
		if rooms == nil {
			return
		}
		is := is.New(t)
		is.Equal(len(rooms), q.Tasks)
		racks := make(map[string]bool)
		for _, r := range rooms {
			is.True(r.Open)
			is.True(r.Free.Covers(q.Step.Demand))
			r.Take(q)
			racks[r.Rack] = true
			if m := q.Step.MaxPerWorker; m > 0 {
				is.True(r.PerStep[q.Key] <= m)
			}
		}
		if q.Step.SameRack {
			is.Equal(len(racks), 1)
		}
	})
}

func TestPreemptionMakesRoomAndStopsNothingNeedless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		floor, victims := drawFloor(t)
		q := drawRequest(t)
		if floor.Place(q, Later) != nil {
			return
		}
		chosen := floor.Preempt(q, victims)
		if chosen == nil {
			return
		}
		is := is.New(t)
		is.True(fitsAnyRack(floor, q, chosen))
		for i := range chosen {
			rest := append(append([]Victim(nil), chosen[:i]...), chosen[i+1:]...)
			is.True(!fitsAnyRack(floor, q, rest))
		}
	})
}

func fitsAnyRack(f *Floor, q Request, victims []Victim) bool {
	if !q.Step.SameRack {
		return fits(f.Rooms, q, victims)
	}
	for _, rack := range f.racks {
		if fits(rack, q, victims) {
			return true
		}
	}
	return false
}

func TestServingTasksAndFillersKeepApart(t *testing.T) {
	is := is.New(t)
	total := crank.Demand{MilliCores: 8000, MemoryMiB: 8192}
	floor := NewFloor([]*Room{{Worker: "w", Total: total, Free: total, Soon: total, Open: true}})
	serving := Request{Key: "s", Tasks: 1, Step: crank.Step{Demand: crank.Demand{MilliCores: 1000}, Latency: 1, Lasting: true}}
	filler := Request{Key: "f", Tasks: 1, Step: crank.Step{Demand: crank.Demand{MilliCores: 16000}, Filler: true}}
	is.Equal(len(floor.Place(filler, Now)), 1) // its processor time is not counted
	floor.Rooms[0].Take(serving)
	is.Equal(floor.Place(filler, Now), nil)
}
