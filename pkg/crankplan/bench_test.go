package crankplan

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	crank "cranberrycrank"
)

// benchRound returns a round at a multiple of the design size, with busy workers and
// waiting jobs as in the middle of a day.
func benchRound(scale float64, waiting int) crank.Round {
	w := designSize(scale)
	rng := rand.New(rand.NewPCG(7, 1))
	r := crank.Round{Objective: w.objective, AllZonesKnown: true, Workers: w.fleet(), Workspaces: w.workspaces}
	r.Now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	policy := BestFit{}
	index := map[string]int{}
	for i, x := range r.Workers {
		index[x.ID] = i
	}
	for _, a := range w.arrivals(rng) {
		if len(r.Waiting) >= waiting && len(r.Active) > int(400*scale) {
			break
		}
		a.job.Submitted = r.Now.Add(-time.Duration(rng.IntN(7200)) * time.Second)
		a.job.Deadline = r.Now.Add(24 * time.Hour)
		r.Waiting = append(r.Waiting, a.job)
		if len(r.Waiting)%40 != 39 {
			continue
		}
		r = applyPlacements(r, policy.Plan(r), index)
	}
	for len(r.Waiting) < waiting {
		j := r.Waiting[rng.IntN(len(r.Waiting))]
		j.ID = fmt.Sprintf("more-%d", len(r.Waiting))
		r.Waiting = append(r.Waiting, j)
	}
	r.Waiting = r.Waiting[:waiting]
	return r
}

// applyPlacements starts the placements that evict nothing.
func applyPlacements(r crank.Round, d crank.Decisions, index map[string]int) crank.Round {
	r.PolicyState = d.PolicyState
	placed := map[string]crank.Placement{}
	for _, p := range d.Placements {
		if len(p.Evictions) == 0 {
			placed[p.Job] = p
		}
	}
	var rest []crank.RoundJob
	for _, j := range r.Waiting {
		p, ok := placed[j.ID]
		if !ok {
			rest = append(rest, j)
			continue
		}
		for _, part := range p.Parts {
			x := &r.Workers[index[part.Worker]]
			x.Free = x.Free.Minus(j.Shape.PerTask.Times(part.Tasks))
		}
		r.Active = append(r.Active, crank.RoundAttempt{
			ID: crank.AttemptID{Job: j.ID, Number: 1}, Workspace: j.Workspace, Class: j.Class, Stoppable: j.Stoppable,
			Cell: p.Cell, Shape: j.Shape, Parts: p.Parts, Placed: j.Submitted, RunTime: j.RunTime,
		})
	}
	r.Waiting = rest
	return r
}

// BenchmarkPlan times one round at multiples of the design size, with as many
// waiting jobs as arrive in a day.
func BenchmarkPlan(b *testing.B) {
	for _, scale := range []float64{0.125, 0.25, 0.5, 1, 2} {
		b.Run(fmt.Sprintf("x%g", scale), func(b *testing.B) {
			r := benchRound(scale, int(820*scale))
			policy := NewGuaranteePolicy()
			r.PolicyState = policy.Plan(r).PolicyState
			b.ReportAllocs()
			for b.Loop() {
				policy.Plan(r)
			}
		})
	}
}
