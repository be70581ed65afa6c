package crankfold

import (
	"slices"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// partEnded takes a worker's word on a part. A part that counted as lost may
// still report.
func (s State) partEnded(p crank.Position, r crankrecord.Ended) (State, Verdict) {
	j, ok := s.jobs.Get(r.Status.Attempt.Job)
	if !ok || j.Attempt.Number != r.Status.Attempt.Number || !r.Status.State.Ended() {
		return s, reject(p, crank.KindConflict, "the attempt is not the current one")
	}
	i := j.PartAt(r.Worker)
	if i < 0 || j.Attempt.Parts[i].State.Ended() {
		return s, reject(p, crank.KindConflict, "the part has ended already")
	}
	part := j.Attempt.Parts[i]
	wasLost := part.Lost
	part.State = r.Status.State
	j = j.WithPart(i, part)
	if i == 0 && part.State == crank.PartDone {
		j.Answer = Answer{Worker: r.Worker, Digest: r.Status.Digest, Size: r.Status.Size, Inline: r.Status.Inline}
	}
	if j.State == JobEnded || j.State == JobWaiting {
		return s.resolve(j), accept(p)
	}
	if r.Status.Detail != "" {
		j.Detail = r.Status.Detail
	}
	if j.StartedAt.IsZero() && part.State != crank.PartFenced {
		j.StartedAt = s.Horizon
	}
	if r.Culprit {
		s = s.avoid(r.Worker)
	}
	if !wasLost {
		s = s.leave(part.Part, j).noteWorker(r.Worker, j, part.State)
	}
	if part.State != crank.PartDone {
		j.Attempt.Stopping = true
	}
	s.jobs = s.jobs.Set(j.Job, j)
	if j.Attempt.over() {
		s = s.close(j)
	}
	return s, accept(p)
}

func (s State) noteWorker(id string, j Job, state crank.PartState) State {
	w, ok := s.workers.Get(id)
	if !ok {
		return s
	}
	switch state {
	case crank.PartDone:
		w = w.noteSuccess()
	case crank.PartFailed:
		w = w.noteFailure(j, s.Horizon)
	default:
		return s
	}
	s.workers = s.workers.Set(id, w)
	return s
}

// lost marks every part at a worker as lost, or lets a worker that was found
// again take new work.
func (s State) lost(p crank.Position, r crankrecord.Lost) (State, Verdict) {
	w, ok := s.workers.Get(r.Worker)
	if !ok || w.Addr != r.Addr {
		return s, reject(p, crank.KindConflict, "the worker is not the one that was lost")
	}
	w.Lost = !r.Found
	s.workers = s.workers.Set(w.ID, w)
	if r.Found {
		return s, accept(p)
	}
	for _, id := range w.Attempts {
		j, ok := s.current(id)
		if !ok {
			continue
		}
		i := j.PartAt(r.Worker)
		part := j.Attempt.Parts[i]
		part.Lost = true
		s = s.leave(part.Part, j)
		j = j.WithPart(i, part)
		j.Attempt.Stopping = true
		s.jobs = s.jobs.Set(j.Job, j)
		if j.Attempt.over() {
			s = s.close(j)
		}
	}
	return s, accept(p)
}

// close decides what follows from an attempt of which every part is over.
func (s State) close(j Job) State {
	s = s.deactivate(j)
	a := j.Attempt
	switch {
	case a.all(crank.PartDone):
		return s.noteRunTime(j).end(j, crank.OutcomeDone, ResultSucceeded, "")
	case a.all(crank.PartFenced):
		return s.again(j)
	}
	j.MayRun = true
	switch {
	case j.Cancelled && !a.lost():
		return s.end(j, crank.OutcomeDone, ResultCancelled, "cancelled after it started")
	case j.Cancelled:
		return s.end(j, crank.OutcomeUnknown, "", "cancelled while a worker was out of reach")
	case a.any(crank.PartFailed):
		return s.failed(j)
	case j.Rules.Idempotent || (j.Rules.Checkpointable && a.Evicted && !a.lost()):
		return s.again(j)
	}
	return s.end(j, crank.OutcomeUnknown, "", "the attempt ended without a whole answer")
}

// failed retries an idempotent job within its attempts.
func (s State) failed(j Job) State {
	j.Failed++
	j.FailedAt = j.failedAt()
	if j.Rules.Idempotent && j.Failed < j.Rules.Attempts {
		return s.again(j)
	}
	if j.Attempt.lost() {
		return s.end(j, crank.OutcomeUnknown, "", j.Detail)
	}
	return s.end(j, crank.OutcomeDone, ResultFailed, j.Detail)
}

// failedAt returns the workers where the job failed, with those of its current
// attempt.
func (j Job) failedAt() []string {
	list := slices.Clone(j.FailedAt)
	for _, p := range j.Attempt.Parts {
		if p.State == crank.PartFailed && !slices.Contains(list, p.Worker) {
			list = append(list, p.Worker)
		}
	}
	return list
}

// again puts the job back into the queue, or ends it when it was cancelled.
func (s State) again(j Job) State {
	if j.Cancelled {
		return s.endUnplaced(j, "cancelled")
	}
	return s.enqueue(j)
}

// resolve takes a late report of a lost part into a job that was answered
// with unknown, or that waits to run again.
func (s State) resolve(j Job) State {
	if j.State == JobWaiting && j.Attempt.all(crank.PartDone) {
		return s.dequeue(j).end(j, crank.OutcomeDone, ResultSucceeded, "")
	}
	if j.State == JobEnded && j.Outcome == crank.OutcomeUnknown && j.Attempt.all(crank.PartDone) {
		j.Outcome = crank.OutcomeDone
		j.Result = ResultSucceeded
		j.Detail = ""
		j.EndedAt = s.Horizon
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s
}
