// Package crankpack is the planner's placement algorithm. Given the capacity of a
// pool's workers, it chooses by best fit the workers for the tasks of a step, and the
// cheapest running work to preempt when they don't fit. It does no I/O and reads no
// clock.
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
	TasksByStep    map[string]int // by Request.StepKey
	FailureCount   int            // recent failures; workers with fewer are preferred

	endsSorted bool          // Ends are in order
	taskIn     time.Duration // freeIn of one task, while a request for EventualCapacity is placed
	rackCores  float64       // available on the worker's rack, while a request is placed on any rack
}

// ExpectedEnd is when a run is expected to free its capacity.
type ExpectedEnd struct {
	In     time.Duration
	Demand crank.Demand
}

// Request asks for workers for a number of tasks of one step.
type Request struct {
	StepKey string // identifies the step's occurrence
	Step    crank.Step
	Tasks   int
	Avoid   func(worker string) bool // may be nil
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

// Pool is the capacity of all workers of a pool during a planning round.
type Pool struct {
	Workers     []*WorkerCapacity
	racks       [][]*WorkerCapacity
	inUse       float64
	unplaceable map[equivalenceClass]bool // requests that did not fit; stays valid, because capacity only shrinks during a round
}

// equivalenceClass is all of a request that decides whether it fits, so requests of
// one class fit or fail together.
type equivalenceClass struct {
	demand     crank.Demand
	tasks      int
	sameRack   bool
	label      string
	latency    bool
	bestEffort bool
	kind       CapacityKind
}

// RequestClass is all of a request but its number of tasks that decides whether it
// fits.
type RequestClass struct{ class equivalenceClass }

// ClassOf returns the class of a request, and false if its workers differ in more than
// their capacity.
func ClassOf(q Request) (RequestClass, bool) {
	q.Tasks = 0
	class, cacheable := classOf(q, FutureCapacity)
	return RequestClass{class}, cacheable
}

// classOf returns the class of a request, and false if results may not be cached by
// class, because Avoid or MaxPerWorker make workers differ.
func classOf(q Request, k CapacityKind) (equivalenceClass, bool) {
	cacheable := q.Avoid == nil && q.Step.MaxPerWorker == 0
	return equivalenceClass{q.Step.ReservedCapacity(), q.Tasks, q.Step.SameRack, q.Step.Label, q.Step.Latency > 0, q.Step.BestEffort, k}, cacheable
}

// ClearUnplaceable discards cached failures. It must be called after a worker's
// capacity grew.
func (p *Pool) ClearUnplaceable() { clear(p.unplaceable) }

// NewPool returns a pool that shares the given workers.
func NewPool(workers []*WorkerCapacity) *Pool {
	p := &Pool{Workers: workers, inUse: shareInUse(workers), unplaceable: make(map[equivalenceClass]bool)}
	index := make(map[string]int)
	for _, w := range workers {
		key := w.Zone + "\x00" + w.Rack
		i, ok := index[key]
		if !ok {
			i = len(p.racks)
			index[key] = i
			p.racks = append(p.racks, nil)
		}
		p.racks[i] = append(p.racks[i], w)
	}
	return p
}

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
	if k != TotalCapacity && (!w.Schedulable || (q.Step.Latency > 0 && hasBestEffort) || (q.Step.BestEffort && w.HasLatencyTask)) {
		return false
	}
	if q.Step.Label != "" && !slices.Contains(w.Labels, q.Step.Label) {
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
		w.AddEnd(ExpectedEnd{q.Step.RunTime, need})
	}
	if w.TasksByStep == nil {
		w.TasksByStep = make(map[string]int)
	}
	w.TasksByStep[q.StepKey]++
	w.HasLatencyTask = w.HasLatencyTask || q.Step.Latency > 0
	w.HasBestEffort = w.HasBestEffort || q.Step.BestEffort
	w.BestEffortEnds = w.BestEffortEnds && !q.Step.BestEffort
}

// AddEnd adds the expected end of a run.
func (w *WorkerCapacity) AddEnd(e ExpectedEnd) { w.Ends, w.endsSorted = append(w.Ends, e), false }

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

// byBestFit orders workers by failures, then by available accelerators and cores, the
// least first, also of their racks. For EventualCapacity the wait goes before these.
func byBestFit(k CapacityKind) func(a, b *WorkerCapacity) int {
	return func(a, b *WorkerCapacity) int {
		if a.FailureCount != b.FailureCount {
			return a.FailureCount - b.FailureCount
		}
		if k == EventualCapacity && a.taskIn != b.taskIn {
			return cmp.Compare(a.taskIn, b.taskIn)
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

// Place returns a worker for each task of the request, or nil when not all fit.
// It prefers the step's DataRack, keeps the tasks of a step with SameRack on one
// rack, and allocates nothing.
func (p *Pool) Place(q Request, k CapacityKind) []*WorkerCapacity {
	class, cacheable := classOf(q, k)
	if cacheable && p.unplaceable[class] {
		return nil
	}
	workers := p.placeUncached(q, k)
	if cacheable && workers == nil {
		p.unplaceable[class] = true
	}
	return workers
}

func (p *Pool) placeUncached(q Request, k CapacityKind) []*WorkerCapacity {
	if q.Step.DataRack != "" {
		if workers := placeBestFit(p.rack(q.Step.DataRack), q, k); workers != nil {
			return workers
		}
	}
	if !q.Step.SameRack {
		return p.placeOnAnyRack(q, k)
	}
	var best []*WorkerCapacity
	var least rackCost
	for _, rack := range p.racks {
		workers := placeBestFit(rack, q, k)
		if workers == nil {
			continue
		}
		cost := rackCost{failures: failureCount(workers), remaining: remainingCores(rack, k)}
		if k == EventualCapacity {
			cost.wait = LongestWait(workers, q)
		}
		if best == nil || cost.less(least) {
			best, least = workers, cost
		}
	}
	return best
}

// placeOnAnyRack fills racks one after the other, so that others stay free for requests that
// need a whole one.
func (p *Pool) placeOnAnyRack(q Request, k CapacityKind) []*WorkerCapacity {
	for _, rack := range p.racks {
		remaining := remainingCores(rack, k)
		for _, w := range rack {
			w.rackCores = remaining
		}
	}
	return placeBestFit(p.Workers, q, k)
}

// rackCost is what decides between racks on which a request fits: recent failures of its
// workers there, how long it waits, then the available cores of the rack.
type rackCost struct {
	failures  int
	wait      time.Duration
	remaining float64
}

func (c rackCost) less(o rackCost) bool {
	return cmp.Or(cmp.Compare(c.failures, o.failures), cmp.Compare(c.wait, o.wait), cmp.Compare(c.remaining, o.remaining)) < 0
}

func failureCount(workers []*WorkerCapacity) int {
	n := 0
	for _, w := range workers {
		n += w.FailureCount
	}
	return n
}

// LongestWait returns how long it is expected to take until the workers that Place returned
// for EventualCapacity are free for the request.
func LongestWait(workers []*WorkerCapacity, q Request) time.Duration {
	count := make(map[*WorkerCapacity]int)
	longest := time.Duration(0)
	for _, w := range workers {
		count[w]++
		longest = max(longest, w.freeIn(q.Step.ReservedCapacity().Times(count[w])))
	}
	return longest
}

// FitsTwice reports whether there is room for the request twice over, on any racks.
func (p *Pool) FitsTwice(q Request) bool {
	q = q.AcrossRacks()
	q.Tasks *= 2
	return p.Place(q, FreeCapacity) != nil
}

// AcrossRacks returns the request for workers of any racks.
func (q Request) AcrossRacks() Request {
	q.Step.SameRack, q.Step.DataRack = false, ""
	return q
}

func (p *Pool) rack(name string) []*WorkerCapacity {
	for _, rack := range p.racks {
		if rack[0].Rack == name {
			return rack
		}
	}
	return nil
}

// remainingCores returns the available cores of a rack's schedulable workers.
func remainingCores(rack []*WorkerCapacity, k CapacityKind) float64 {
	sum := 0.0
	for _, w := range rack {
		if w.Schedulable || k == TotalCapacity {
			sum += w.available(k).Cores()
		}
	}
	return sum
}

// placeBestFit returns a worker for each task, or nil when not all fit.
func placeBestFit(workers []*WorkerCapacity, q Request, k CapacityKind) []*WorkerCapacity {
	sorted, room := make([]*WorkerCapacity, 0, len(workers)), 0
	for _, w := range workers {
		if n := w.fitCount(q, k, crank.Demand{}, q.Tasks); n > 0 {
			sorted, room = append(sorted, w), room+n
		}
	}
	if room < q.Tasks { // most requests of a busy pool; sorting costs more
		return nil
	}
	if k == EventualCapacity {
		for _, w := range sorted {
			w.taskIn = w.freeIn(q.Step.ReservedCapacity())
		}
	}
	slices.SortStableFunc(sorted, byBestFit(k))
	var placed []*WorkerCapacity
	for _, w := range sorted {
		n := w.fitCount(q, k, crank.Demand{}, q.Tasks-len(placed))
		for range n {
			placed = append(placed, w)
		}
		if len(placed) == q.Tasks {
			return placed
		}
	}
	return nil
}
