package crankorder

import (
	"cmp"
	"time"
)

// Unit is a waiting unit. Lower ranks go first, whatever else is known.
type Unit struct {
	Rank       int
	Priority   int
	Slack      time.Duration // until it has to start to meet its objective, negative once it can't
	SlackKnown bool          // else it counts as in time
	Objective  time.Duration // from submission to completion
	Preferred  bool          // first unit in this rank of the workspace that is served worst, or has waited for too long
	Job        string
	Ordinal    int // of its first task
}

const (
	// maxDeferral is how long a unit that can't be in time goes behind those that can, at most.
	maxDeferral = 10 * time.Second
	// deferralFactor bounds that by the unit's objective: from three times that on work is worth
	// nothing, and a unit that comes back within the burst makes others late.
	deferralFactor = 3
)

// deferred reports whether the unit goes behind those that can still be in time.
func (u Unit) deferred() bool {
	bound := min(maxDeferral, deferralFactor*u.Objective)
	return u.SlackKnown && u.Slack < 0 && -u.Slack <= bound
}

// Compare orders units for placement. Within a rank, preferred units go first, units that
// can be in time go before those that can't, then by priority and least slack. A unit that
// can't be in time goes behind others for three times its objective, 10 s at most; after that its slack is
// the least of its priority, and it goes before them.
//
// Load pattern: a burst exceeds the capacity for some seconds. By latest start alone, units
// that can't be in time any more go first and make those late that still could be.
func Compare(a, b Unit) int {
	return cmp.Or(
		cmp.Compare(a.Rank, b.Rank),
		compareBool(b.Preferred, a.Preferred),
		compareBool(a.deferred(), b.deferred()),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Slack, b.Slack),
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Ordinal, b.Ordinal),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Service is what a workspace holds of a pool and what it waits for, in cores.
type Service struct {
	Workspace string
	Held      float64
	Waiting   float64 // of units that have waited for at least NeglectWait
}

// NeglectWait is how long a unit waits before it counts for Neglected. Most units start within 40 ms; 95 %
// of urgent ones within 1.1 s.
const NeglectWait = time.Second

// neglectShare is the share of its demand that a workspace holds at most, compared with
// all workspaces of the pool, to count as neglected.
const neglectShare = 0.5

// Neglected returns the workspace of a pool that holds the least share of its demand, and
// false if none holds much less than all of them together. The result does not depend on
// the order of services.
//
// Load pattern: one workspace submits a thousand jobs with little slack; those of another,
// with longer objectives, find no capacity until theirs is almost over.
func Neglected(services []Service) (string, bool) {
	var held, demand float64
	worst, least := -1, 0.0
	for i, v := range services {
		held, demand = held+v.Held, demand+v.Held+v.Waiting
		if v.Waiting <= 0 {
			continue
		}
		share := v.Held / (v.Held + v.Waiting)
		if worst < 0 || share < least || (share == least && v.Workspace < services[worst].Workspace) {
			worst, least = i, share
		}
	}
	if worst < 0 || least >= neglectShare*held/demand {
		return "", false
	}
	return services[worst].Workspace, true
}
