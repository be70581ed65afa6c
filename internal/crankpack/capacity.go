package crankpack

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// WorkerCapacity is the capacity of one worker during a planning round.
type WorkerCapacity struct {
	Worker         string
	Zone           string
	Rack           string
	Labels         []string
	Total          crank.Demand
	Free           crank.Demand   // not held by any run
	Future         crank.Demand   // Free plus what runs that are being stopped hold
	Eventual       crank.Demand   // Total less what long-running tasks hold
	Ends           []ExpectedEnd  // of the runs between Future and Eventual
	Schedulable    bool           // new tasks may be started
	HasLatencyTask bool           // runs a task with a latency target
	HasBestEffort  bool           // runs a best-effort task
	BestEffortEnds bool           // all of these are being stopped
	TakesShared    bool           // one best-effort task may be placed beside tasks with a latency target
	TasksByStep    map[string]int // by Request.StepKey
	Speed          float64        // 1 is usual, 2 takes half the time, 0 is not known
	FailureCount   int            // recent failures; workers with fewer are preferred
	Trust          int            // only requests with at most this LeastTrust are placed here

	endsSorted  bool          // Ends are in order
	lateEnds    []ExpectedEnd // Ends in order of Late; nil until they are needed
	waitForOne  time.Duration // freeIn of one task, while a request for EventualCapacity is placed
	shapeRoom   []int         // of the shapes that the pool weighs, for a capacity of shapeRoomOf
	shapeRoomOf crank.Demand
	rackCores   float64 // available on the worker's rack, while a request is placed on any rack
}

// ExpectedEnd is when a run is expected to free its capacity.
type ExpectedEnd struct {
	In     time.Duration
	Late   time.Duration // not exceeded with a probability of 90 %; used by SoonestFree only
	Demand crank.Demand
	Run    any // of the caller, returned by Await; may be nil
}

// CapacityKind selects the capacity of a worker that a placement may use.
type CapacityKind int

// Kinds of capacity.
const (
	FreeCapacity     CapacityKind = iota // WorkerCapacity.Free
	FutureCapacity                       // WorkerCapacity.Future
	EventualCapacity                     // WorkerCapacity.Eventual
	TotalCapacity                        // WorkerCapacity.Total, as if nothing ran
)

func (w *WorkerCapacity) available(k CapacityKind) crank.Demand {
	switch k {
	case FutureCapacity:
		return w.Future
	case EventualCapacity:
		return w.Eventual
	case TotalCapacity:
		return w.Total
	}
	return w.Free
}

// admits reports whether the worker may run tasks of the request, apart from their
// resource demand.
func (w *WorkerCapacity) admits(q Request, k CapacityKind) bool {
	hasBestEffort := w.HasBestEffort && (k == FreeCapacity || !w.BestEffortEnds)
	if k != TotalCapacity && (!w.Schedulable || (q.Step.Latency > 0 && hasBestEffort) || (q.Step.BestEffort && w.HasLatencyTask && !(q.MayShare && w.TakesShared))) {
		return false
	}
	if q.Step.Label != "" && !slices.Contains(w.Labels, q.Step.Label) {
		return false
	}
	if k != TotalCapacity && w.Trust < q.LeastTrust {
		return false
	}
	return k == TotalCapacity || q.Avoid == nil || !q.Avoid(w.Worker)
}

// fitCount returns how many tasks of the request fit, at most limit, once freed is
// available as well.
func (w *WorkerCapacity) fitCount(q Request, k CapacityKind, freed crank.Demand, limit int) int {
	if !w.admits(q, k) {
		return 0
	}
	if m := q.Step.MaxPerWorker; m > 0 {
		held := w.TasksByStep[q.StepKey]
		if k == TotalCapacity {
			held = 0
		}
		limit = min(limit, m-held)
	}
	if q.Step.BestEffort && w.HasLatencyTask {
		limit = min(limit, 1)
	}
	have, need := w.available(k).Plus(freed), q.Step.ReservedCapacity()
	n := 0
	for n < limit && have.Covers(need) {
		have = have.Minus(need)
		n++
	}
	return n
}

// Allocate subtracts one task of the request from the worker's capacity.
func (w *WorkerCapacity) Allocate(q Request) {
	need := q.Step.ReservedCapacity()
	w.Free, w.Future = w.Free.Minus(need), w.Future.Minus(need)
	if q.Step.LongRunning {
		w.Eventual = w.Eventual.Minus(need)
	} else {
		w.AddEnd(ExpectedEnd{In: q.Step.RunTime, Late: UnknownEnd, Demand: need})
	}
	if w.TasksByStep == nil {
		w.TasksByStep = make(map[string]int)
	}
	w.TasksByStep[q.StepKey]++
	w.HasLatencyTask = w.HasLatencyTask || q.Step.Latency > 0
	w.HasBestEffort = w.HasBestEffort || q.Step.BestEffort
	w.BestEffortEnds = w.BestEffortEnds && !q.Step.BestEffort
	w.TakesShared = w.TakesShared && !q.Step.BestEffort && q.Step.Latency == 0
}

// AddEnd adds the expected end of a run.
func (w *WorkerCapacity) AddEnd(e ExpectedEnd) {
	w.Ends, w.endsSorted, w.lateEnds = append(w.Ends, e), false, nil
}

// freeIn returns how long it is expected to take until a demand of Eventual is free.
func (w *WorkerCapacity) freeIn(need crank.Demand) time.Duration {
	if !w.endsSorted {
		slices.SortFunc(w.Ends, func(a, b ExpectedEnd) int { return cmp.Compare(a.In, b.In) })
		w.endsSorted = true
	}
	have, in := w.Future, time.Duration(0)
	for _, e := range w.Ends {
		if have.Covers(need) {
			break
		}
		have, in = have.Plus(e.Demand), e.In
	}
	return in
}

// Reserve is like Allocate for a task that waits for running tasks to end.
func (w *WorkerCapacity) Reserve(q Request) {
	need := q.Step.ReservedCapacity()
	w.Free, w.Future, w.Eventual = w.Free.Minus(need), w.Future.Minus(need), w.Eventual.Minus(need)
}

// Unreserve undoes Reserve.
func (w *WorkerCapacity) Unreserve(q Request) {
	need := q.Step.ReservedCapacity()
	w.Free, w.Future, w.Eventual = w.Free.Plus(need), w.Future.Plus(need), w.Eventual.Plus(need)
}

// byBestFit orders workers by failures, by trust where that has an order, then by available accelerators and cores, the
// least first, also of their racks. For EventualCapacity the wait goes before these.
func byBestFit(k CapacityKind, trustOrder int) func(a, b *WorkerCapacity) int {
	return func(a, b *WorkerCapacity) int {
		if a.FailureCount != b.FailureCount {
			return a.FailureCount - b.FailureCount
		}
		if trustOrder != 0 && a.Trust != b.Trust {
			return trustOrder * (b.Trust - a.Trust)
		}
		if k == EventualCapacity && a.waitForOne != b.waitForOne {
			return cmp.Compare(a.waitForOne, b.waitForOne)
		}
		x, y := a.available(k), b.available(k)
		if x.Accelerators != y.Accelerators {
			return x.Accelerators - y.Accelerators
		}
		if x.MilliCores != y.MilliCores {
			return x.MilliCores - y.MilliCores
		}
		return cmp.Compare(a.rackCores, b.rackCores)
	}
}
