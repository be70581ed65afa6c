package crankstate

import (
	"slices"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// partEnded records how a part ended. A lost part, or one of an attempt that is no
// longer active, may still report.
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
		return s.applyLateReport(j), accept(p)
	}
	if r.Status.Detail != "" {
		j.Detail = r.Status.Detail
	}
	if j.StartedAt.IsZero() && part.State != crank.PartFenced {
		j.StartedAt = s.LogTime
	}
	if r.CausedStartFailure {
		s = s.backOffWorker(r.Worker)
	}
	if !wasLost {
		s = s.removePart(part.Part, j).updateWorkerHealth(r.Worker, j, part.State)
	}
	if part.State != crank.PartDone {
		j.Attempt.Stopping = true
	}
	s.jobs = s.jobs.Set(j.Job, j)
	if j.Attempt.allEndedOrLost() {
		s = s.closeAttempt(j)
	}
	return s, accept(p)
}

func (s State) updateWorkerHealth(id string, j Job, state crank.PartState) State {
	w, ok := s.workers.Get(id)
	if !ok {
		return s
	}
	switch state {
	case crank.PartDone:
		w = w.withSuccess()
	case crank.PartFailed:
		w = w.withFailure(j, s.LogTime)
	default:
		return s
	}
	s.workers = s.workers.Set(id, w)
	return s
}

// markLost marks a worker and all its parts as lost, or clears the mark of a
// worker that answers again.
func (s State) markLost(p crank.Position, r crankrecord.Lost) (State, Verdict) {
	w, ok := s.workers.Get(r.Worker)
	if !ok || w.Addr != r.Addr {
		return s, reject(p, crank.KindConflict, "the worker is not the one that was lost")
	}
	w.Lost = !r.Recovered
	s.workers = s.workers.Set(w.ID, w)
	if r.Recovered {
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
		s = s.removePart(part.Part, j)
		j = j.WithPart(i, part)
		j.Attempt.Stopping = true
		s.jobs = s.jobs.Set(j.Job, j)
		if j.Attempt.allEndedOrLost() {
			s = s.closeAttempt(j)
		}
	}
	return s, accept(p)
}

// closeAttempt ends or requeues a job when all parts of its attempt have ended or
// are lost.
func (s State) closeAttempt(j Job) State {
	s = s.deactivate(j)
	a := j.Attempt
	switch {
	case a.allIn(crank.PartDone):
		return s.updateCorrection(j).endJob(j, crank.OutcomeDone, ResultSucceeded, "")
	case a.allIn(crank.PartFenced):
		return s.requeue(j)
	}
	j.MayHaveRun = true
	switch {
	case j.Cancelled && !a.hasLostPart():
		return s.endJob(j, crank.OutcomeDone, ResultCancelled, "cancelled after it started")
	case j.Cancelled:
		return s.endJob(j, crank.OutcomeUnknown, "", "cancelled while a worker was out of reach")
	case a.anyIn(crank.PartFailed):
		return s.retryOrFail(j)
	case j.Rules.Idempotent || (j.Rules.Checkpointable && a.Evicted && !a.hasLostPart()):
		return s.requeue(j)
	}
	return s.endJob(j, crank.OutcomeUnknown, "", "the attempt ended without a whole answer")
}

// retryOrFail requeues an idempotent job that has attempts left and ends others.
func (s State) retryOrFail(j Job) State {
	j.FailedAttempts++
	j.FailedWorkers = j.failedWorkers()
	if j.Rules.Idempotent && j.FailedAttempts < j.Rules.Attempts {
		return s.requeue(j)
	}
	if j.Attempt.hasLostPart() {
		return s.endJob(j, crank.OutcomeUnknown, "", j.Detail)
	}
	return s.endJob(j, crank.OutcomeDone, ResultFailed, j.Detail)
}

// failedWorkers returns FailedWorkers and those of the current attempt.
func (j Job) failedWorkers() []string {
	list := slices.Clone(j.FailedWorkers)
	for _, p := range j.Attempt.Parts {
		if p.State == crank.PartFailed && !slices.Contains(list, p.Worker) {
			list = append(list, p.Worker)
		}
	}
	return list
}

// requeue puts a job back into the queue, or ends it if it was cancelled.
func (s State) requeue(j Job) State {
	if j.Cancelled {
		return s.endUnplaced(j, "cancelled")
	}
	return s.enqueue(j)
}

// applyLateReport takes a report on a job that has ended or was requeued. If all
// parts are done after all, a waiting job, or one that ended as unknown, succeeds.
func (s State) applyLateReport(j Job) State {
	if j.State == JobWaiting && j.Attempt.allIn(crank.PartDone) {
		return s.dequeue(j).endJob(j, crank.OutcomeDone, ResultSucceeded, "")
	}
	if j.State == JobEnded && j.Outcome == crank.OutcomeUnknown && j.Attempt.allIn(crank.PartDone) {
		j.Outcome = crank.OutcomeDone
		j.Result = ResultSucceeded
		j.Detail = ""
		j.EndedAt = s.LogTime
	}
	s.jobs = s.jobs.Set(j.Job, j)
	return s
}
