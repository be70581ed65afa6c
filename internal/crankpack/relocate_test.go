package crankpack

import (
	"slices"
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// Work is moved only where it fits elsewhere beside the request, and only what is in the way.
func TestRelocate(t *testing.T) {
	whole := crank.Demand{MilliCores: 1000, MemoryMiB: 100, Accelerators: 8}
	small := crank.Demand{MilliCores: 100, MemoryMiB: 10, Accelerators: 1}
	ask := Request{Step: crank.Step{Demand: whole}, Tasks: 1}
	place := Request{Step: crank.Step{Demand: small, LongRunning: true}, Tasks: 1}
	for _, v := range []struct {
		name   string
		held   []int // small tasks on each worker, which are movable
		moved  []int // that move, by the index of their worker
		target string
	}{
		{"one each", []int{1, 1, 1}, []int{0}, "b"},
		{"fewest", []int{2, 1, 7}, []int{1}, "c"},
		{"others are full", []int{1, 8, 8}, nil, ""},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			var workers []*WorkerCapacity
			var victims []Victim
			places := make(map[int]Request)
			for i, n := range v.held {
				id := string(rune('a' + i))
				free := whole.Minus(small.Times(n))
				workers = append(workers, &WorkerCapacity{Worker: id, Total: whole, Free: free, Future: free, Eventual: free, Schedulable: true})
				for range n {
					places[len(victims)] = place
					victims = append(victims, Victim{ID: len(victims), Parts: []VictimPart{{id, small}}, Cost: 1, Lost: 1})
				}
			}
			before := make([]crank.Demand, len(workers))
			for i, w := range workers {
				before[i] = w.Future
			}
			moves := NewPool(workers).Relocate(ask, NewVictimIndex(victims), places)
			is.Equal(moves == nil, v.moved == nil)
			for i, w := range workers {
				is.Equal(w.Future, before[i])
			}
			var from []int
			for _, m := range moves {
				from = append(from, int(m.Victim.Parts[0].Worker[0]-'a'))
				is.Equal(m.Target.Worker, v.target)
			}
			is.True(slices.Equal(from, v.moved))
		})
	}
}
