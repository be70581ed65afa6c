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
	"cranberrycrank/internal/crankboard"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/internal/crankfeed"

	"github.com/uber-go/tally/v4"
)

// Timing of requests.
const (
	// ConfigFreshness is the maximum age of the configuration for answering a
	// request. It is below the two seconds within which a published version must
	// take effect.
	ConfigFreshness = 1700 * time.Millisecond
	maxStateAge     = 2500 * time.Millisecond // maximum age of the job state for readiness and for counting waiting jobs
	refreshTimeout  = 900 * time.Millisecond  // longest wait for a newer state in which to look for an unknown job
	maxEndWait      = 200 * time.Millisecond  // longest wait for the end of a job whose state is requested; several times what storing an end takes
	responseMargin  = 100 * time.Millisecond  // part of a caller's deadline that is reserved for sending the response
	defaultDeadline = 10 * time.Second        // of a request without one
)

// Config holds what requests are served from.
type Config struct {
	Operator *crankboard.Board
	Jobs     *crankbook.Book
	Writer   *crankfeed.Writer
	Logger   *slog.Logger
	Scope    tally.Scope
}

// Gate serves callers' requests. It is safe for concurrent use.
type Gate struct{ Config }

// New returns a handler of requests.
func New(c Config) *Gate { return &Gate{c} }

// Address is the host, path, key and deadline of a request.
type Address struct {
	Host, Path string
	Key        string        // API key of the caller, empty for none
	Deadline   time.Duration // how long the caller waits, 0 if unknown
}

// Route is a request whose queue was found and whose key was accepted.
type Route struct {
	Queue     crank.Queue
	Workspace string
	Job       string // ID, empty for the queue itself
	Version   int64  // of the configuration that was used
	Arrived   time.Time
	Deadline  time.Time // for the response
}

// Limits returns the configured limits of requests.
func (g *Gate) Limits() crank.RequestLimits { return g.Operator.View().Config.Limits }

// Ready reports whether the configuration and the job state are recent enough
// to answer requests.
func (g *Gate) Ready() bool {
	v := g.Operator.View()
	return v.Config.Version > 0 && time.Since(v.AsOf) < ConfigFreshness && time.Since(g.Jobs.View().AsOf) < maxStateAge
}

// Route finds the queue of a request and checks the caller's key. Errors are of
// KindNotFound when no queue matches, of KindDenied when the queue requires a key
// and the caller's is unknown, and of KindUnavailable when the configuration is
// not current.
func (g *Gate) Route(a Address) (Route, error) {
	const op = "route"
	now := time.Now()
	v := g.Operator.View()
	if v.Config.Version == 0 || now.Sub(v.AsOf) > ConfigFreshness {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindUnavailable, "the configuration is not current"), v)
	}
	q, ok := v.Config.Match(a.Host, a.Path)
	if !ok {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindNotFound, "no such queue"), v)
	}
	r := Route{Queue: q, Version: v.Config.Version, Arrived: now, Job: strings.TrimPrefix(a.Path, q.Prefix)}
	r.Deadline = now.Add(defaultDeadline)
	if a.Deadline > 0 {
		r.Deadline = now.Add(max(a.Deadline-responseMargin, a.Deadline/2))
	}
	w, known := v.Config.KeyHolder(a.Key)
	if !known && !q.Public {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindDenied, "the key belongs to no workspace"), v)
	}
	r.Workspace = w.Name
	return r, nil
}

func (g *Gate) refuse(a Address, err *crank.Error, v crankboard.View) error {
	g.Scope.Tagged(map[string]string{"kind": string(err.Kind)}).Counter("requests_refused").Inc(1)
	g.Logger.Info("gate: request refused", "path", a.Path, "host", a.Host, "kind", err.Kind, "why", err.Message(),
		"config", v.Config.Version, "config-age", time.Since(v.AsOf).Round(time.Millisecond))
	return err
}

// Submit stores a job. The job is accepted only if Submit returns nil. After an
// error of KindUnavailable or KindInvalid it never runs; after one of
// KindUnknown it may.
func (g *Gate) Submit(ctx context.Context, r Route, job crank.StepJob) error {
	job.ID, job.Queue, job.Workspace = r.Job, r.Queue.Name, r.Workspace
	job.Pool, job.Priority, job.Attempts = r.Queue.Pool, r.Queue.Priority, r.Queue.Attempts
	job.Slack, job.Target, job.Accepted = r.Queue.Slack, r.Queue.Target, r.Arrived.Round(0)
	err := g.submit(ctx, r, job)
	took := time.Since(r.Arrived)
	g.Scope.Tagged(map[string]string{"result": resultOf(err)}).Timer("submit").Record(took)
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	g.Logger.Log(ctx, level, "gate: submission", "job", r.Job, "queue", r.Queue.Name, "workspace", r.Workspace, "config", r.Version,
		"result", resultOf(err), "took", took.Round(time.Millisecond), "error", err)
	return err
}

func (g *Gate) submit(ctx context.Context, r Route, job crank.StepJob) error {
	const op = "submit"
	if r.Job == "" {
		return crank.Fail(op, crank.KindInvalid, "the path contains no job ID")
	}
	if _, known := g.Jobs.View().State.Job(r.Job); known {
		return nil
	}
	if r.Queue.Advised {
		return crank.Fail(op, crank.KindInvalid, "queues with an advisor are not supported")
	}
	if err := job.Check(); err != nil {
		return err
	}
	record, err := crankbook.SubmissionRecord(job)
	if err != nil {
		return err
	}
	return g.append(ctx, r, record)
}

func (g *Gate) append(ctx context.Context, r Route, record crank.KeyedRecord) error {
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	_, err := g.Writer.Append(callCtx, record)
	return err
}

// Cancel cancels a job. An error of KindExpired means that there is no such
// job.
func (g *Gate) Cancel(ctx context.Context, r Route) error {
	e, err := g.findJob(ctx, r)
	if err == nil && !e.Ended() {
		err = g.append(ctx, r, crankbook.CancellationRecord(r.Job))
	}
	g.Logger.Info("gate: cancellation", "job", r.Job, "phase", e.Phase(), "result", resultOf(err), "took", time.Since(r.Arrived).Round(time.Millisecond), "error", err)
	return err
}

// Phase returns the state of a job. It waits up to maxEndWait for the end of a
// job that has not ended, since callers often ask just before the end is stored.
// An error of KindExpired means that there is no such job.
func (g *Gate) Phase(ctx context.Context, r Route) (crankbook.Phase, error) {
	e, err := g.findJob(ctx, r)
	if err != nil {
		g.Logger.Info("gate: state request failed", "job", r.Job, "result", resultOf(err), "book-age", time.Since(g.Jobs.View().AsOf).Round(time.Millisecond), "error", err)
		return "", err
	}
	return g.awaitEnd(ctx, e).Phase(), nil
}

// awaitEnd returns the newest state of a job once it has ended, or after
// maxEndWait.
func (g *Gate) awaitEnd(ctx context.Context, e crankbook.Entry) crankbook.Entry {
	callCtx, cancel := context.WithTimeout(ctx, maxEndWait)
	defer cancel()
	view, _ := g.Jobs.Wait(callCtx, func(v crankbook.View) bool {
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
func (g *Gate) findJob(ctx context.Context, r Route) (crankbook.Entry, error) {
	const op = "find job"
	if e, ok := g.Jobs.View().State.Job(r.Job); ok {
		return e, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	view, err := g.Jobs.Wait(callCtx, func(v crankbook.View) bool {
		_, ok := v.State.Job(r.Job)
		return ok || v.AsOf.After(r.Arrived)
	})
	if err != nil {
		return crankbook.Entry{}, err
	}
	e, ok := view.State.Job(r.Job)
	if !ok {
		return e, crank.Fail(op, crank.KindExpired, "no such job")
	}
	return e, nil
}

// Pending returns how many of the queue's accepted jobs have not begun.
func (g *Gate) Pending(r Route) (int, error) {
	v := g.Jobs.View()
	if age := time.Since(v.AsOf); age > maxStateAge {
		return 0, crank.Fail("pending", crank.KindUnavailable, "the job state is %s old", age.Round(time.Millisecond))
	}
	return v.State.Pending(r.Queue.Name), nil
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(crank.KindOf(err))
}
