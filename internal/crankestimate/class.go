package crankestimate

import (
	"cmp"
	"math"
	"math/bits"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/benbjohnson/immutable"
)

// sketchKind selects what is learned of a class.
type sketchKind int

// Kinds of sketches.
const (
	sketchRatio sketchKind = iota // work divided by the caller's estimate
	sketchWork                    // in seconds
	sketchAlike                   // work divided by that of other tasks of the step
	sketchKinds
)

// learned is what is known of a class or a group of classes. Its sketches aren't changed.
type learned struct {
	sketches [sketchKinds]*ddsketch.DDSketch // nil while nothing is known
	last     int64                           // value of Model.runs at the last observation
}

// observation is what one run tells of its class; fields are 0 where it tells nothing.
type observation struct {
	ratio, work, alike float64
	weight             float64
}

// Parameters of classes.
const (
	relativeAccuracy = 0.03 // of a sketch
	maxBins          = 256  // of a sketch; at this accuracy they span a factor of 4 million
	maxClasses       = 64   // with groups; 500 KB of memory at most
	classHalfLife    = 400  // runs of a class, until an observation counts half
	parentWeight     = 10   // runs of the more general group that count beside those of a class
	minOwnWork       = 20   // runs, before the distribution of work may be used instead of estimates
	workPreference   = 0.8  // it is used if its spread is smaller by this factor
	// Observations outside of these limits come from clocks or callers' mistakes.
	minObserved, maxObserved = 1e-3, 1e7
)

// indexMapping is that of all sketches.
var indexMapping = newIndexMapping()

func newIndexMapping() mapping.IndexMapping {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic("crankestimate: " + err.Error())
	}
	return m
}

func newStore() store.Store { return store.NewCollapsingLowestDenseStore(maxBins) }

func newSketch() *ddsketch.DDSketch {
	return ddsketch.NewDDSketch(indexMapping, newStore(), newStore())
}

// coarse returns the class with its processor and memory demand and the size of its gangs
// rounded to powers of two, since hardly two jobs have the same.
func (c Class) coarse() Class {
	c.Members = roundUp(c.Members)
	c.Demand.MilliCores, c.Demand.MemoryMiB = roundUp(c.Demand.MilliCores), roundUp(c.Demand.MemoryMiB)
	return c
}

// roundUp returns the next power of two, 0 for amounts that are not positive.
func roundUp(n int) int {
	if n <= 0 {
		return 0
	}
	return 1 << bits.Len(uint(n-1))
}

// parent returns the group that a class belongs to: that of its queue, then that of all
// classes. The latter has none.
func (c Class) parent() (Class, bool) {
	group := Class{Queue: c.Queue, Gang: c.Gang}
	if c == group {
		group = Class{}
	}
	return group, c != Class{}
}

func (m Model) learnedOf(c Class) learned {
	if m.classes == nil {
		return learned{}
	}
	l, _ := m.classes.Get(c)
	return l
}

// weightOf returns how many runs a class and its queue know of.
func (m Model) weightOf(c Class, k sketchKind) float64 {
	sum := m.learnedOf(c).count(k)
	if group, ok := c.parent(); ok && group != (Class{}) {
		sum = max(sum, m.learnedOf(group).count(k))
	}
	return sum
}

func (l learned) count(k sketchKind) float64 {
	if l.sketches[k] == nil {
		return 0
	}
	return l.sketches[k].GetCount()
}

// withObservation adds an observation to a class and its groups. The work of classes in
// different queues isn't comparable.
func (m Model) withObservation(c Class, o observation) Model {
	for more := true; more; {
		l := m.learnedOf(c)
		l.last = m.runs
		l = l.with(sketchRatio, o.ratio, o.weight).with(sketchAlike, o.alike, o.weight)
		if (c != Class{}) {
			l = l.with(sketchWork, o.work, o.weight)
		}
		m = m.withClass(c, l)
		c, more = c.parent()
	}
	return m
}

func (l learned) with(k sketchKind, value, weight float64) learned {
	if !(value >= minObserved && value <= maxObserved) {
		return l
	}
	next := l.sketches[k]
	if next == nil {
		next = newSketch()
	} else {
		next = next.Copy()
	}
	// Neither fails: the value is in range and the factor is positive.
	_ = next.Reweight(math.Exp2(-weight / classHalfLife))
	_ = next.AddWithCount(value, weight)
	l.sketches[k] = next
	return l
}

// withClass sets what is known of a class. Where there are too many, it forgets the one
// that knows least; groups stay.
func (m Model) withClass(c Class, l learned) Model {
	if m.classes == nil {
		m.classes = immutable.NewSortedMap[Class, learned](classOrder{})
	}
	m.classes = m.classes.Set(c, l)
	if m.classes.Len() <= maxClasses {
		return m
	}
	var least Class
	leastWeight := math.Inf(1)
	for i := m.classes.Iterator(); !i.Done(); {
		other, known, _ := i.Next()
		group, _ := other.parent()
		if weight := known.currentWeight(m.runs); other != c && group != (Class{}) && weight < leastWeight {
			least, leastWeight = other, weight
		}
	}
	if math.IsInf(leastWeight, 1) {
		least = c
	}
	m.classes = m.classes.Delete(least)
	return m
}

// currentWeight returns how much a class knows, less if it was not seen lately.
func (l learned) currentWeight(runs int64) float64 {
	return l.count(sketchWork) * math.Exp2(-float64(runs-l.last)/classHalfLife)
}

// classOrder implements immutable.Comparer.
type classOrder struct{}

// Compare implements immutable.Comparer.
func (classOrder) Compare(a, b Class) int {
	return cmp.Or(
		cmp.Compare(a.Queue, b.Queue),
		cmp.Compare(a.Workspace, b.Workspace),
		cmp.Compare(a.Demand.Accelerators, b.Demand.Accelerators),
		cmp.Compare(a.Demand.MilliCores, b.Demand.MilliCores),
		cmp.Compare(a.Demand.MemoryMiB, b.Demand.MemoryMiB),
		gangOrder(a)-gangOrder(b),
		cmp.Compare(a.Members, b.Members),
	)
}

func gangOrder(c Class) int {
	if c.Gang {
		return 1
	}
	return 0
}

// blend returns the distribution that a class and its groups know, each with a few runs'
// weight of the more general one beside its own, and the given one where nothing is known.
func (m Model) blend(c Class, k sketchKind, unknown Distribution) Distribution {
	s := m.blendSketches(c, k, unknown)
	if s == nil {
		return unknown
	}
	return Distribution{binsOf(s)}
}

// blendSketches returns a sketch of its own, nil if nothing is known.
func (m Model) blendSketches(c Class, k sketchKind, unknown Distribution) *ddsketch.DDSketch {
	own := m.learnedOf(c).sketches[k]
	var general *ddsketch.DDSketch
	if group, ok := c.parent(); ok {
		general = m.blendSketches(group, k, unknown)
	}
	if own == nil {
		return general
	}
	if general == nil {
		general = newSketch()
		for _, b := range unknown.bins {
			_ = general.AddWithCount(b.value, b.weight) // a factor of 1
		}
	}
	if !general.IsEmpty() {
		_ = general.Reweight(parentWeight / general.GetCount())
	}
	_ = general.MergeWith(own) // all sketches have the same mapping
	return general
}

func binsOf(s *ddsketch.DDSketch) []bin {
	bins := make([]bin, 0, maxBins)
	s.ForEach(func(value, count float64) bool {
		bins = append(bins, bin{value, count})
		return false
	})
	return bins
}
