package crankpack

import (
	"fmt"
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// drawPool draws a partly allocated pool and the victims that hold the rest.
func drawPool(t *rapid.T) (*Pool, []Victim) {
	var workers []*WorkerCapacity
	var victims []Victim
	for i := range rapid.IntRange(1, 20).Draw(t, "workers") {
		total := crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8}
		w := &WorkerCapacity{Worker: fmt.Sprintf("w%02d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/4), Total: total, Free: total, Schedulable: rapid.IntRange(0, 9).Draw(t, "unschedulable") > 0}
		for range rapid.IntRange(0, 3).Draw(t, "running") {
			held := crank.Demand{MilliCores: 1000 * rapid.IntRange(1, 8).Draw(t, "cores"), MemoryMiB: 4096, Accelerators: rapid.IntRange(0, 2).Draw(t, "accelerators")}
			w.Free = w.Free.Minus(held)
			victims = append(victims, Victim{ID: len(victims), Parts: []VictimPart{{w.Worker, held}}, Cost: float64(rapid.IntRange(0, 100).Draw(t, "cost"))})
		}
		w.Future = w.Free
		workers = append(workers, w)
	}
	return NewPool(workers), victims
}

func drawRequest(t *rapid.T) Request {
	return Request{StepKey: "k", Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Step: crank.Step{
		Demand:       crank.Demand{MilliCores: 1000 * rapid.IntRange(1, 16).Draw(t, "need"), MemoryMiB: 8192, Accelerators: rapid.IntRange(0, 8).Draw(t, "gpu")},
		Gang:         true,
		SameRack:     rapid.Bool().Draw(t, "same rack"),
		MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "per worker"),
	}}
}

func TestPlacementFitsAndKeepsToOneRack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, _ := drawPool(t)
		q := drawRequest(t)
		workers := pool.Place(q, FreeCapacity)
		if workers == nil {
			return
		}
		is := is.New(t)
		is.Equal(len(workers), q.Tasks)
		racks := make(map[string]bool)
		for _, w := range workers {
			is.True(w.Schedulable)
			is.True(w.Free.Covers(q.Step.Demand))
			w.Allocate(q)
			racks[w.Rack] = true
			if m := q.Step.MaxPerWorker; m > 0 {
				is.True(w.TasksByStep[q.StepKey] <= m)
			}
		}
		if q.Step.SameRack {
			is.Equal(len(racks), 1)
		}
	})
}

func TestPreemptionFreesEnoughAndIsMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, victims := drawPool(t)
		q := drawRequest(t)
		if pool.Place(q, FutureCapacity) != nil {
			return
		}
		chosen := pool.Preempt(q, NewVictimIndex(victims))
		if chosen == nil {
			return
		}
		is := is.New(t)
		is.True(fitsAnyRackAfterPreempting(pool, q, chosen))
		for i := range chosen {
			rest := append(append([]Victim(nil), chosen[:i]...), chosen[i+1:]...)
			is.True(!fitsAnyRackAfterPreempting(pool, q, rest))
		}
	})
}

// fitsAfterPreempting places the request on copies of the workers, whose victims have
// stopped.
func fitsAfterPreempting(workers []*WorkerCapacity, q Request, victims []Victim) bool {
	freed := make(map[string]crank.Demand)
	for _, v := range victims {
		for _, p := range v.Parts {
			freed[p.Worker] = freed[p.Worker].Plus(p.Demand)
		}
	}
	trial := make([]*WorkerCapacity, len(workers))
	for i, w := range workers {
		c := *w
		c.Future = c.Future.Plus(freed[w.Worker])
		trial[i] = &c
	}
	return placeBestFit(trial, q, FutureCapacity) != nil
}

func fitsAnyRackAfterPreempting(p *Pool, q Request, victims []Victim) bool {
	if !q.Step.SameRack {
		return fitsAfterPreempting(p.Workers, q, victims)
	}
	for _, rack := range p.racks {
		if fitsAfterPreempting(rack, q, victims) {
			return true
		}
	}
	return false
}

func TestLatencyAndBestEffortTasksKeepApart(t *testing.T) {
	is := is.New(t)
	total := crank.Demand{MilliCores: 8000, MemoryMiB: 8192}
	pool := NewPool([]*WorkerCapacity{{Worker: "w", Total: total, Free: total, Future: total, Schedulable: true}})
	latency := Request{StepKey: "s", Tasks: 1, Step: crank.Step{Demand: crank.Demand{MilliCores: 1000}, Latency: 1, LongRunning: true}}
	bestEffort := Request{StepKey: "f", Tasks: 1, Step: crank.Step{Demand: crank.Demand{MilliCores: 16000}, BestEffort: true}}
	is.Equal(len(pool.Place(bestEffort, FreeCapacity)), 1) // a best-effort task's cores do not count
	pool.Workers[0].Allocate(latency)
	is.Equal(pool.Place(bestEffort, FreeCapacity), nil)
}

// Several best-effort tasks were placed at once beside a task with a latency target.
func TestWorkerWithALatencyTaskTakesOneBestEffortTask(t *testing.T) {
	is := is.New(t)
	total := crank.Demand{MilliCores: 8000, MemoryMiB: 8192}
	var workers []*WorkerCapacity
	for _, id := range []string{"a", "b"} {
		workers = append(workers, &WorkerCapacity{Worker: id, Total: total, Free: total, Future: total, Schedulable: true, HasLatencyTask: true, TakesShared: id == "b"})
	}
	pool := NewPool(workers)
	q := Request{StepKey: "f", Tasks: 1, Step: crank.Step{Demand: crank.Demand{MilliCores: 1000}, BestEffort: true}}
	is.Equal(pool.Place(q, FreeCapacity), nil)
	q.MayShare = true
	two := q
	two.Tasks = 2
	is.Equal(pool.Place(two, FreeCapacity), nil)
	chosen := pool.Place(q, FreeCapacity)
	is.Equal(chosen, workers[1:])
	chosen[0].Allocate(q)
	is.Equal(pool.Place(q, FreeCapacity), nil)
}

// Tasks that need whole workers took one on each rack.
func TestTasksLeaveWholeRacksFree(t *testing.T) {
	is := is.New(t)
	total := crank.Demand{MilliCores: 8000, Accelerators: 8}
	var workers []*WorkerCapacity
	for i := range 8 {
		workers = append(workers, &WorkerCapacity{Worker: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i%2), Total: total, Free: total, Future: total, Schedulable: true})
	}
	pool := NewPool(workers)
	for _, accelerators := range []int{8, 1, 8} {
		q := Request{StepKey: "s", Tasks: 1, Step: crank.Step{Demand: crank.Demand{Accelerators: accelerators}}}
		pool.Place(q, FreeCapacity)[0].Allocate(q)
	}
	gang := Request{StepKey: "g", Tasks: 4, Step: crank.Step{Gang: true, SameRack: true, Demand: crank.Demand{Accelerators: 8}}}
	is.Equal(len(pool.Place(gang, FreeCapacity)), 4)
}

// A gang went to the fullest rack, also where a worker of it had failed.
func TestGangPrefersARackWithoutFailures(t *testing.T) {
	is := is.New(t)
	total := crank.Demand{Accelerators: 8}
	var workers []*WorkerCapacity
	for i := range 6 {
		workers = append(workers, &WorkerCapacity{Worker: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i%2), Total: total, Free: total, Schedulable: true})
	}
	workers[0].FailureCount = 1
	workers[2].Free = crank.Demand{Accelerators: 4}
	gang := Request{StepKey: "g", Tasks: 3, Step: crank.Step{Gang: true, SameRack: true, Demand: crank.Demand{Accelerators: 4}}}
	for _, w := range NewPool(workers).Place(gang, FreeCapacity) {
		is.True(w.FailureCount == 0)
	}
	gang.Tasks = 4
	is.Equal(NewPool(workers).Place(gang, FreeCapacity)[0].Rack, "r1")
}

// Requests that ask for trust are placed at trusted workers only, and that they don't fit says
// nothing of requests that ask for less.
func TestPlacementKeepsToTrustedWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		pool, _ := drawPool(t)
		for _, w := range pool.Workers {
			w.Trust = rapid.IntRange(0, 2).Draw(t, "trust")
		}
		q := drawRequest(t)
		loose := pool.Place(q, FreeCapacity)
		pool.ClearUnplaceable()
		for q.LeastTrust = 2; q.LeastTrust > 0; q.LeastTrust-- {
			for _, w := range pool.Place(q, FreeCapacity) {
				is.True(w.Trust >= q.LeastTrust)
			}
		}
		is.Equal(pool.Place(q, FreeCapacity), loose)
	})
}
