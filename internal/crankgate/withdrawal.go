package crankgate

import (
	"context"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
)

// Timing and number of withdrawals.
const (
	// withdrawalDelay is the time from storing a withdrawal to its answer. Instances that
	// follow the job topic have read it by then, so that they accept the job if its caller
	// hands it in anew.
	withdrawalDelay = 700 * time.Millisecond
	// maxPendingWithdrawals at a time are not answered yet. All instances together store at
	// most so many times their number beyond crankjobs.MaxWithdrawals.
	maxPendingWithdrawals = 64
	withdrawnRetryAfter   = 1 * time.Second
)

// withdraw cancels a job that is not known: submissions that are still on their way must not
// run after the answer. An error of KindExpired means that the record is stored and that no
// such job was stored before it.
func (h *RequestHandler) withdraw(ctx context.Context, r RoutedRequest, record crank.KeyedRecord) error {
	const op = "withdraw"
	select {
	case h.withdrawing <- struct{}{}:
		defer func() { <-h.withdrawing }()
	default:
		return crank.Fail(op, crank.KindUnavailable, "too many cancellations of unknown jobs at a time")
	}
	if state := h.Jobs.View().State; state.WithdrawalCount() >= crankjobs.MaxWithdrawals {
		h.Scope.Counter("withdrawals_refused").Inc(1)
		return &Refusal{
			Cause:      crank.Fail(op, crank.KindLimited, "too many unknown jobs were cancelled"),
			RetryAfter: max(withdrawnRetryAfter, time.Until(state.OldestWithdrawal().Add(h.Budget.Retention))),
		}
	}
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	stored, err := h.Writer.Append(callCtx, record)
	if err != nil {
		return err
	}
	h.Scope.Counter("withdrawals").Inc(1)
	answer := time.Now().Add(withdrawalDelay)
	view, err := h.Jobs.Wait(callCtx, func(v crankjobs.View) bool { return v.End >= stored.End })
	if _, known := view.State.Job(r.Job); known || err != nil {
		return nil // it is cancelled, if it was stored meanwhile
	}
	crankfeed.Sleep(callCtx, time.Until(answer))
	return crank.Fail(op, crank.KindExpired, "no such job")
}

// resubmit stores a job that was withdrawn, if its caller is known to have sent it after all
// withdrawals were stored. The append succeeds only where the topic ends as this instance
// has read it, since another instance may store or withdraw the job at the same time.
func (h *RequestHandler) resubmit(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	const op = "resubmit"
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	for {
		view := h.Jobs.View()
		if _, known := view.State.Job(job.ID); known {
			return nil
		}
		for _, w := range view.State.Withdrawals(job.ID) {
			if w.Seen.After(r.request.SentAfter) {
				return h.refuseWithdrawn(ctx, r)
			}
			job.SentAfter = max(job.SentAfter, w.Offset+1)
		}
		record, err := crankjobs.SubmissionRecord(job)
		if err != nil {
			return err
		}
		a := crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: view.End, Records: append(view.State.RemovalRecords(job.ID), record)}
		if _, err = h.Store.Append(callCtx, a); crank.KindOf(err) != crank.KindConflict {
			return crank.Wrap(op, crank.KindUnknown, err)
		}
		if _, err := h.Jobs.Wait(callCtx, func(v crankjobs.View) bool { return v.End > view.End }); err != nil {
			return crank.Wrap(op, crank.KindUnavailable, err)
		}
	}
}

// refuseWithdrawn refuses a submission that may have been sent before its job was cancelled,
// unless the job was handed in anew meanwhile. It never runs, nor does an earlier attempt: in
// the state that shows the withdrawal no attempt is stored before it, and later ones don't
// count.
func (h *RequestHandler) refuseWithdrawn(ctx context.Context, r RoutedRequest) error {
	if _, err := h.findJob(ctx, r); crank.KindOf(err) != crank.KindExpired {
		return err
	}
	withdrawals := h.Jobs.View().State.Withdrawals(r.Job)
	if len(withdrawals) == 0 { // nothing is known of earlier attempts
		return crank.Fail("submit", crank.KindUnavailable, "the cancellation of the job was not read yet")
	}
	h.Scope.Counter("withdrawn_submissions").Inc(1)
	h.Logger.Info("gate: submission was cancelled on its way", "job", r.Job, "queue", r.Queue.Name, "workspace", r.Workspace,
		"known-to-be-sent", time.Since(r.request.SentAfter).Round(time.Millisecond), "withdrawals", len(withdrawals))
	return &Refusal{
		Cause:      crank.Fail("submit", crank.KindUnavailable, "the job was cancelled before it was stored"),
		RetryAfter: withdrawnRetryAfter, Final: true,
	}
}

// confirm checks that a job which this instance has stored counts: a withdrawal that it had
// not read may come before it.
func (h *RequestHandler) confirm(ctx context.Context, r RoutedRequest, stored crank.OffsetRange) error {
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	view, err := h.Jobs.Wait(callCtx, func(v crankjobs.View) bool { return v.End >= stored.End })
	if err != nil {
		return &crank.Error{Op: "submit", Kind: crank.KindUnknown, Cause: err}
	}
	if _, known := view.State.Job(r.Job); !known {
		return h.refuseWithdrawn(ctx, r)
	}
	return nil
}
