package cranksched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpack"

	"pgregory.net/rapid"
)

// drawBusyPool draws a pool and what its long-running tasks hold, by worker.
func drawBusyPool(t *rapid.T) (*crankpack.Pool, map[string]crank.Demand) {
	lasting := make(map[string]crank.Demand)
	var workers []*crankpack.WorkerCapacity
	for i := range rapid.IntRange(1, 16).Draw(t, "workers") {
		total := crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8}
		w := &crankpack.WorkerCapacity{
			Worker: fmt.Sprintf("w%02d", i), Zone: "z", Rack: fmt.Sprintf("r%d", i/4), Labels: []string{fmt.Sprintf("kind%d", i%2)}, Total: total, Free: total, Future: total, Eventual: total,
			Schedulable: rapid.IntRange(0, 4).Draw(t, "unschedulable") > 0,
		}
		for range rapid.IntRange(0, 4).Draw(t, "running") {
			st := crank.Step{
				Demand:  crank.Demand{MilliCores: 4000, MemoryMiB: 8000, Accelerators: rapid.IntRange(0, 2).Draw(t, "held")},
				RunTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "left")) * time.Second, LongRunning: rapid.Bool().Draw(t, "lasts"),
			}
			w.Allocate(crankpack.Request{Step: st})
			if st.LongRunning {
				lasting[w.Worker] = lasting[w.Worker].Plus(st.Demand)
			}
		}
		workers = append(workers, w)
	}
	return crankpack.NewPool(workers), lasting
}

func drawWaiting(t *rapid.T, key int) crankpack.Request {
	st := crank.Step{
		Demand: crank.Demand{MilliCores: 1000 * rapid.IntRange(1, 8).Draw(t, "cores"), MemoryMiB: 6000, Accelerators: rapid.IntRange(1, 8).Draw(t, "accelerators")},
		Gang:   true, SameRack: rapid.Bool().Draw(t, "same rack"), MaxPerWorker: rapid.IntRange(0, 2).Draw(t, "limit"), LongRunning: rapid.Bool().Draw(t, "lasts"),
	}
	if rapid.Bool().Draw(t, "labelled") {
		st.Label = "kind1"
	}
	return crankpack.Request{StepKey: fmt.Sprint(key), Step: st, Tasks: rapid.IntRange(1, 8).Draw(t, "tasks")}
}

// Reservations hold what becomes free by itself, each its own, at workers that may get tasks.
func TestReservationsHoldOnlyWhatBecomesFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, held := drawBusyPool(t)
		for key := range rapid.IntRange(1, 5).Draw(t, "reservations") {
			q := drawWaiting(t, key)
			r, ok := newReservation(pool, q)
			if !ok {
				continue
			}
			if len(r.workers) != q.Tasks {
				t.Fatalf("%d workers for %d tasks", len(r.workers), q.Tasks)
			}
			for _, w := range r.workers {
				if !w.Schedulable || (q.Step.Label != "" && !slices.Contains(w.Labels, q.Step.Label)) {
					t.Fatalf("worker %s may not run the tasks", w.Worker)
				}
				if held[w.Worker] = held[w.Worker].Plus(q.Step.Demand); !w.Total.Covers(held[w.Worker]) {
					t.Fatalf("worker %s is reserved twice, or holds tasks that last", w.Worker)
				}
			}
		}
	})
}

// What a reservation takes is given back whole.
func TestCancelledReservationLeavesNoTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool, _ := drawBusyPool(t)
		var before []crank.Demand
		for _, w := range pool.Workers {
			before = append(before, w.Free, w.Future, w.Eventual)
		}
		if r, ok := newReservation(pool, drawWaiting(t, 0)); ok {
			r.cancel()
		}
		var after []crank.Demand
		for _, w := range pool.Workers {
			after = append(after, w.Free, w.Future, w.Eventual)
		}
		if !slices.Equal(before, after) {
			t.Fatal(before, after)
		}
	})
}
