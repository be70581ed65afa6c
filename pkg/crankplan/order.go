package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// ranked is a waiting job with its place in the order.
type ranked struct {
	job   crank.RoundJob
	class int // 0 urgent, 1 patient beyond the aging bound, 2 other patient
	score float64
}

// order returns the waiting jobs in the order in which they are tried: urgent
// ones by deadline, then patient ones that have waited beyond the aging bound
// by submission, then the others by response ratio over their area, which
// favours small jobs at first and every job in time.
func (g Guarded) order(r crank.Round, q quotas) []ranked {
	shares := newShares(r, q)
	jobs := make([]ranked, len(r.Waiting))
	for i, j := range r.Waiting {
		jobs[i] = ranked{job: j, class: 2}
		wait := r.Now.Sub(j.Submitted)
		switch {
		case j.Class == crank.ClassUrgent:
			jobs[i].class = 0
			jobs[i].score = -float64(j.Deadline.Sub(r.Now))
		case wait > g.AgingBound:
			jobs[i].class = 1
			jobs[i].score = float64(wait)
		default:
			jobs[i].score = ratio(j, wait) / (1 + shares.of(j.Workspace))
		}
	}
	slices.SortStableFunc(jobs, func(a, b ranked) int {
		if a.class != b.class {
			return a.class - b.class
		}
		return cmp.Compare(b.score, a.score)
	})
	return jobs
}

// claimantsFirst moves patient jobs that can claim a free cell ahead of other
// patient jobs, one for each cell: what others borrow in this round could not
// be stopped for them in the same round.
func claimantsFirst(jobs []ranked, cells []*cell) []ranked {
	taken := make(map[string]bool, len(cells))
	var urgent, claimants, others []ranked
	for _, j := range jobs {
		c := claimable(j.job, cells, taken)
		switch {
		case j.class == 0:
			urgent = append(urgent, j)
		case c != nil:
			claimants = append(claimants, j)
		default:
			others = append(others, j)
		}
		if c != nil {
			taken[c.name] = true
		}
	}
	return slices.Concat(urgent, claimants, others)
}

// claimable returns a bound cell that a job can claim and that is not taken.
func claimable(j crank.RoundJob, cells []*cell, taken map[string]bool) *cell {
	for _, c := range cells {
		if c.parts != nil && c.workspace == j.Workspace && !taken[c.name] && j.Shape.Within(c.shape) {
			return c
		}
	}
	return nil
}

// ratio is the response ratio of a job: it grows with the wait, and faster for
// a job that needs fewer accelerators for a shorter time.
func ratio(j crank.RoundJob, wait time.Duration) float64 {
	run := max(j.RunTime, minRunTime).Seconds()
	area := run * float64(max(1, j.Shape.Total().Accelerators))
	return (wait.Seconds() + run) / area
}

// shares compares the accelerators that each workspace uses beyond its
// guarantees with an equal part of the fleet.
type shares struct {
	quota quotas
	own   map[string]int
	equal float64
}

func newShares(r crank.Round, q quotas) shares {
	total := 0
	for _, w := range r.Workers {
		total += w.Capacity.Accelerators
	}
	s := shares{quota: q, own: make(map[string]int, len(r.Workspaces)), equal: 1}
	for _, w := range r.Workspaces {
		for _, g := range w.Guarantees {
			s.own[w.Name] += g.Shape.Total().Accelerators * g.Cells
		}
	}
	if len(r.Workspaces) > 0 && total > 0 {
		s.equal = float64(total) / float64(len(r.Workspaces))
	}
	return s
}

func (s shares) of(workspace string) float64 {
	beyond := s.quota.used[workspace] - s.own[workspace]
	return max(0, float64(beyond)) / s.equal
}
