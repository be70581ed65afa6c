package crankplan

import (
	"slices"

	crank "cranberrycrank"
)

// FirstFit places jobs in order of submission, each at the first place that fits, and
// stops at the first job that has none.
type FirstFit struct{}

// Plan implements crank.Policy.
func (FirstFit) Plan(r crank.Round) crank.Decisions {
	b := newBaseline(r)
	for _, j := range r.Waiting {
		s := search{fleet: b.fleet, view: viewFree, shape: j.Shape}
		if !b.place(j, s.findFirst) {
			break
		}
	}
	return b.decisions
}

// BestFit places urgent jobs before patient ones, each at the best-fitting place, and
// skips jobs that have none.
type BestFit struct{}

// Plan implements crank.Policy.
func (BestFit) Plan(r crank.Round) crank.Decisions {
	b := newBaseline(r)
	jobs := slices.Clone(r.Waiting)
	slices.SortStableFunc(jobs, func(a, b crank.RoundJob) int { return classRank(a.Class) - classRank(b.Class) })
	blocked := make(shapeSet)
	for _, j := range jobs {
		if blocked.has(j.Shape) {
			continue
		}
		s := search{fleet: b.fleet, view: viewFree, shape: j.Shape}
		if !b.place(j, s.findBest) {
			blocked.add(j.Shape)
		}
	}
	return b.decisions
}

// baseline is the state of a round of either baseline policy.
type baseline struct {
	fleet         *fleet
	quotas        quotas
	allZonesKnown bool
	decisions     crank.Decisions
}

func newBaseline(r crank.Round) *baseline {
	return &baseline{fleet: newFleet(r.Workers), quotas: newQuotas(r), allZonesKnown: r.AllZonesKnown}
}

// place places a job, and returns false if it finds no place. Jobs that are refused
// or over their quota return true.
func (b *baseline) place(j crank.RoundJob, find func() []crank.Part) bool {
	if reason := refusalReason(b.fleet, b.quotas, j); reason != "" && b.allZonesKnown {
		b.decisions.Refusals = append(b.decisions.Refusals, crank.Refusal{Job: j.ID, Reason: reason})
		return true
	}
	if !b.quotas.allows(j) {
		return true
	}
	parts := find()
	if parts == nil {
		return false
	}
	b.fleet.allocate(parts, j.Shape.PerTask, false)
	b.quotas.add(j)
	b.decisions.Placements = append(b.decisions.Placements, crank.Placement{Job: j.ID, Parts: parts})
	return true
}

func classRank(c crank.Class) int {
	if c == crank.ClassUrgent {
		return 0
	}
	return 1
}

// shapeSet holds the shapes that found no place in the round.
type shapeSet map[crank.Shape]bool

func (s shapeSet) has(shape crank.Shape) bool { return s[shape] }
func (s shapeSet) add(shape crank.Shape)      { s[shape] = true }
