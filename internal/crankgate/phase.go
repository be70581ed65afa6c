package crankgate

import (
	"context"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
)

// Phase returns the state of a job. It waits up to maxEndWait for the end, since
// callers often ask just before the end is stored. An error of KindExpired means
// that the job does not exist, one of KindUnavailable that the job state is too old to
// tell that it has not ended.
func (h *RequestHandler) Phase(ctx context.Context, r RoutedRequest) (crank.Phase, error) {
	var phase crank.Phase
	j, err := h.findJob(ctx, r)
	if err == nil {
		phase, err = h.awaitEnd(ctx, j)
	}
	if err != nil {
		h.Logger.Info("gate: state request failed", "job", r.Job, "result", resultOf(err), "book-age", time.Since(h.Jobs.View().AsOf).Round(time.Millisecond), "error", err)
		return "", err
	}
	return phase, nil
}

// awaitEnd returns the phase of a job at its end or after maxEndWait, as the leader
// knows it or, if that can't be asked, as this instance reads it. That a job has not ended
// is told only by a recent state: an end may be stored that neither has read.
func (h *RequestHandler) awaitEnd(ctx context.Context, j crankjobs.RecordedJob) (crank.Phase, error) {
	if j.Ended() {
		return j.Phase(), nil
	}
	callCtx, cancel := context.WithTimeout(ctx, maxEndWait+leaderAnswerTime)
	defer cancel()
	phase, err := h.Leader.AwaitEnd(callCtx, j.Job.ID, maxEndWait)
	if phase.Final() {
		return phase, nil
	}
	ended := func(v crankjobs.View) bool {
		newest, ok := v.State.Job(j.Job.ID)
		return !ok || newest.Ended()
	}
	view := h.Jobs.View()
	if err != nil && callCtx.Err() == nil {
		// The newest view is the answer whether or not the job ended meanwhile.
		view, _ = h.Jobs.Wait(callCtx, ended)
	}
	if !ended(view) && !recent(view) {
		refreshCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		if view, err = h.Jobs.Wait(refreshCtx, recent); err != nil {
			return "", err
		}
	}
	if newest, ok := view.State.Job(j.Job.ID); ok {
		return newest.Phase(), nil
	}
	return j.Phase(), nil
}

// recent reports whether a state shows what has not happened yet.
func recent(v crankjobs.View) bool { return time.Since(v.AsOf) < maxStateAge }

// findJob returns the recorded state of a job. A job counts as unknown only in a
// state that was read after the request arrived.
func (h *RequestHandler) findJob(ctx context.Context, r RoutedRequest) (crankjobs.RecordedJob, error) {
	const op = "find job"
	if j, ok := h.Jobs.View().State.Job(r.Job); ok {
		return j, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	view, err := h.Jobs.Wait(callCtx, func(v crankjobs.View) bool {
		_, ok := v.State.Job(r.Job)
		return ok || v.AsOf.After(r.Arrived)
	})
	if err != nil {
		return crankjobs.RecordedJob{}, err
	}
	j, ok := view.State.Job(r.Job)
	if !ok {
		return j, crank.Fail(op, crank.KindExpired, "no such job")
	}
	return j, nil
}

// Pending returns how many accepted jobs of the queue have neither begun nor
// ended.
func (h *RequestHandler) Pending(r RoutedRequest) (int, error) {
	v := h.Jobs.View()
	if !recent(v) {
		return 0, crank.Fail("pending", crank.KindUnavailable, "the state is %s old", time.Since(v.AsOf).Round(time.Millisecond))
	}
	return v.State.Pending(r.Queue.Name), nil
}
