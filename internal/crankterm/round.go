package crankterm

import (
	"cmp"
	"context"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// maxBorrowStopTime is the longest stop time of a task that may run on capacity
// guaranteed to another workspace.
const maxBorrowStopTime = 500 * time.Millisecond

func (p *Planner) plan(ctx context.Context, s crankstate.State) {
	waiting, _, _ := s.Counts()
	if !p.isLeader(s) || p.Cache.View().Stale() || (waiting == 0 && !draining(s)) {
		return
	}
	decisions := p.Policy.Plan(newRound(s, p.policyState))
	p.policyState = decisions.PolicyState
	urgent, normal := p.records(s, decisions)
	if len(urgent) > 0 {
		p.propose(ctx, crankstream.PriorityHigh, urgent...)
	}
	if len(normal) > 0 {
		p.propose(ctx, crankstream.PriorityNormal, normal...)
	}
}

// draining reports whether a round may have to move work off workers: a zone is
// out of service, or a leaving worker has attempts.
func draining(s crankstate.State) bool {
	for _, z := range s.Zones() {
		if z.Out {
			return true
		}
	}
	for _, w := range s.Workers() {
		if w.Leaving && len(w.Attempts) > 0 {
			return true
		}
	}
	return false
}

// Preview returns the decisions that a round would make on a state, without the
// policy's state from earlier rounds.
func (p *Planner) Preview(s crankstate.State) crank.Decisions {
	return p.Policy.Plan(newRound(s, crank.PolicyState{}))
}

// records turns decisions into records. Placements of urgent jobs are separate, to
// be proposed first.
func (p *Planner) records(s crankstate.State, d crank.Decisions) (urgent, normal []crankrecord.Record) {
	term := s.Term.Number
	owners := p.owners()
	for n, place := range d.Placements {
		j, _ := s.Job(place.Job)
		record := crankrecord.Record{Place: &crankrecord.Place{
			Term:      term,
			Job:       place.Job,
			Number:    j.AttemptCount + 1,
			Owner:     owners[n%len(owners)],
			Parts:     place.Parts,
			Evictions: place.Evictions,
			Cell:      place.Cell,
		}}
		if j.Rules.Class == crank.ClassUrgent {
			urgent = append(urgent, record)
			continue
		}
		normal = append(normal, record)
	}
	for _, e := range d.Evictions {
		normal = append(normal, crankrecord.Record{Evict: &crankrecord.Evict{Term: term, Attempt: e.Attempt, Reason: e.Reason}})
	}
	for _, r := range d.Refusals {
		normal = append(normal, crankrecord.Record{Refuse: &crankrecord.Refuse{Term: term, Job: r.Job, Reason: r.Reason}})
	}
	return urgent, normal
}

// newRound builds the policy's input from the state.
func newRound(s crankstate.State, policyState crank.PolicyState) crank.Round {
	r := crank.Round{Now: time.Now(), Objective: s.Config.Objective, PolicyState: policyState}
	r.Workers, r.AllZonesKnown = roundWorkers(s)
	for _, j := range s.Waiting() {
		r.Waiting = append(r.Waiting, roundJob(s, j))
	}
	for _, j := range s.Active() {
		r.Active = append(r.Active, roundAttempt(s, j))
	}
	for _, w := range s.Config.Workspaces {
		r.Workspaces = append(r.Workspaces, crank.RoundWorkspace{Name: w.Name, Guarantees: w.Guarantees, Quota: w.Quota})
	}
	return r
}

// roundWorkers returns the workers sorted by zone, rack and ID, and whether every
// declared availability zone has one.
func roundWorkers(s crankstate.State) ([]crank.RoundWorker, bool) {
	known := s.Workers()
	workers := make([]crank.RoundWorker, 0, len(known))
	now := time.Now()
	seen := make(map[string]bool)
	for _, w := range known {
		out := s.Zone(w.Zone).Out || !s.Config.HasZone(w.Zone)
		workers = append(workers, crank.RoundWorker{
			ID:        w.ID,
			Zone:      w.Zone,
			Rack:      w.Rack,
			Capacity:  w.Capacity,
			Free:      w.Free(),
			InService: !out && !w.Gone && !w.Leaving && !w.Lost && !now.Before(w.QuarantinedUntil),
			Draining:  out || w.Leaving,
		})
		seen[w.Zone] = true
	}
	slices.SortFunc(workers, func(a, b crank.RoundWorker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
	allZonesKnown := len(s.Config.Zones) > 0
	for _, z := range s.Config.Zones {
		allZonesKnown = allZonesKnown && seen[z.Name]
	}
	return workers, allZonesKnown
}

func roundJob(s crankstate.State, j crankstate.Job) crank.RoundJob {
	return crank.RoundJob{
		ID:        j.Job,
		Workspace: j.Workspace,
		Profile:   j.Profile,
		Class:     j.Rules.Class,
		Stoppable: j.Rules.Stoppable(maxBorrowStopTime),
		Shape:     j.Rules.Shape,
		Submitted: j.SubmittedAt,
		Deadline:  j.Deadline,
		RunTime:   s.PredictRunTime(j.Rules),
		Avoid:     j.FailedWorkers,
	}
}

func roundAttempt(s crankstate.State, j crankstate.Job) crank.RoundAttempt {
	a := crank.RoundAttempt{
		ID:        j.ID(),
		Workspace: j.Workspace,
		Class:     j.Rules.Class,
		Stoppable: j.Rules.Stoppable(maxBorrowStopTime),
		Movable:   j.Rules.Checkpointable,
		Stopping:  j.Attempt.Stopping,
		Cell:      j.Attempt.Cell,
		Shape:     j.Rules.Shape,
		Placed:    j.SubmittedAt,
		RunTime:   s.PredictRunTime(j.Rules),
	}
	if !j.StartedAt.IsZero() {
		a.Placed = j.StartedAt
	}
	for _, part := range j.Attempt.Parts {
		if !part.EndedOrLost() {
			a.Parts = append(a.Parts, part.Part)
		}
	}
	return a
}
