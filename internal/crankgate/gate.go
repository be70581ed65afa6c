// Package crankgate serves callers' requests: it finds the queue of a request,
// checks the caller's key, appends submissions and cancellations to the job
// topic, and reports the state of jobs.
//
// Requests are answered from in-memory copies of the operator topic and the job
// topic. When a copy is too old for a correct answer, the request is refused
// with KindUnavailable.
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
	// request. It is below the two seconds within which a published version must
	// take effect.
	MaxConfigAge    = 1700 * time.Millisecond
	maxStateAge     = 2500 * time.Millisecond // maximum age of the job state for readiness and for counting waiting jobs
	refreshTimeout  = 900 * time.Millisecond  // longest wait for a newer state in which to look for an unknown job
	maxEndWait      = 200 * time.Millisecond  // longest wait for the end of a job whose state is requested; several times what storing an end takes
	responseMargin  = 100 * time.Millisecond  // part of a caller's deadline that is reserved for sending the response
	defaultDeadline = 10 * time.Second        // of a request without one
)

// Config holds what requests are served from.
type Config struct {
	Operator *crankoperator.OperatorReplica
	Jobs     *crankjobs.JobReplica
	Writer   *crankfeed.Writer
	Logger   *slog.Logger
	Scope    tally.Scope
}

// RequestHandler serves callers' requests. It is safe for concurrent use.
type RequestHandler struct{ Config }

// New returns a handler of requests.
func New(c Config) *RequestHandler { return &RequestHandler{c} }

// Request is the host, path, key and deadline of a request.
type Request struct {
	Host, Path string
	Key        string        // API key of the caller, empty for none
	Deadline   time.Duration // how long the caller waits, 0 if unknown
}

// RoutedRequest is a request whose queue was found and whose key was accepted.
type RoutedRequest struct {
	Queue     crank.Queue
	Workspace string
	Job       string // ID, empty for the queue itself
	Version   int64  // of the configuration that was used
	Arrived   time.Time
	Deadline  time.Time // for the response
}

// Limits returns the configured limits of requests.
func (h *RequestHandler) Limits() crank.RequestLimits { return h.Operator.View().Config.Limits }

// Ready reports whether the configuration and the job state are recent enough
// to answer requests.
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

// Submit stores a job. The job is accepted only if Submit returns nil. After an
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
	return h.append(ctx, r, record)
}

func (h *RequestHandler) append(ctx context.Context, r RoutedRequest, record crank.KeyedRecord) error {
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	_, err := h.Writer.Append(callCtx, record)
	return err
}

// Cancel cancels a job. An error of KindExpired means that there is no such
// job.
func (h *RequestHandler) Cancel(ctx context.Context, r RoutedRequest) error {
	e, err := h.findJob(ctx, r)
	if err == nil && !e.Ended() {
		err = h.append(ctx, r, crankjobs.CancellationRecord(r.Job))
	}
	h.Logger.Info("gate: cancellation", "job", r.Job, "phase", e.Phase(), "result", resultOf(err), "took", time.Since(r.Arrived).Round(time.Millisecond), "error", err)
	return err
}

// Phase returns the state of a job. It waits up to maxEndWait for the end of a
// job that has not ended, since callers often ask just before the end is stored.
// An error of KindExpired means that there is no such job.
func (h *RequestHandler) Phase(ctx context.Context, r RoutedRequest) (crankjobs.Phase, error) {
	e, err := h.findJob(ctx, r)
	if err != nil {
		h.Logger.Info("gate: state request failed", "job", r.Job, "result", resultOf(err), "book-age", time.Since(h.Jobs.View().AsOf).Round(time.Millisecond), "error", err)
		return "", err
	}
	return h.awaitEnd(ctx, e).Phase(), nil
}

// awaitEnd returns the newest state of a job once it has ended, or after
// maxEndWait.
func (h *RequestHandler) awaitEnd(ctx context.Context, e crankjobs.RecordedJob) crankjobs.RecordedJob {
	callCtx, cancel := context.WithTimeout(ctx, maxEndWait)
	defer cancel()
	view, _ := h.Jobs.Wait(callCtx, func(v crankjobs.View) bool {
		newest, ok := v.State.Job(e.Job.ID)
		return !ok || newest.Ended()
	})
	if newest, ok := view.State.Job(e.Job.ID); ok {
		return newest
	}
	return e
}

// findJob returns the recorded state of a job. It reports a job as missing only
// from a state that was read after the request arrived.
func (h *RequestHandler) findJob(ctx context.Context, r RoutedRequest) (crankjobs.RecordedJob, error) {
	const op = "find job"
	if e, ok := h.Jobs.View().State.Job(r.Job); ok {
		return e, nil
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
	e, ok := view.State.Job(r.Job)
	if !ok {
		return e, crank.Fail(op, crank.KindExpired, "no such job")
	}
	return e, nil
}

// Pending returns how many of the queue's accepted jobs have not begun.
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
