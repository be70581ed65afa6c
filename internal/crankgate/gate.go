// Package crankgate serves callers' requests: it finds the queue of a request,
// checks the caller's key, appends submissions and cancellations to the job
// topic, and reports the state of jobs.
//
// Requests are answered from in-memory replicas of the operator topic and the
// job topic. When a replica is too old for a correct answer, the request is
// refused with KindUnavailable.
package crankgate

import (
	"context"
	"log/slog"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/crankoperator"

	"github.com/uber-go/tally/v4"
)

// Timing of requests.
const (
	// MaxConfigAge is the maximum age of the configuration for answering a
	// request: below the two seconds within which a version must take effect.
	MaxConfigAge     = 1700 * time.Millisecond
	maxStateAge      = 2500 * time.Millisecond // maximum age of the job state for readiness and for counts of waiting jobs
	refreshTimeout   = 900 * time.Millisecond  // longest wait for a newer state before a job counts as unknown
	maxEndWait       = 200 * time.Millisecond  // longest wait for the end of a job whose state is requested; several times what storing an end takes
	responseMargin   = 100 * time.Millisecond  // part of a caller's deadline reserved for sending the response
	leaderTimeout    = 800 * time.Millisecond  // of a submission through the leader
	leaderAnswerTime = 100 * time.Millisecond  // of a call that waits at the leader, beyond its wait
	defaultDeadline  = 10 * time.Second        // of a request without one
)

// Config holds the dependencies of a RequestHandler.
type Config struct {
	Operator *crankoperator.OperatorReplica
	Jobs     *crankjobs.JobReplica
	Writer   *crankfeed.Writer
	Leader   crank.Leader
	Logger   *slog.Logger
	Scope    tally.Scope
}

// RequestHandler serves callers' requests. It is safe for concurrent use.
type RequestHandler struct{ Config }

// New returns a request handler.
func New(c Config) *RequestHandler { return &RequestHandler{c} }

// Request is a caller's request.
type Request struct {
	Host, Path string
	Key        string        // API key, empty for none
	Deadline   time.Duration // how long the caller waits, 0 if unknown
}

// RoutedRequest is a request that Route accepted.
type RoutedRequest struct {
	Queue     crank.Queue
	Workspace string // empty if the queue is public and the key unknown
	Job       string // ID, empty for the queue itself
	Version   int64  // of the configuration that was used
	Arrived   time.Time
	Deadline  time.Time // for the response
}

// Limits returns the configured request limits.
func (h *RequestHandler) Limits() crank.RequestLimits { return h.Operator.View().Config.Limits }

// Ready reports whether the configuration and the job state are recent enough.
func (h *RequestHandler) Ready() bool {
	v := h.Operator.View()
	return v.Config.Version > 0 && time.Since(v.AsOf) < MaxConfigAge && time.Since(h.Jobs.View().AsOf) < maxStateAge
}

// Route finds the queue of a request and checks the caller's key. Errors are of
// KindNotFound when no queue matches, of KindDenied when the queue requires a key
// and the caller's is unknown, and of KindUnavailable when the configuration is
// not current.
func (h *RequestHandler) Route(req Request) (RoutedRequest, error) {
	const op = "route"
	now := time.Now()
	v := h.Operator.View()
	if v.Config.Version == 0 || now.Sub(v.AsOf) > MaxConfigAge {
		return RoutedRequest{}, h.refuse(req, crank.Fail(op, crank.KindUnavailable, "the configuration is not current"), v)
	}
	q, ok := v.Config.Match(req.Host, req.Path)
	if !ok {
		return RoutedRequest{}, h.refuse(req, crank.Fail(op, crank.KindNotFound, "no such queue"), v)
	}
	r := RoutedRequest{Queue: q, Version: v.Config.Version, Arrived: now, Job: strings.TrimPrefix(req.Path, q.Prefix)}
	r.Deadline = now.Add(defaultDeadline)
	if req.Deadline > 0 {
		r.Deadline = now.Add(max(req.Deadline-responseMargin, req.Deadline/2))
	}
	w, known := v.Config.WorkspaceByKey(req.Key)
	if !known && !q.Public {
		return RoutedRequest{}, h.refuse(req, crank.Fail(op, crank.KindDenied, "the key opens no workspace"), v)
	}
	r.Workspace = w.Name
	return r, nil
}

func (h *RequestHandler) refuse(req Request, err *crank.Error, v crankoperator.View) error {
	h.Scope.Tagged(map[string]string{"kind": string(err.Kind)}).Counter("requests_refused").Inc(1)
	h.Logger.Info("gate: request refused", "path", req.Path, "host", req.Host, "kind", err.Kind, "why", err.Message(),
		"config", v.Config.Version, "config-age", time.Since(v.AsOf).Round(time.Millisecond))
	return err
}

// Submit stores a job, which is accepted only if Submit returns nil. After an
// error of KindUnavailable or KindInvalid it never runs; after one of
// KindUnknown it may.
func (h *RequestHandler) Submit(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	job.ID, job.Queue, job.Workspace = r.Job, r.Queue.Name, r.Workspace
	job.Pool, job.Priority, job.Attempts = r.Queue.Pool, r.Queue.Priority, r.Queue.Attempts
	job.SlackFactor, job.TargetLatency, job.Accepted = r.Queue.SlackFactor, r.Queue.TargetLatency, r.Arrived.Round(0)
	err := h.submit(ctx, r, job)
	took := time.Since(r.Arrived)
	h.Scope.Tagged(map[string]string{"result": resultOf(err)}).Timer("submit").Record(took)
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	h.Logger.Log(ctx, level, "gate: submission", "job", r.Job, "queue", r.Queue.Name, "workspace", r.Workspace, "config", r.Version,
		"result", resultOf(err), "took", took.Round(time.Millisecond), "error", err)
	return err
}

func (h *RequestHandler) submit(ctx context.Context, r RoutedRequest, job crank.StepJob) error {
	const op = "submit"
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
	return h.storeSubmission(ctx, r, job, record)
}

// storeSubmission stores a job through the leader, which then starts it without
// reading it first, or else directly. The job topic keeps the first record of a job,
// so storing it on both ways does no harm.
func (h *RequestHandler) storeSubmission(ctx context.Context, r RoutedRequest, job crank.StepJob, record crank.KeyedRecord) error {
	callCtx, cancel := context.WithTimeout(ctx, min(leaderTimeout, time.Until(r.Deadline)))
	defer cancel()
	leaderErr := h.Leader.Submit(callCtx, job)
	if leaderErr == nil || crank.KindOf(leaderErr) == crank.KindInvalid {
		return leaderErr
	}
	h.Logger.Info("gate: leader did not store a submission", "job", job.ID, "error", leaderErr)
	err := h.append(ctx, r, record)
	if crank.KindOf(leaderErr) == crank.KindUnknown && crank.KindOf(err) == crank.KindUnavailable {
		return &crank.Error{Op: "submit", Kind: crank.KindUnknown, Cause: err}
	}
	return err
}

func (h *RequestHandler) append(ctx context.Context, r RoutedRequest, record crank.KeyedRecord) error {
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	_, err := h.Writer.Append(callCtx, record)
	return err
}

// Cancel cancels a job. An error of KindExpired means that it does not exist.
func (h *RequestHandler) Cancel(ctx context.Context, r RoutedRequest) error {
	j, err := h.findJob(ctx, r)
	if err == nil && !j.Ended() {
		err = h.append(ctx, r, crankjobs.CancellationRecord(r.Job))
	}
	h.Logger.Info("gate: cancellation", "job", r.Job, "phase", j.Phase(), "result", resultOf(err), "took", time.Since(r.Arrived).Round(time.Millisecond), "error", err)
	return err
}

// Phase returns the state of a job. It waits up to maxEndWait for the end, since
// callers often ask just before the end is stored. An error of KindExpired means
// that the job does not exist.
func (h *RequestHandler) Phase(ctx context.Context, r RoutedRequest) (crank.Phase, error) {
	j, err := h.findJob(ctx, r)
	if err != nil {
		h.Logger.Info("gate: state request failed", "job", r.Job, "result", resultOf(err), "book-age", time.Since(h.Jobs.View().AsOf).Round(time.Millisecond), "error", err)
		return "", err
	}
	return h.awaitEnd(ctx, j), nil
}

// awaitEnd returns the phase of a job at its end or after maxEndWait, as the leader
// knows it or, if that can't be asked, as this instance reads it.
func (h *RequestHandler) awaitEnd(ctx context.Context, j crankjobs.RecordedJob) crank.Phase {
	if j.Ended() {
		return j.Phase()
	}
	callCtx, cancel := context.WithTimeout(ctx, maxEndWait+leaderAnswerTime)
	defer cancel()
	phase, err := h.Leader.AwaitEnd(callCtx, j.Job.ID, maxEndWait)
	if phase.Final() {
		return phase
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
	if newest, ok := view.State.Job(j.Job.ID); ok {
		return newest.Phase()
	}
	return j.Phase()
}

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
	if age := time.Since(v.AsOf); age > maxStateAge {
		return 0, crank.Fail("pending", crank.KindUnavailable, "the state is %s old", age.Round(time.Millisecond))
	}
	return v.State.Pending(r.Queue.Name), nil
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(crank.KindOf(err))
}
