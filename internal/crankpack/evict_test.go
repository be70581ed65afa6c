package crankpack

import (
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// busyWith returns a worker with best-effort tasks and so many free accelerators.
func busyWith(id, rack string, free int) *WorkerCapacity {
	d := crank.Demand{MilliCores: 8000, MemoryMiB: 8000, Accelerators: free}
	return &WorkerCapacity{Worker: id, Zone: "z", Rack: rack, Free: d, Future: d, Schedulable: true, HasBestEffort: true}
}

func names(workers []*WorkerCapacity) (ids []string) {
	for _, w := range workers {
		ids = append(ids, w.Worker)
	}
	return ids
}

func TestEvictChoosesTheCheapestWorkersThatAreEnough(t *testing.T) {
	is := is.New(t)
	pool := NewPool([]*WorkerCapacity{busyWith("a", "r", 2), busyWith("b", "r", 2), busyWith("c", "s", 2), busyWith("d", "s", 2), busyWith("e", "s", 0)})
	held := crank.Demand{MemoryMiB: 100, Accelerators: 1}
	evictions := map[string]Eviction{"a": {held, 5}, "b": {held, 3}, "c": {held, 1}, "e": {held, 0}}
	q := Request{Step: crank.Step{Tasks: 2, Latency: 1, Demand: crank.Demand{MilliCores: 100, MemoryMiB: 100, Accelerators: 2}}, Tasks: 1}
	is.Equal(names(pool.Evict(q, evictions)), []string{"c"}) // e has no room, d no eviction
	q.Tasks = 2
	is.Equal(names(pool.Evict(q, evictions)), []string{"c", "b"})
	q.Step.SameRack = true
	is.Equal(names(pool.Evict(q, evictions)), []string{"b", "a"})
	q.Tasks = 4
	is.Equal(pool.Evict(q, evictions), nil)
}

func TestEvictCountsWorkersThatAdmitTheTaskAlready(t *testing.T) {
	is := is.New(t)
	free := busyWith("free", "r", 2)
	free.HasBestEffort = false
	pool := NewPool([]*WorkerCapacity{busyWith("a", "r", 2), free})
	q := Request{Step: crank.Step{Tasks: 2, Latency: 1, Demand: crank.Demand{Accelerators: 2}}, Tasks: 2}
	is.Equal(names(pool.Evict(q, map[string]Eviction{"a": {}})), []string{"a"})
}
