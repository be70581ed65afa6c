package crankfold

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// submit judges a request. A request whose identity is known is answered with
// the job it already has; one past its own end of validity is refused, since
// its identity may have been forgotten.
func (s State) submit(p crank.Position, at time.Time, r crank.Submission) (State, Verdict) {
	if _, ok := s.jobs.Get(r.Job); ok {
		return s, reject(p, crank.KindConflict, "the job identity is taken")
	}
	if known, ok := s.ByKey(r.Workspace, r.Key); ok && r.Key != "" {
		return s, repeated(p, known, r)
	}
	if !r.ValidUntil.After(s.Horizon) {
		return s, reject(p, crank.KindExpired, "the request's validity has ended; an earlier sending of it may have been run")
	}
	profile, ok := s.Config.Profile(r.Profile)
	if !ok {
		return s, reject(p, crank.KindInvalid, "profile "+r.Profile+" does not exist")
	}
	workspace, ok := s.Config.Workspace(r.Workspace)
	if !ok {
		return s, reject(p, crank.KindInvalid, "workspace "+r.Workspace+" does not exist")
	}
	usage := s.Usage(r.Workspace)
	if usage.Waiting >= workspace.MaxWaiting {
		return s, reject(p, crank.KindLimited, "workspace "+r.Workspace+" has too many waiting jobs")
	}
	j := Job{Submission: r, Position: p, SubmittedAt: at, Rules: profile, Outcome: crank.OutcomePending}
	s = s.enqueue(j)
	if r.Key != "" {
		s.keys = s.keys.Set(identity(r.Workspace, r.Key), r.Job)
	}
	verdict := accept(p)
	verdict.Job = r.Job
	return s, verdict
}

func repeated(p crank.Position, known Job, r crank.Submission) Verdict {
	if known.Digest != r.Digest || !known.ValidUntil.Equal(r.ValidUntil) {
		return reject(p, crank.KindInvalid, "the idempotency key belongs to a different request")
	}
	verdict := accept(p)
	verdict.Job = known.Job
	verdict.Repeated = true
	return verdict
}

// enqueue puts a job into the queue.
func (s State) enqueue(j Job) State {
	j.State = JobWaiting
	s.jobs = s.jobs.Set(j.Job, j)
	s.queue = s.queue.Set(j.Position, j.Job)
	return s.count(j.Workspace, 1, 0)
}

// dequeue takes a waiting job out of the queue.
func (s State) dequeue(j Job) State {
	s.queue = s.queue.Delete(j.Position)
	return s.count(j.Workspace, -1, 0)
}

func (s State) count(workspace string, waiting, accelerators int) State {
	u := s.Usage(workspace)
	u.Waiting += waiting
	u.Accelerators += accelerators
	s.usage = s.usage.Set(workspace, u)
	return s
}

// cancel ends a waiting job and stops a running one.
func (s State) cancel(p crank.Position, r crankrecord.Cancel) (State, Verdict) {
	j, ok := s.jobs.Get(r.Job)
	if !ok {
		return s, reject(p, crank.KindNotFound, "the job does not exist")
	}
	switch j.State {
	case JobEnded:
		return s, accept(p)
	case JobWaiting:
		j.Cancelled = true
		return s.dequeue(j).endUnplaced(j, "cancelled"), accept(p)
	}
	j.Cancelled = true
	j.Attempt.Stopping = true
	s.jobs = s.jobs.Set(j.Job, j)
	return s, accept(p)
}

// refuse ends a waiting job for a reason that the planner found.
func (s State) refuse(p crank.Position, r crankrecord.Refuse) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	j, ok := s.jobs.Get(r.Job)
	if !ok || j.State != JobWaiting {
		return s, reject(p, crank.KindConflict, "the job is not waiting")
	}
	return s.dequeue(j).endUnplaced(j, r.Reason), accept(p)
}

// endUnplaced ends a job that holds no worker. It is not run only if no part
// of it can have run.
func (s State) endUnplaced(j Job, reason string) State {
	outcome := crank.OutcomeNotRun
	if j.MayRun {
		outcome = crank.OutcomeUnknown
	}
	return s.end(j, outcome, "", reason)
}

// end gives a job its outcome and drops its payload.
func (s State) end(j Job, outcome crank.Outcome, result Result, detail string) State {
	j.State = JobEnded
	j.Outcome = outcome
	j.Result = result
	j.Detail = detail
	j.EndedAt = s.Horizon
	j.Payload = nil
	s.jobs = s.jobs.Set(j.Job, j)
	s.ended = s.ended.Set(j.Position, j.Job)
	return s.noteBurn(j)
}
