// Package crankfootprint derives what leading a fleet needs of an instance: descriptors,
// memory, link and processor. It decides whether an instance may claim the planner's term,
// leaves it to others or gives it up. It is pure: no clock, no calls.
package crankfootprint

import (
	"fmt"
	"math"
	"time"
)

// Resources are what a process may use, or what leading needs. Zero means not known, or no limit.
type Resources struct {
	Descriptors    int
	MemoryMiB      int
	LinkMbps       float64
	ProcessorShare float64 // of a core
}

// Fleet is the size of what a leader serves.
type Fleet struct {
	Workers   int
	Instances int
	Adaptive  bool // planning is adaptive, whose rounds take more of the processor
}

// ReservedDescriptors is the number of descriptors left for files and listeners.
const ReservedDescriptors = 200

// What leading needs, from the growth between 298 and 3,002 workers in docs/CAPACITY.md.
const (
	baseMemoryMiB          = 35
	memoryKiBPerWorker     = 70
	baseLinkMbps           = 1.4
	linkMbpsPerWorker      = 0.0032
	baseProcessorShare     = 0.1
	processorPerWorker     = 0.000126
	adaptiveBaseProcessor  = 0.17 // with adaptive planning, from 300 to 1,000 workers there
	adaptivePerWorker      = 0.0003
	connectionsPerWorker   = 1.25 // a renewal each, and orders at some of them
	connectionsPerInstance = 4    // submissions, waits for ends and relayed store calls
)

// Need returns what leading a fleet needs. A leader without workers needs nothing.
func Need(f Fleet) Resources {
	if f.Workers <= 0 {
		return Resources{}
	}
	n := float64(f.Workers)
	processor := baseProcessorShare + processorPerWorker*n
	if f.Adaptive {
		processor = adaptiveBaseProcessor + adaptivePerWorker*n
	}
	return Resources{
		Descriptors:    ReservedDescriptors + int(math.Ceil(connectionsPerWorker*n)) + connectionsPerInstance*f.Instances,
		MemoryMiB:      baseMemoryMiB + int(math.Ceil(memoryKiBPerWorker*n/1024)),
		LinkMbps:       baseLinkMbps + linkMbpsPerWorker*n,
		ProcessorShare: processor,
	}
}

// Shares of the resources that connections to workers may take while they are idle. The rest is
// for callers, other instances and the store; memory is also needed for jobs.
const (
	workerDescriptorShare = 0.75
	workerMemoryShare     = 3  // divides the memory
	connectionKiB         = 24 // of memory, with the buffers and the stacks of its goroutines
)

// ConnectionBound returns how many connections to workers may stay open while idle, 0 for no
// bound. It is above what a leader of 350 workers opens at the smallest published instance, so
// that nothing is closed there.
func ConnectionBound(have Resources) int {
	bound := 0
	if have.Descriptors > 0 {
		bound = max(1, int(workerDescriptorShare*float64(have.Descriptors-ReservedDescriptors)))
	}
	if have.MemoryMiB > 0 {
		byMemory := have.MemoryMiB * 1024 / workerMemoryShare / connectionKiB
		if bound == 0 || byMemory < bound {
			bound = byMemory
		}
	}
	return bound
}

// Ability is how well an instance can lead.
type Ability string

// Abilities, the best first.
const (
	Able     Ability = "able"
	Strained Ability = "strained" // leads more slowly than others would
	Unable   Ability = "unable"   // runs out of something
)

// Verdict is the ability of an instance and its reason.
type Verdict struct {
	Ability Ability
	Lacks   string  // the first resource that is short, and by how much; empty for Able
	Share   float64 // the smallest share of a need that the instance has; 1 or more if it lacks nothing
}

// Shares of the needed processor below which renewals are late at times, and below which they
// time out, since each takes as long as two.
const (
	strainedProcessor = 0.8
	slowestProcessor  = 0.5
)

// Judge returns whether an instance can lead a fleet. The order of the reasons is
// descriptors, memory, link, processor: without descriptors no worker is reached, a process
// that exceeds its memory is killed, a full link delays every renewal, and a short processor
// only slows the leader down, until it has less than half of what it needs. What is not
// known of the instance counts as enough.
//
// Load pattern: 3,000 workers before instances of which the smallest have 3,075 descriptors,
// 144 MB, 10 Mbit/s and 0.144 of a core.
func Judge(have Resources, f Fleet) Verdict {
	need := Need(f)
	v := Verdict{Ability: Able, Share: math.Inf(1)}
	for _, r := range []struct {
		name       string
		have, need float64
		strained   float64 // share below which the instance is strained
		unable     float64 // share below which it is unable
	}{
		{"descriptors", float64(have.Descriptors), float64(need.Descriptors), 1, 1},
		{"memory MiB", float64(have.MemoryMiB), float64(need.MemoryMiB), 1, 1},
		{"link Mbit/s", have.LinkMbps, need.LinkMbps, 1, 1},
		{"processor", have.ProcessorShare, need.ProcessorShare, strainedProcessor, slowestProcessor},
	} {
		if r.have <= 0 || r.need <= 0 {
			continue
		}
		share := r.have / r.need
		v.Share = min(v.Share, share)
		if share >= r.strained {
			continue
		}
		ability := Strained
		if share < r.unable {
			ability = Unable
		}
		if v.Ability == Able || (v.Ability == Strained && ability == Unable) {
			v.Ability, v.Lacks = ability, fmt.Sprintf("%s: %.4g of %.4g", r.name, r.have, r.need)
		}
	}
	return v
}

// known reports whether an instance has announced anything. Earlier versions don't.
func (r Resources) known() bool { return r != Resources{} }

// Delays of claims.
const (
	// An able instance claims within 600 ms of the end of a term: 500 ms of random delay at
	// 300 instances with little processor, and a store call. Three times that covers a second claim.
	strainedDelay = 600 * time.Millisecond
	unableDelay   = 3 * time.Second
	// Where no instance is able, the more able ones claim first. A step covers the random
	// delay of a claim by one of a few instances.
	rankDelay    = 100 * time.Millisecond
	maxRankDelay = 2 * time.Second
)

// ClaimDelay returns how long an instance lets others claim a term first. Whether another
// one is alive is not known: one that has ended may be announced still. So an instance that
// is unable waits until an able one that is alive would have claimed, and the time
// without a leader is bounded by that. Until the announcements are read, others count as able.
func ClaimDelay(have Resources, f Fleet, others []Resources, read bool) time.Duration {
	v := Judge(have, f)
	if v.Ability == Able {
		return 0
	}
	better, able := 0, false
	for _, r := range others {
		if !r.known() {
			continue
		}
		o := Judge(r, f)
		able = able || o.Ability == Able
		if o.Share > v.Share {
			better++
		}
	}
	if read && !able {
		return min(time.Duration(better)*rankDelay, maxRankDelay)
	}
	if v.Ability == Unable {
		return unableDelay
	}
	return strainedDelay
}

// Successors returns which of the other instances the leader gives its term up to if one of
// them is alive, by index, and why. There are some only if the leader is unable.
func Successors(have Resources, f Fleet, others []Resources) (able []int, reason string) {
	v := Judge(have, f)
	if v.Ability != Unable {
		return nil, ""
	}
	for i, r := range others {
		if r.known() && Judge(r, f).Ability == Able {
			able = append(able, i)
		}
	}
	return able, "it can't carry the fleet: " + v.Lacks
}
