package crankplan

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

type rankedJob struct {
	job   crank.RoundJob
	tier  int     // 0 urgent, 1 patient beyond the aging bound, 2 other patient
	score float64 // highest first within a tier
}

// orderJobs returns the waiting jobs in the order in which they are tried: urgent
// jobs by deadline, then patient jobs that have waited beyond the aging bound by
// submission, then the others by response ratio per accelerator, lowered for
// workspaces above their share. The response ratio favours small jobs at first and
// every job in time.
func (g GuaranteePolicy) orderJobs(r crank.Round, q quotas) []rankedJob {
	shares := newUsageShares(r, q)
	jobs := make([]rankedJob, len(r.Waiting))
	for i, j := range r.Waiting {
		jobs[i] = rankedJob{job: j, tier: 2}
		wait := r.Now.Sub(j.Submitted)
		switch {
		case j.Class == crank.ClassUrgent:
			jobs[i].tier = 0
			jobs[i].score = -float64(j.Deadline.Sub(r.Now))
		case wait > g.AgingBound:
			jobs[i].tier = 1
			jobs[i].score = float64(wait)
		default:
			jobs[i].score = responseRatio(j, wait) / (1 + shares.excess(j.Workspace))
		}
	}
	slices.SortStableFunc(jobs, func(a, b rankedJob) int {
		if a.tier != b.tier {
			return a.tier - b.tier
		}
		return cmp.Compare(b.score, a.score)
	})
	return jobs
}

// claimantsFirst moves patient jobs that can claim a free cell ahead of the other
// patient jobs, one job per cell: what others borrow in this round could not be
// evicted for a claim in the same round.
func claimantsFirst(jobs []rankedJob, cells []*cell) []rankedJob {
	taken := make(map[string]bool, len(cells))
	var urgent, claimants, others []rankedJob
	for _, j := range jobs {
		c := claimableCell(j.job, cells, taken)
		switch {
		case j.tier == 0:
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

// claimableCell returns a bound cell that a job can claim and that is not taken, or
// nil.
func claimableCell(j crank.RoundJob, cells []*cell, taken map[string]bool) *cell {
	for _, c := range cells {
		if c.parts != nil && c.workspace == j.Workspace && !taken[c.name] && j.Shape.FitsCell(c.shape) {
			return c
		}
	}
	return nil
}

// responseRatio returns (wait + run time) / run time, divided by the job's
// accelerators. It grows with the wait, and faster for a job that needs fewer
// accelerators for a shorter time.
func responseRatio(j crank.RoundJob, wait time.Duration) float64 {
	run := max(j.RunTime, minRunTime).Seconds()
	area := run * float64(max(1, j.Shape.Total().Accelerators))
	return (wait.Seconds() + run) / area
}

// usageShares compares the accelerators that each workspace uses beyond its
// guarantees with an equal share of the fleet.
type usageShares struct {
	quotas     quotas
	guaranteed map[string]int // by workspace
	fairShare  float64        // the fleet divided by the number of workspaces
}

func newUsageShares(r crank.Round, q quotas) usageShares {
	total := 0
	for _, w := range r.Workers {
		total += w.Capacity.Accelerators
	}
	s := usageShares{quotas: q, guaranteed: make(map[string]int, len(r.Workspaces)), fairShare: 1}
	for _, w := range r.Workspaces {
		for _, g := range w.Guarantees {
			s.guaranteed[w.Name] += g.Shape.Total().Accelerators * g.Cells
		}
	}
	if len(r.Workspaces) > 0 && total > 0 {
		s.fairShare = float64(total) / float64(len(r.Workspaces))
	}
	return s
}

// excess returns the use beyond the guarantees as a multiple of fairShare.
func (s usageShares) excess(workspace string) float64 {
	beyond := s.quotas.used[workspace] - s.guaranteed[workspace]
	return max(0, float64(beyond)) / s.fairShare
}
