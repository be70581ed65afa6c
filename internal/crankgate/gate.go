// Package crankgate serves callers' requests: it finds the queue of a request,
// checks the caller's key, appends submissions and cancellations to the job
// topic, and reports the state of jobs.
//
// Requests are answered from in-memory replicas of the operator topic and the
// job topic. When a replica is too old for a correct answer, the request is
// refused with KindUnavailable.
//
//	Route        queue, key, current configuration
//	Submit       leader (job and claim in one append), or else the job topic
//	             (only where it ends as read if the job was withdrawn)
//	Phase        replica, or the end as the leader stores it
//	Cancel       job topic; a job that is not known is withdrawn
//
// Submissions and cancellations are held for a while when the store does not take
// them (crankadmission).
package crankgate

import (
	"cmp"
	"context"
	"log/slog"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankadmission"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/crankoperator"
	"cranberrycrank/internal/crankwait"

	"github.com/uber-go/tally/v4"
)

// Timing of requests.
const (
	// defaultConfigBound is the shortest time within which the platform requires a
	// version of the configuration to take effect.
	defaultConfigBound = 2 * time.Second
	configMargin       = 300 * time.Millisecond  // part of the configuration's bound that is left for handling a request
	maxStateAge        = 2500 * time.Millisecond // maximum age of the job state for readiness, for counts of waiting jobs and for jobs that have not ended
	refreshTimeout     = 900 * time.Millisecond  // longest wait for a newer state before a job counts as unknown
	maxEndWait         = 200 * time.Millisecond  // longest wait for the end of a job whose state is requested; several times what storing an end takes
	responseMargin     = 100 * time.Millisecond  // part of a caller's deadline reserved for sending the response
	leaderTimeout      = 800 * time.Millisecond  // of a submission through the leader
	leaderAnswerTime   = 100 * time.Millisecond  // of a call that waits at the leader, beyond its wait
	defaultDeadline    = 10 * time.Second        // of a request without one
	defaultRetryAfter  = 1 * time.Second         // told to refused callers whose request can't be held
)

// hold is the policy for requests that the store does not take.
var hold = crankadmission.Hold{Share: 0.5, RetryDelay: 100 * time.Millisecond}

// Config holds the settings and dependencies of a RequestHandler.
type Config struct {
	Operator    *crankoperator.OperatorReplica
	Jobs        *crankjobs.JobReplica
	Writer      *crankfeed.Writer
	Store       crank.Store
	Leader      crank.Leader
	Planning    crank.Planning
	StoreLimits crank.StoreLimits
	ConfigBound time.Duration // within which a published configuration must be in force; 0 means defaultConfigBound
	Budget      crankjobs.Budget
	Logger      *slog.Logger
	Scope       tally.Scope
}

// RequestHandler serves callers' requests. It is safe for concurrent use.
type RequestHandler struct {
	Config
	unread      unreadCancellations
	withdrawing chan struct{} // a token for each withdrawal that is not answered yet
}

// New returns a request handler.
func New(c Config) *RequestHandler {
	c.ConfigBound = cmp.Or(c.ConfigBound, defaultConfigBound)
	return &RequestHandler{Config: c, withdrawing: make(chan struct{}, maxPendingWithdrawals)}
}

// Request is a caller's request.
type Request struct {
	Host, Path string
	Key        string        // API key, empty for none
	Deadline   time.Duration // how long the caller waits, 0 if unknown
	Hold       bool          // wait for a current configuration rather than be refused
	SentAfter  time.Time     // the caller has sent it later; zero if that is not known
}

// RoutedRequest is a request that Route accepted.
type RoutedRequest struct {
	Queue     crank.Queue
	Workspace string // empty if the queue is public and the key unknown
	Job       string // ID, empty for the queue itself
	Version   int64  // of the configuration that was used
	Arrived   time.Time
	Deadline  time.Time // for the response
	request   Request
}

// Refusal is an error of KindUnavailable or KindLimited that tells the caller when to
// return.
type Refusal struct {
	Cause      error
	RetryAfter time.Duration // 0 means at once
	Final      bool          // it holds for earlier attempts at the call too
}

// Error implements error.
func (r *Refusal) Error() string { return r.Cause.Error() }

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Limits returns the configured request limits.
func (h *RequestHandler) Limits() crank.RequestLimits { return h.Operator.View().Config.Limits }

// MaxConfigAge returns the maximum age of the configuration for answering a request.
func (h *RequestHandler) MaxConfigAge() time.Duration { return h.ConfigBound - configMargin }

// Ready reports whether the configuration and the job state are recent enough.
func (h *RequestHandler) Ready() bool {
	return h.current(h.Operator.View()) && recent(h.Jobs.View())
}

// current reports whether requests may be answered from a view.
func (h *RequestHandler) current(v crankoperator.View) bool {
	return v.Config.Version > 0 && time.Since(v.AsOf) < h.MaxConfigAge()
}

// Route finds the queue of a request and checks the caller's key. Errors are of
// KindNotFound when no queue matches, of KindDenied when the queue requires a key
// and the caller's is unknown, and of KindUnavailable when the configuration is
// not current.
func (h *RequestHandler) Route(ctx context.Context, req Request) (RoutedRequest, error) {
	r := RoutedRequest{Arrived: time.Now(), request: req}
	r.Deadline = r.Arrived.Add(defaultDeadline)
	if req.Deadline > 0 {
		r.Deadline = r.Arrived.Add(max(req.Deadline-responseMargin, req.Deadline/2))
	}
	return h.route(ctx, r)
}

// route routes a request by the configuration that is in force now.
func (h *RequestHandler) route(ctx context.Context, r RoutedRequest) (RoutedRequest, error) {
	const op = "route"
	req := r.request
	v := h.awaitConfig(ctx, r)
	if !h.current(v) {
		return r, h.refuse(r, v, &Refusal{Cause: crank.Fail(op, crank.KindUnavailable, "the configuration is not current"), RetryAfter: retryAfter(r)})
	}
	q, ok := v.Config.Match(req.Host, req.Path)
	if !ok {
		return r, h.refuse(r, v, crank.Fail(op, crank.KindNotFound, "no such queue"))
	}
	w, known := v.Config.WorkspaceByKey(req.Key)
	if !known && !q.Public {
		return r, h.refuse(r, v, crank.Fail(op, crank.KindDenied, "the key opens no workspace"))
	}
	r.Queue, r.Version, r.Job, r.Workspace = q, v.Config.Version, strings.TrimPrefix(req.Path, q.Prefix), w.Name
	return r, nil
}

// awaitConfig returns the newest configuration. For a request that may be held it
// waits for a current one.
func (h *RequestHandler) awaitConfig(ctx context.Context, r RoutedRequest) crankoperator.View {
	v := h.Operator.View()
	if !r.request.Hold || h.current(v) {
		return v
	}
	callCtx, cancel := context.WithDeadline(ctx, hold.Until(r.admission()))
	defer cancel()
	err := crankwait.Until(callCtx, "configuration wait", func() (bool, <-chan struct{}) {
		var changed <-chan struct{}
		v, changed = h.Operator.Watch()
		return h.current(v), changed
	})
	h.Logger.Info("gate: request held for a current configuration", "path", r.request.Path, "took", time.Since(r.Arrived),
		"config-age", time.Since(v.AsOf).Round(time.Millisecond), "error", err)
	return v
}

// admission returns what the hold policy needs to know about a request.
func (r RoutedRequest) admission() crankadmission.Request {
	return crankadmission.Request{Arrived: r.Arrived, Deadline: r.Deadline}
}

// retryAfter returns when the refused caller of a request should return.
func retryAfter(r RoutedRequest) time.Duration {
	if !r.request.Hold {
		return defaultRetryAfter
	}
	return hold.RetryAfter(r.admission(), time.Now())
}

func (h *RequestHandler) refuse(r RoutedRequest, v crankoperator.View, err error) error {
	kind := crank.KindOf(err)
	h.Scope.Tagged(map[string]string{"kind": string(kind)}).Counter("requests_refused").Inc(1)
	h.Logger.Info("gate: request refused", "path", r.request.Path, "host", r.request.Host, "kind", kind, "why", err,
		"config", v.Config.Version, "config-age", time.Since(v.AsOf).Round(time.Millisecond), "held", time.Since(r.Arrived))
	return err
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	return string(crank.KindOf(err))
}
