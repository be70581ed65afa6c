package crankgate

import (
	"context"
	"errors"
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
)

// Submit stores a job, which is accepted only if Submit returns nil. After an
// error of KindUnavailable, KindLimited, KindInvalid or KindTooLarge it never runs; after one
// of KindUnknown it may.
func (h *RequestHandler) Submit(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	attempts := 0
	err := h.whileHeld(ctx, r, func(r RoutedRequest) error {
		attempts++
		return h.submit(ctx, r, job)
	})
	took := time.Since(r.Arrived)
	h.Scope.Tagged(map[string]string{"result": resultOf(err)}).Timer("submit").Record(took)
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	h.Logger.Log(ctx, level, "gate: submission", "job", r.Job, "queue", r.Queue.Name, "workspace", r.Workspace, "config", r.Version,
		"result", resultOf(err), "attempts", attempts, "took", took.Round(time.Millisecond), "error", err)
	return err
}

// whileHeld repeats a call until it succeeds. A call that certainly had no effect is
// repeated until the hold policy refuses the request, one that may have had an effect
// until the caller's deadline, since it can't be refused truthfully any more.
func (h *RequestHandler) whileHeld(ctx context.Context, r RoutedRequest, call func(RoutedRequest) error) error {
	uncertain := false
	for {
		err := call(r)
		if refusal := (*Refusal)(nil); err == nil || (errors.As(err, &refusal) && refusal.Final) {
			return err
		}
		uncertain = uncertain || crank.KindOf(err) == crank.KindUnknown
		if !r.request.Hold || (!uncertain && crank.KindOf(err) != crank.KindUnavailable) {
			return err
		}
		if r, err = h.awaitRetry(ctx, r, err, uncertain); err != nil {
			return err
		}
	}
}

// awaitRetry waits for the next attempt at a call and routes its request again, since
// the configuration may have changed. The error is final.
func (h *RequestHandler) awaitRetry(ctx context.Context, r RoutedRequest, cause error, uncertain bool) (RoutedRequest, error) {
	for {
		next := hold.After(r.admission(), time.Now())
		if uncertain {
			next = hold.AfterUnknown(r.admission(), time.Now())
		}
		switch {
		case uncertain && (!next.Retry || ctx.Err() != nil):
			return r, &crank.Error{Op: "store", Kind: crank.KindUnknown, Cause: cause}
		case !next.Retry || ctx.Err() != nil:
			return r, &Refusal{Cause: cause, RetryAfter: next.RetryAfter}
		}
		crankfeed.Sleep(ctx, next.Delay)
		routed, err := h.route(ctx, r)
		switch {
		case err == nil:
			return routed, nil
		case crank.KindOf(err) == crank.KindUnavailable:
			cause = err
		case uncertain:
			return r, &crank.Error{Op: "store", Kind: crank.KindUnknown, Cause: err}
		default:
			return r, err
		}
	}
}

func (h *RequestHandler) submit(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	const op = "submit"
	job.ID, job.Queue, job.Workspace = r.Job, r.Queue.Name, r.Workspace
	job.Pool, job.Priority, job.Attempts = r.Queue.Pool, r.Queue.Priority, r.Queue.Attempts
	job.SlackFactor, job.TargetLatency, job.Accepted = r.Queue.SlackFactor, r.Queue.TargetLatency, r.Arrived.Round(0)
	if r.Job == "" {
		return crank.Fail(op, crank.KindInvalid, "the path names no job")
	}
	if _, known := h.Jobs.View().State.Job(r.Job); known {
		return nil
	}
	if r.Queue.NeedsAdvisor {
		return crank.Fail(op, crank.KindInvalid, "queues with an advisor are not supported")
	}
	if err := job.Validate(); err != nil {
		return err
	}
	record, err := crankjobs.SubmissionRecord(job)
	if err != nil {
		return err
	}
	if err := crankjobs.CheckSize(job, record, h.StoreLimits); err != nil {
		return err
	}
	if !h.Budget.Fits(h.Jobs.View().State, 0, job) {
		return h.refuseForMemory(ctx, r, job)
	}
	if len(h.Jobs.View().State.Withdrawals(job.ID)) > 0 {
		return h.resubmit(ctx, r, job)
	}
	return h.storeSubmission(ctx, r, job, record)
}

// refuseForMemory refuses a job for which the leader has no memory, unless an earlier
// attempt has stored it.
func (h *RequestHandler) refuseForMemory(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	if _, err := h.findJob(ctx, r); crank.KindOf(err) != crank.KindExpired {
		return err
	}
	return &Refusal{
		Cause:      crank.Fail("submit", crank.KindLimited, "accepted jobs leave no memory for it"),
		RetryAfter: h.Budget.RetryAfter(h.Jobs.View().State, job, time.Now()),
	}
}

// storeSubmission stores a job through the leader, which then starts it without
// reading it first, or else directly. The job topic keeps the first record of a job,
// so storing it on both ways does no harm.
func (h *RequestHandler) storeSubmission(ctx context.Context, r RoutedRequest, job crank.StepJob, record crank.KeyedRecord) error {
	callCtx, cancel := context.WithTimeout(ctx, min(leaderTimeout, time.Until(r.Deadline)))
	defer cancel()
	leaderErr := h.Leader.Submit(callCtx, job)
	if leaderErr == nil || crankfeed.RefusedForGood(leaderErr) {
		return leaderErr
	}
	switch crank.KindOf(leaderErr) {
	case crank.KindLimited:
		return h.refuseForMemory(ctx, r, job)
	case crank.KindConflict:
		return h.refuseWithdrawn(ctx, r)
	}
	h.Logger.Debug("gate: leader did not store a submission", "job", job.ID, "error", leaderErr)
	stored, err := h.append(ctx, r, record)
	if err == nil {
		return h.confirm(ctx, r, stored)
	}
	if crank.KindOf(leaderErr) == crank.KindUnknown && crank.KindOf(err) == crank.KindUnavailable {
		return &crank.Error{Op: "submit", Kind: crank.KindUnknown, Cause: err}
	}
	return err
}

func (h *RequestHandler) append(ctx context.Context, r RoutedRequest, records ...crank.KeyedRecord) (crank.OffsetRange, error) {
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	return h.Writer.Append(callCtx, records...)
}
