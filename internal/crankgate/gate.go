// Package crankgate answers callers of queues: it finds the queue of a
// request, checks the caller's key, stores submissions and cancellations, and
// tells the state of jobs.
//
// Each answer is judged on a configuration and a state that are fresh enough
// for it to be true; otherwise the request is refused as unavailable.
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

// Times of the gate.
const (
	// ConfigFreshness is the oldest configuration that a request is judged on.
	// It is under the two seconds within which a version must be in force.
	ConfigFreshness = 1700 * time.Millisecond
	bookFreshness   = 2500 * time.Millisecond // oldest count of waiting jobs
	refreshTimeout  = 900 * time.Millisecond  // for a newer state before a job counts as unknown
	endWait         = 200 * time.Millisecond  // for the end of a job whose state is asked for; several times what storing an end takes
	answerMargin    = 100 * time.Millisecond  // kept of a caller's deadline for the answer itself
	defaultDeadline = 10 * time.Second        // of a caller that names none
)

// Config sets up a Gate.
type Config struct {
	Board  *crankboard.Board
	Book   *crankbook.Book
	Writer *crankfeed.Writer
	Logger *slog.Logger
	Scope  tally.Scope
}

// Gate answers callers. It is safe for concurrent use.
type Gate struct{ Config }

// New returns a gate.
func New(c Config) *Gate { return &Gate{c} }

// Address says where a request arrived and who sent it.
type Address struct {
	Host, Path string
	Key        string        // the caller's, empty for none
	Deadline   time.Duration // how long the caller waits, 0 when not known
}

// Route is a request that may be answered.
type Route struct {
	Queue     crank.Queue
	Workspace string
	Job       string // empty for the queue itself
	Version   int64  // of the configuration that it was judged on
	Arrived   time.Time
	Deadline  time.Time // for the answer
}

// Limits returns what is in force for requests.
func (g *Gate) Limits() crank.RequestLimits { return g.Board.View().Config.Limits }

// Ready reports whether requests can be judged.
func (g *Gate) Ready() bool {
	v := g.Board.View()
	return v.Config.Version > 0 && time.Since(v.Fresh) < ConfigFreshness && time.Since(g.Book.View().Fresh) < bookFreshness
}

// Route finds the queue of a request and checks the caller's key. Errors are
// of KindNotFound when no such queue is published, of KindDenied when the key
// does not open it, and of KindUnavailable when that is not known.
func (g *Gate) Route(a Address) (Route, error) {
	const op = "route"
	now := time.Now()
	v := g.Board.View()
	if v.Config.Version == 0 || now.Sub(v.Fresh) > ConfigFreshness {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindUnavailable, "the configuration is not current"), v)
	}
	q, ok := v.Config.Match(a.Host, a.Path)
	if !ok {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindNotFound, "no such queue"), v)
	}
	r := Route{Queue: q, Version: v.Config.Version, Arrived: now, Job: strings.TrimPrefix(a.Path, q.Prefix)}
	r.Deadline = now.Add(defaultDeadline)
	if a.Deadline > 0 {
		r.Deadline = now.Add(max(a.Deadline-answerMargin, a.Deadline/2))
	}
	w, known := v.Config.KeyHolder(a.Key)
	if !known && !q.Public {
		return Route{}, g.refuse(a, crank.Fail(op, crank.KindDenied, "the key opens no workspace"), v)
	}
	r.Workspace = w.Name
	return r, nil
}

func (g *Gate) refuse(a Address, err *crank.Error, v crankboard.View) error {
	g.Scope.Tagged(map[string]string{"kind": string(err.Kind)}).Counter("requests_refused").Inc(1)
	g.Logger.Info("gate: request refused", "path", a.Path, "host", a.Host, "kind", err.Kind, "why", err.Message(),
		"config", v.Config.Version, "config-age", time.Since(v.Fresh).Round(time.Millisecond))
	return err
}

// Submit stores a job. It is accepted only when it returns nil; an error of
// KindUnavailable or KindInvalid means that it never runs, one of KindUnknown
// that it may.
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
		return crank.Fail(op, crank.KindInvalid, "the path names no job")
	}
	if _, known := g.Book.View().State.Job(r.Job); known {
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
	call, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	_, err := g.Writer.Append(call, record)
	return err
}

// Cancel cancels a job. An error of KindExpired means that there is no such
// job.
func (g *Gate) Cancel(ctx context.Context, r Route) error {
	e, err := g.find(ctx, r)
	if err == nil && !e.Ended() {
		err = g.append(ctx, r, crankbook.CancellationRecord(r.Job))
	}
	g.Logger.Info("gate: cancellation", "job", r.Job, "phase", e.Phase(), "result", resultOf(err), "took", time.Since(r.Arrived).Round(time.Millisecond), "error", err)
	return err
}

// Phase returns the state of a job. It waits a little for the end of one that
// runs, since callers often ask when it is about to be stored. An error of
// KindExpired means that there is no such job.
func (g *Gate) Phase(ctx context.Context, r Route) (crankbook.Phase, error) {
	e, err := g.find(ctx, r)
	if err != nil {
		g.Logger.Info("gate: state not told", "job", r.Job, "result", resultOf(err), "book-age", time.Since(g.Book.View().Fresh).Round(time.Millisecond), "error", err)
		return "", err
	}
	return g.awaitEnd(ctx, e).Phase(), nil
}

// awaitEnd returns the newest entry of a job once it has ended, or after a
// short time.
func (g *Gate) awaitEnd(ctx context.Context, e crankbook.Entry) crankbook.Entry {
	call, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	view, _ := g.Book.Wait(call, func(v crankbook.View) bool {
		newest, ok := v.State.Job(e.Job.ID)
		return !ok || newest.Ended()
	})
	if newest, ok := view.State.Job(e.Job.ID); ok {
		return newest
	}
	return e
}

// find returns a job. That there is none is said only on a state that was read
// after the request arrived.
func (g *Gate) find(ctx context.Context, r Route) (crankbook.Entry, error) {
	const op = "find job"
	if e, ok := g.Book.View().State.Job(r.Job); ok {
		return e, nil
	}
	call, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	view, err := g.Book.Wait(call, func(v crankbook.View) bool {
		_, ok := v.State.Job(r.Job)
		return ok || v.Fresh.After(r.Arrived)
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

// Pending returns how many accepted jobs of the queue have not begun.
func (g *Gate) Pending(r Route) (int, error) {
	v := g.Book.View()
	if age := time.Since(v.Fresh); age > bookFreshness {
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
