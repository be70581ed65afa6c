package crankstate

import (
	"slices"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// place starts an attempt of a waiting job. It evicts the victims, then checks
// the placement against the free capacity.
func (s State) place(p crank.Position, r crankrecord.Place) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	j, ok := s.jobs.Get(r.Job)
	if !ok || j.State != JobWaiting || r.Number != j.AttemptCount+1 {
		return s, reject(p, crank.KindConflict, "the job is not waiting for this attempt")
	}
	before := s
	for _, id := range r.Evictions {
		s, ok = s.evictAttempt(id)
		if !ok {
			return before, reject(p, crank.KindConflict, "an attempt to evict is over or can't be stopped")
		}
	}
	if reason := s.checkPlacement(j, r); reason != "" {
		return before, reject(p, crank.KindConflict, reason)
	}
	j.AttemptCount = r.Number
	j.Attempt = Attempt{Number: r.Number, Token: p, FirstToken: p, Owner: r.Owner, Evictions: r.Evictions, Cell: r.Cell}
	for _, part := range r.Parts {
		w, _ := s.workers.Get(part.Worker)
		j.Attempt.Parts = append(j.Attempt.Parts, Part{Part: part, Epoch: w.Epoch})
		s = s.allocatePart(part, j)
	}
	s = s.dequeue(j).activate(j)
	return s, accept(p)
}

// checkPlacement returns why the placement is not possible, or "".
func (s State) checkPlacement(j Job, r crankrecord.Place) string {
	tasks := 0
	seen := make([]string, 0, len(r.Parts))
	for _, part := range r.Parts {
		w, ok := s.workers.Get(part.Worker)
		switch {
		case !ok || w.Gone || w.Leaving || w.Lost:
			return "worker " + part.Worker + " is not in service"
		case s.Zone(w.Zone).Out || !s.Config.HasZone(w.Zone):
			return "availability zone " + w.Zone + " is out of service"
		case part.Tasks < 1 || slices.Contains(seen, part.Worker):
			return "the parts are malformed"
		case !w.Free().Covers(j.Rules.Shape.PerTask.Times(part.Tasks)):
			return "worker " + part.Worker + " has no room"
		}
		seen = append(seen, part.Worker)
		tasks += part.Tasks
	}
	if tasks != j.Rules.Shape.Tasks {
		return "the gang is not whole"
	}
	workspace, _ := s.Config.Workspace(j.Workspace)
	total := s.Usage(j.Workspace).Accelerators + j.Rules.Shape.Total().Accelerators
	if workspace.Quota > 0 && total > workspace.Quota {
		return "the quota of workspace " + j.Workspace + " is reached"
	}
	return ""
}

// evictAttempt marks an attempt as evicted and releases its capacity. It fails if
// the attempt is not active, is stopping or can't be run again.
func (s State) evictAttempt(id crank.AttemptID) (State, bool) {
	j, ok := s.current(id)
	if !ok || j.Attempt.Stopping || !(j.Rules.Checkpointable || j.Rules.Idempotent) {
		return s, false
	}
	j.Attempt.Stopping = true
	j.Attempt.Evicted = true
	for _, part := range j.Attempt.Parts {
		if !part.EndedOrLost() {
			s = s.releasePart(part.Part, j)
		}
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s, true
}

func (s State) evict(p crank.Position, r crankrecord.Evict) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	s, ok := s.evictAttempt(r.Attempt)
	if !ok {
		return s, reject(p, crank.KindConflict, "the attempt is over or can't be stopped")
	}
	return s, accept(p)
}

// current returns the job of an attempt, and whether the attempt is active.
func (s State) current(id crank.AttemptID) (Job, bool) {
	j, ok := s.jobs.Get(id.Job)
	return j, ok && j.Attempt.Number == id.Number && j.IsActive()
}

func (s State) activate(j Job) State {
	j.State = JobPlaced
	s.jobs = s.jobs.Set(j.Job, j)
	s.active = s.active.Set(j.Position, j.Job)
	return s.addUsage(j.Workspace, 0, j.Rules.Shape.Total().Accelerators)
}

func (s State) deactivate(j Job) State {
	s.active = s.active.Delete(j.Position)
	return s.addUsage(j.Workspace, 0, -j.Rules.Shape.Total().Accelerators)
}

func (s State) allocatePart(part crank.Part, j Job) State {
	w, _ := s.workers.Get(part.Worker)
	w.Used = w.Used.Plus(j.Rules.Shape.PerTask.Times(part.Tasks))
	w.Attempts = append(slices.Clone(w.Attempts), j.ID())
	s.workers = s.workers.Set(w.ID, w)
	return s
}

// releasePart frees the capacity of a part. The attempt stays listed at the worker
// until removePart.
func (s State) releasePart(part crank.Part, j Job) State {
	w, ok := s.workers.Get(part.Worker)
	if !ok {
		return s
	}
	w.Used = w.Used.Minus(j.Rules.Shape.PerTask.Times(part.Tasks))
	s.workers = s.workers.Set(w.ID, w)
	return s
}

// removePart removes an ended or lost part from its worker. An evicted attempt has
// released its capacity before.
func (s State) removePart(part crank.Part, j Job) State {
	if !j.Attempt.Evicted {
		s = s.releasePart(part, j)
	}
	w, ok := s.workers.Get(part.Worker)
	if !ok {
		return s
	}
	id := j.ID()
	w.Attempts = slices.DeleteFunc(slices.Clone(w.Attempts), func(a crank.AttemptID) bool { return a == id })
	s.workers = s.workers.Set(w.ID, w)
	return s.deleteGoneWorker(w.ID)
}

// reassign gives an attempt that has not started a new owner and fencing token.
func (s State) reassign(p crank.Position, r crankrecord.Reassign) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	j, ok := s.current(r.Attempt)
	if !ok || j.Attempt.Started {
		return s, reject(p, crank.KindConflict, "the attempt is not being started")
	}
	j.Attempt.Owner = r.Owner
	j.Attempt.Token = p
	s.jobs = s.jobs.Set(j.Job, j)
	return s, accept(p)
}

func (s State) markStarted(p crank.Position, r crankrecord.Started) (State, Verdict) {
	j, ok := s.current(r.Attempt)
	if !ok || j.Attempt.Token != r.Token || j.Attempt.Started {
		return s, reject(p, crank.KindConflict, "the attempt is not being started under this token")
	}
	j.Attempt.Started = true
	j.State = JobRunning
	if j.StartedAt.IsZero() {
		j.StartedAt = s.LogTime
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s, accept(p)
}

// voidAttempt ends an attempt of which no part was started and backs off the
// worker that caused it.
func (s State) voidAttempt(p crank.Position, r crankrecord.Void) (State, Verdict) {
	j, ok := s.current(r.Attempt)
	if !ok || j.Attempt.Token != r.Token || j.Attempt.Started {
		return s, reject(p, crank.KindConflict, "the attempt is not being started under this token")
	}
	for i, part := range j.Attempt.Parts {
		if part.EndedOrLost() {
			continue
		}
		part.State = crank.PartFenced
		s = s.removePart(part.Part, j)
		j = j.WithPart(i, part)
	}
	j.Detail = r.Reason
	return s.backOffWorker(r.Worker).closeAttempt(j), accept(p)
}
