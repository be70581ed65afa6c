package cranksched

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
)

// submissionQueueTime is how long a submission may wait for the batches before it where
// planning is adaptive. Instances wait 800 ms for the leader: with a queue time of 1 s they
// took a submission that was never sent for one that may have been stored.
const submissionQueueTime = 500 * time.Millisecond

// submission is a job that is being stored with its claim.
type submission struct {
	done chan struct{} // closed when err is set
	err  error

	written  chan struct{} // closed when writeErr is set
	writeErr error         // of the append
}

// unreadJob is a job whose records are being stored or were not read yet.
type unreadJob struct {
	bytes int64        // of memory
	end   crank.Offset // of its records, math.MaxInt64 until they are stored
}

// Submit implements crank.Leader. The job and its claim are one append, after which
// its tasks start without another call to the store.
func (s *Scheduler) Submit(ctx context.Context, spec crank.StepJob) error {
	const op = "leader submit"
	admitted := make(chan *submission, 1)
	if err := s.call(ctx, op, func() { admitted <- s.admit(spec) }); err != nil {
		return err
	}
	sub := <-admitted
	select {
	case <-sub.done:
		return sub.err
	case <-s.endedTerm():
		return s.submitAtEnd(ctx, sub)
	case <-ctx.Done():
		return crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
}

// endedTerm returns a channel that is closed at the end of the term where planning is adaptive.
func (s *Scheduler) endedTerm() <-chan struct{} {
	if !s.Planning.Adaptive {
		return nil
	}
	return s.ctx.Done()
}

// submitAtEnd returns the result of a submission after the end of the term, when nobody handles
// the result of its append any more. What was not sent by then is never stored.
func (s *Scheduler) submitAtEnd(ctx context.Context, sub *submission) error {
	const op = "leader submit"
	select {
	case <-sub.done:
		return sub.err
	case <-sub.written:
		if crank.KindOf(sub.writeErr) == crank.KindUnavailable {
			return crank.Wrap(op, crank.KindUnavailable, sub.writeErr)
		}
		return crank.Wrap(op, crank.KindUnknown, s.ctx.Err())
	case <-ctx.Done():
		return crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
}

// call runs f on the goroutine that owns the state. It fails with KindUnavailable,
// without having run f, before the term is taken over and after its end.
func (s *Scheduler) call(ctx context.Context, op string, f func()) error {
	select {
	case <-s.tookOver:
	default:
		return crank.Fail(op, crank.KindUnavailable, "the term is not taken over yet")
	}
	ran := make(chan struct{})
	var taken atomic.Bool // by the planner, or back by the caller
	run := func() {
		if !taken.CompareAndSwap(false, true) {
			return
		}
		f()
		close(ran)
	}
	select {
	case s.inbox <- run:
	case <-s.ctx.Done():
		return crank.Wrap(op, crank.KindUnavailable, s.ctx.Err())
	case <-ctx.Done():
		return crank.Wrap(op, crank.KindUnavailable, ctx.Err())
	}
	var ended error
	select {
	case <-ran:
		return nil
	case <-s.ctx.Done():
		ended = s.ctx.Err()
	case <-ctx.Done():
		ended = ctx.Err()
	}
	if s.Planning.Adaptive && taken.CompareAndSwap(false, true) {
		return crank.Wrap(op, crank.KindUnavailable, ended)
	}
	return crank.Wrap(op, crank.KindUnknown, ended)
}

// admit starts to store a job unless it is known or being stored already. The claim
// replaces the job's progress record, so a job with progress must be known here: this
// term writes all progress, and that of earlier terms was loaded at the takeover.
func (s *Scheduler) admit(spec crank.StepJob) *submission {
	if sub := s.submitting[spec.ID]; sub != nil {
		return sub
	}
	sub := &submission{done: make(chan struct{}), written: make(chan struct{})}
	_, recorded := s.Jobs.View().State.Job(spec.ID)
	if s.jobs[spec.ID] != nil || s.dropped[spec.ID] || recorded {
		close(sub.done)
		return sub
	}
	if s.Jobs.View().State.Withdraws(spec, math.MaxInt64) {
		sub.err = errWithdrawn()
		close(sub.done)
		return sub
	}
	if err := s.reserve(spec); err != nil {
		sub.err = err
		close(sub.done)
		return sub
	}
	claim := newClaim(s.Term, spec)
	records, err := submissionRecords(spec, claim)
	if err != nil {
		delete(s.unread, spec.ID)
		sub.err = err
		close(sub.done)
		return sub
	}
	s.submitting[spec.ID] = sub
	begun := time.Now()
	go func() {
		stored, err := s.writer.AppendWithin(s.ctx, submissionQueueTime, records...)
		sub.writeErr = err
		close(sub.written)
		s.post(func() {
			s.Scope.Timer("submission_write").Record(time.Since(begun))
			s.handleSubmissionResult(spec, claim, sub, stored, err)
		})
	}()
	return sub
}

// reserve sets memory aside for a new job. Its error is of KindLimited.
func (s *Scheduler) reserve(spec crank.StepJob) error {
	view := s.Jobs.View()
	state, unread := view.State, int64(0)
	for id, u := range s.unread {
		if u.end <= view.End {
			delete(s.unread, id)
			continue
		}
		unread += u.bytes
	}
	if !s.Budget.Fits(state, unread, spec) {
		s.Logger.Warn("sched: submission refused for lack of memory", "job", spec.ID, "need", s.Budget.Need(spec), "reserved", state.Reserved()+unread, "budget", s.Budget.Bytes)
		return crank.Fail("leader submit", crank.KindLimited, "accepted jobs leave no memory for it")
	}
	s.unread[spec.ID] = unreadJob{bytes: s.Budget.Need(spec), end: math.MaxInt64}
	return nil
}

// newClaim returns the claim that is stored with a job. An urgent job is placed at once,
// so its claim allows all starts; those of other jobs are stored one by one.
func newClaim(term int64, spec crank.StepJob) crankjobs.Progress {
	return crankjobs.Progress{Term: term, Claimed: true, Tracked: spec.Priority != 0}
}

func submissionRecords(spec crank.StepJob, claim crankjobs.Progress) ([]crank.KeyedRecord, error) {
	submitted, err := crankjobs.SubmissionRecord(spec)
	if err != nil {
		return nil, err
	}
	claimed, err := crankjobs.ProgressRecord(spec.ID, claim)
	return []crank.KeyedRecord{submitted, claimed}, err
}

// errWithdrawn is the error of a submission whose job was cancelled before it was stored.
func errWithdrawn() error {
	return crank.Fail("leader submit", crank.KindConflict, "the job was cancelled before it was stored")
}

// handleSubmissionResult adds a stored job, once all records before it were read: a
// withdrawal among them would come first.
func (s *Scheduler) handleSubmissionResult(spec crank.StepJob, claim crankjobs.Progress, sub *submission, stored crank.OffsetRange, err error) {
	if crank.KindOf(err) == crank.KindFenced {
		s.Leadership.Resign("the store has seen a higher epoch")
		err = crank.Fail("leader submit", crank.KindUnavailable, "another instance holds the term")
	}
	if err != nil {
		s.Logger.Warn("sched: submission not stored", "job", spec.ID, "error", err)
		s.endSubmission(spec, sub, err)
		return
	}
	s.unread[spec.ID] = unreadJob{bytes: s.Budget.Need(spec), end: stored.End}
	if s.extendKnown(stored) {
		s.addSubmitted(spec, claim, sub, stored)
		return
	}
	go func() {
		if _, err := s.Jobs.Wait(s.ctx, func(v crankjobs.View) bool { return v.End >= stored.First }); err == nil {
			s.post(func() { s.addSubmitted(spec, claim, sub, stored) })
		}
	}()
}

// endSubmission answers the callers of a submission. Nothing is stored if it fails.
func (s *Scheduler) endSubmission(spec crank.StepJob, sub *submission, err error) {
	delete(s.submitting, spec.ID)
	if err != nil {
		delete(s.unread, spec.ID)
	}
	sub.err = err
	close(sub.done)
}

// addSubmitted adds a stored job unless it was withdrawn before. It may have been read, and
// even have ended, before the answer to the append arrived.
func (s *Scheduler) addSubmitted(spec crank.StepJob, claim crankjobs.Progress, sub *submission, stored crank.OffsetRange) {
	view := s.Jobs.View()
	if view.State.Withdraws(spec, stored.First) {
		s.Logger.Info("sched: submission was cancelled before it was stored", "job", spec.ID)
		s.endSubmission(spec, sub, errWithdrawn())
		return
	}
	s.endSubmission(spec, sub, nil)
	if j := s.jobs[spec.ID]; j != nil {
		j.claimed = true
		return
	}
	if e, ok := view.State.Job(spec.ID); s.dropped[spec.ID] || (ok && e.Ended()) {
		return
	}
	s.addJob(crankjobs.RecordedJob{Job: spec, Submitted: true, Progress: claim}, false)
	s.changed = true
}
