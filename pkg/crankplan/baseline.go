package crankplan

import (
	"slices"

	crank "cranberrycrank"
)

// FirstFit starts jobs in the order of arrival, each at the first place that
// holds it, and stops at the first job that finds none.
type FirstFit struct{}

// Plan implements crank.Policy.
func (FirstFit) Plan(r crank.Round) crank.Decisions {
	b := newBaseline(r)
	for _, j := range r.Waiting {
		s := search{fleet: b.fleet, view: viewFree, shape: j.Shape}
		if !b.place(j, s.first) {
			break
		}
	}
	return b.decisions
}

// BestFit starts urgent jobs before patient ones, each at the tightest place,
// and passes over jobs that find none.
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
		if !b.place(j, s.best) {
			blocked.add(j.Shape)
		}
	}
	return b.decisions
}

// baseline holds what both baselines need: quotas and the refusal of jobs that
// can never run.
type baseline struct {
	fleet     *fleet
	quota     quotas
	whole     bool
	decisions crank.Decisions
}

func newBaseline(r crank.Round) *baseline {
	return &baseline{fleet: newFleet(r.Workers), quota: newQuotas(r), whole: r.Whole}
}

// place places a job and reports whether jobs behind it may go on.
func (b *baseline) place(j crank.RoundJob, find func() []crank.Part) bool {
	if reason := never(b.fleet, b.quota, j); reason != "" && b.whole {
		b.decisions.Refuse = append(b.decisions.Refuse, crank.Refusal{Job: j.ID, Reason: reason})
		return true
	}
	if !b.quota.allows(j) {
		return true
	}
	parts := find()
	if parts == nil {
		return false
	}
	b.fleet.take(parts, j.Shape.PerTask, false)
	b.quota.add(j)
	b.decisions.Places = append(b.decisions.Places, crank.Placement{Job: j.ID, Parts: parts})
	return true
}

func classRank(c crank.Class) int {
	if c == crank.ClassUrgent {
		return 0
	}
	return 1
}

// shapeSet remembers shapes that found no place.
type shapeSet map[crank.Shape]bool

func (s shapeSet) has(shape crank.Shape) bool { return s[shape] }
func (s shapeSet) add(shape crank.Shape)      { s[shape] = true }
