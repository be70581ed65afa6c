// Package crankpack is the planner's placement algorithm. Given the capacity of a
// pool's workers, it chooses by best fit the workers for the tasks of a step, and the
// cheapest running work to preempt when they don't fit. It does no I/O and reads no
// clock.
package crankpack

import (
	"cmp"
	"math"
	"slices"
	"time"

	crank "cranberrycrank"
)

// Request asks for workers for a number of tasks of one step.
type Request struct {
	StepKey string // identifies the step's occurrence
	Step    crank.Step
	Tasks   int
	Avoid   func(worker string) bool // may be nil
	Speed   SpeedPreference          // used after Pool.Weigh only
	// LeastTrust is the least WorkerCapacity.Trust of workers that may be chosen.
	LeastTrust int
	// MayShare has a best-effort request use workers that take one beside tasks with a latency
	// target, see WorkerCapacity.TakesShared.
	MayShare bool
	// TrustOrder goes before the best fit: workers with more trust are preferred if it is
	// positive, those with less if it is negative.
	TrustOrder int
}

// Pool is the capacity of all workers of a pool during a planning round.
type Pool struct {
	Workers     []*WorkerCapacity
	racks       [][]*WorkerCapacity
	inUse       float64
	weights     *weights                  // see Weigh; may be nil
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
	mayShare   bool
	leastTrust int
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
	return equivalenceClass{q.Step.ReservedCapacity(), q.Tasks, q.Step.SameRack, q.Step.Label, q.Step.Latency > 0, q.Step.BestEffort, q.MayShare, q.LeastTrust, k}, cacheable
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
		if workers, _ := p.placeOn(p.rack(q.Step.DataRack), q, k); workers != nil {
			return workers
		}
	}
	if !q.Step.SameRack {
		return p.placeOnAnyRack(q, k)
	}
	var best []*WorkerCapacity
	var least rackCost
	for _, rack := range p.racks {
		workers, r := p.placeOn(rack, q, k)
		if workers == nil {
			continue
		}
		cost := rackCost{failures: failureCount(workers), rating: r, remaining: remainingCores(rack, k)}
		if q.TrustOrder > 0 {
			cost.trust = leastTrust(workers)
		}
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
	workers, _ := p.placeOn(p.Workers, q, k)
	return workers
}

// rackCost is what decides between racks on which a request fits: recent failures of its
// workers there, their trust where it goes first, how long it waits, what the pool weighs, then
// the available cores of the rack.
type rackCost struct {
	failures  int
	trust     int // least of the workers, where it goes first
	wait      time.Duration
	rating    rating
	remaining float64
}

func (c rackCost) less(o rackCost) bool {
	return cmp.Or(cmp.Compare(c.failures, o.failures), cmp.Compare(o.trust, c.trust), cmp.Compare(c.wait, o.wait), cmp.Compare(c.rating.speed, o.rating.speed),
		cmp.Compare(c.rating.loss, o.rating.loss), cmp.Compare(c.remaining, o.remaining)) < 0
}

func leastTrust(workers []*WorkerCapacity) int {
	least := math.MaxInt
	for _, w := range workers {
		least = min(least, w.Trust)
	}
	return least
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
			w.waitForOne = w.freeIn(q.Step.ReservedCapacity())
		}
	}
	slices.SortStableFunc(sorted, byBestFit(k, q.TrustOrder))
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
