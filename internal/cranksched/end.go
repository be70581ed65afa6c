package cranksched

import (
	"context"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
)

// phaseOf maps the outcomes that the planner records to phases.
var phaseOf = map[crankjobs.Outcome]crank.Phase{
	crankjobs.OutcomeCompleted: crank.PhaseCompleted,
	crankjobs.OutcomeFailed:    crank.PhaseFailed,
	crankjobs.OutcomeCancelled: crank.PhaseCancelled,
}

// AwaitEnd implements crank.Leader.
func (s *Scheduler) AwaitEnd(ctx context.Context, job string, wait time.Duration) (crank.Phase, error) {
	ended := make(chan crank.Phase, 1)
	if err := s.call(ctx, "leader await", func() { s.addEndWaiter(job, ended) }); err != nil {
		return "", err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case phase := <-ended:
		return phase, nil
	case <-timer.C:
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	s.post(func() { s.removeEndWaiter(job, ended) })
	return crank.PhaseRunning, nil
}

// addEndWaiter sends the phase of a job to the channel, which has a buffer, once its
// end is stored.
func (s *Scheduler) addEndWaiter(job string, ended chan crank.Phase) {
	if phase, ok := s.endPhases[job]; ok {
		ended <- phase
		return
	}
	if e, ok := s.Jobs.View().State.Job(job); ok && e.Ended() {
		ended <- e.Phase()
		return
	}
	s.endWaiters[job] = append(s.endWaiters[job], ended)
}

func (s *Scheduler) removeEndWaiter(job string, ended chan crank.Phase) {
	var rest []chan crank.Phase
	for _, w := range s.endWaiters[job] {
		if w != ended {
			rest = append(rest, w)
		}
	}
	if s.endWaiters[job] = rest; len(rest) == 0 {
		delete(s.endWaiters, job)
	}
}

// publishEnd tells the waiting callers that the end of a job is stored.
func (s *Scheduler) publishEnd(job string, phase crank.Phase) {
	s.endPhases[job] = phase
	for _, w := range s.endWaiters[job] {
		w <- phase
	}
	delete(s.endWaiters, job)
}

// publishStoredEnd publishes the outcome in a stored record of a job, if it has one,
// unless records before the batch were not read yet: a cancellation among them would
// come first. Then syncJobs publishes the end once the topic is read that far.
func (s *Scheduler) publishStoredEnd(j *job, outcome crankjobs.Outcome, stored crank.OffsetRange) {
	if !s.extendKnown(stored) || outcome == crankjobs.OutcomeNone {
		return
	}
	if e, read := s.Jobs.View().State.Job(j.spec.ID); !read || !e.Cancelled() {
		s.publishEnd(j.spec.ID, phaseOf[outcome])
	}
}

// extendKnown adds an own batch to the records of the job topic that are known, and
// reports whether all records before the batch are.
func (s *Scheduler) extendKnown(stored crank.OffsetRange) bool {
	s.knownEnd = max(s.knownEnd, s.Jobs.View().End)
	if stored.First > s.knownEnd {
		return false
	}
	s.knownEnd = max(s.knownEnd, stored.End)
	return true
}

// recordCancelled replaces the recorded end of jobs that were cancelled before it. Of
// several cancellations the store keeps the newest, so that instances which load the
// topic later can't tell that the first one came before the end.
func (s *Scheduler) recordCancelled(jobs []crankjobs.RecordedJob) {
	var groups [][]crank.KeyedRecord
	for _, e := range jobs {
		p := e.Progress
		p.Term, p.Outcome, p.Reason = s.Term, crankjobs.OutcomeCancelled, ""
		r, err := crankjobs.FittingProgressRecord(e.Job, p, s.StoreLimits)
		if err != nil {
			s.Logger.Error("sched: progress not encoded", "job", e.Job.ID, "error", err)
			continue
		}
		groups = append(groups, []crank.KeyedRecord{r})
		s.Logger.Info("sched: job was cancelled before its end was recorded", "job", e.Job.ID, "outcome", e.Progress.Outcome)
	}
	go func() {
		for len(groups) > 0 && s.ctx.Err() == nil {
			var failed [][]crank.KeyedRecord
			for i, r := range s.writer.AppendGroups(s.ctx, groups...) {
				if r.Err != nil && !crankfeed.RefusedForGood(r.Err) {
					failed = append(failed, groups[i])
				}
			}
			if groups = failed; len(groups) > 0 {
				crankfeed.Sleep(s.ctx, writeRetry)
			}
		}
	}()
}
