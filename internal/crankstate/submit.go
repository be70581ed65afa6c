package crankstate

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// submit adds a job to the queue. A request with a known idempotency key returns
// the existing job. One past its validity is rejected, because its key may have
// been pruned.
func (s State) submit(p crank.Position, at time.Time, r crank.Submission) (State, Verdict) {
	if _, ok := s.jobs.Get(r.Job); ok {
		return s, reject(p, crank.KindConflict, "the job identity is taken")
	}
	if known, ok := s.ByKey(r.Workspace, r.Key); ok && r.Key != "" {
		return s, duplicateVerdict(p, known, r)
	}
	if !r.ValidUntil.After(s.LogTime) {
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
		s.keys = s.keys.Set(compositeKey(r.Workspace, r.Key), r.Job)
	}
	verdict := accept(p)
	verdict.Job = r.Job
	return s, verdict
}

// duplicateVerdict returns the existing job, or rejects a reuse of the key for
// another request.
func duplicateVerdict(p crank.Position, known Job, r crank.Submission) Verdict {
	if known.Digest != r.Digest || !known.ValidUntil.Equal(r.ValidUntil) {
		return reject(p, crank.KindInvalid, "the idempotency key belongs to a different request")
	}
	verdict := accept(p)
	verdict.Job = known.Job
	verdict.Repeated = true
	return verdict
}

func (s State) enqueue(j Job) State {
	j.State = JobWaiting
	s.jobs = s.jobs.Set(j.Job, j)
	s.queue = s.queue.Set(j.Position, j.Job)
	return s.addUsage(j.Workspace, 1, 0)
}

func (s State) dequeue(j Job) State {
	s.queue = s.queue.Delete(j.Position)
	return s.addUsage(j.Workspace, -1, 0)
}

func (s State) addUsage(workspace string, waiting, accelerators int) State {
	u := s.Usage(workspace)
	u.Waiting += waiting
	u.Accelerators += accelerators
	s.usage = s.usage.Set(workspace, u)
	return s
}

// cancel ends a waiting job and stops an active one.
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

// refuse ends a waiting job for the planner's reason.
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

// endUnplaced ends a job that has no active attempt. Its outcome is not-run, or
// unknown if a part may have run.
func (s State) endUnplaced(j Job, reason string) State {
	outcome := crank.OutcomeNotRun
	if j.MayHaveRun {
		outcome = crank.OutcomeUnknown
	}
	return s.endJob(j, outcome, "", reason)
}

// endJob sets the outcome of a job and drops its payload.
func (s State) endJob(j Job, outcome crank.Outcome, result Result, detail string) State {
	j.State = JobEnded
	j.Outcome = outcome
	j.Result = result
	j.Detail = detail
	j.EndedAt = s.LogTime
	j.Payload = nil
	s.jobs = s.jobs.Set(j.Job, j)
	s.ended = s.ended.Set(j.Position, j.Job)
	return s.countBurn(j)
}
