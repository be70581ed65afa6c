package crankfold

import (
	"slices"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// place judges a placement against what is free when it is applied.
func (s State) place(p crank.Position, r crankrecord.Place) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	j, ok := s.jobs.Get(r.Job)
	if !ok || j.State != JobWaiting || r.Number != j.Placed+1 {
		return s, reject(p, crank.KindConflict, "the job is not waiting for this attempt")
	}
	before := s
	for _, id := range r.Evicts {
		s, ok = s.makeRoom(id)
		if !ok {
			return before, reject(p, crank.KindConflict, "an attempt to evict is over or can't be stopped")
		}
	}
	if reason := s.checkPlace(j, r); reason != "" {
		return before, reject(p, crank.KindConflict, reason)
	}
	j.Placed = r.Number
	j.Attempt = Attempt{Number: r.Number, Token: p, First: p, Owner: r.Owner, Evicts: r.Evicts, Cell: r.Cell}
	for _, part := range r.Parts {
		w, _ := s.workers.Get(part.Worker)
		j.Attempt.Parts = append(j.Attempt.Parts, Part{Part: part, Epoch: w.Epoch})
		s = s.load(part, j)
	}
	s = s.dequeue(j).activate(j)
	return s, accept(p)
}

// checkPlace returns why an attempt can't be placed, or "".
func (s State) checkPlace(j Job, r crankrecord.Place) string {
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

// makeRoom marks an attempt for eviction and frees what it holds.
func (s State) makeRoom(id crank.AttemptID) (State, bool) {
	j, ok := s.current(id)
	if !ok || j.Attempt.Stopping || !(j.Rules.Checkpointable || j.Rules.Idempotent) {
		return s, false
	}
	j.Attempt.Stopping = true
	j.Attempt.Evicted = true
	for _, part := range j.Attempt.Parts {
		if !part.Over() {
			s = s.unload(part.Part, j)
		}
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s, true
}

func (s State) evict(p crank.Position, r crankrecord.Evict) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	s, ok := s.makeRoom(r.Attempt)
	if !ok {
		return s, reject(p, crank.KindConflict, "the attempt is over or can't be stopped")
	}
	return s, accept(p)
}

// current returns the job of an attempt if it is its current one.
func (s State) current(id crank.AttemptID) (Job, bool) {
	j, ok := s.jobs.Get(id.Job)
	return j, ok && j.Attempt.Number == id.Number && j.Holds()
}

// activate files a job under the active ones.
func (s State) activate(j Job) State {
	j.State = JobPlaced
	s.jobs = s.jobs.Set(j.Job, j)
	s.active = s.active.Set(j.Position, j.Job)
	return s.count(j.Workspace, 0, j.Rules.Shape.Total().Accelerators)
}

// deactivate takes a job from the active ones.
func (s State) deactivate(j Job) State {
	s.active = s.active.Delete(j.Position)
	return s.count(j.Workspace, 0, -j.Rules.Shape.Total().Accelerators)
}

// load adds a part to its worker.
func (s State) load(part crank.Part, j Job) State {
	w, _ := s.workers.Get(part.Worker)
	w.Used = w.Used.Plus(j.Rules.Shape.PerTask.Times(part.Tasks))
	w.Attempts = append(slices.Clone(w.Attempts), j.ID())
	s.workers = s.workers.Set(w.ID, w)
	return s
}

// unload gives back what a part uses; the attempt stays listed at the worker
// until the part is over.
func (s State) unload(part crank.Part, j Job) State {
	w, ok := s.workers.Get(part.Worker)
	if !ok {
		return s
	}
	w.Used = w.Used.Minus(j.Rules.Shape.PerTask.Times(part.Tasks))
	s.workers = s.workers.Set(w.ID, w)
	return s
}

// leave takes an ended part off its worker.
func (s State) leave(part crank.Part, j Job) State {
	if !j.Attempt.Evicted {
		s = s.unload(part, j)
	}
	w, ok := s.workers.Get(part.Worker)
	if !ok {
		return s
	}
	id := j.ID()
	w.Attempts = slices.DeleteFunc(slices.Clone(w.Attempts), func(a crank.AttemptID) bool { return a == id })
	s.workers = s.workers.Set(w.ID, w)
	return s.dropWorker(w.ID)
}

// own gives an attempt a new owner and a new token.
func (s State) own(p crank.Position, r crankrecord.Own) (State, Verdict) {
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

func (s State) started(p crank.Position, r crankrecord.Started) (State, Verdict) {
	j, ok := s.current(r.Attempt)
	if !ok || j.Attempt.Token != r.Token || j.Attempt.Started {
		return s, reject(p, crank.KindConflict, "the attempt is not being started under this token")
	}
	j.Attempt.Started = true
	j.State = JobRunning
	if j.StartedAt.IsZero() {
		j.StartedAt = s.Horizon
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s, accept(p)
}

// void ends an attempt of which no part was started.
func (s State) void(p crank.Position, r crankrecord.Void) (State, Verdict) {
	j, ok := s.current(r.Attempt)
	if !ok || j.Attempt.Token != r.Token || j.Attempt.Started {
		return s, reject(p, crank.KindConflict, "the attempt is not being started under this token")
	}
	for i, part := range j.Attempt.Parts {
		if part.Over() {
			continue
		}
		part.State = crank.PartFenced
		s = s.leave(part.Part, j)
		j = j.WithPart(i, part)
	}
	j.Detail = r.Reason
	return s.avoid(r.Worker).close(j), accept(p)
}
