package crank

import (
	"context"
	"time"
)

// Leader is the instance that holds the planner's term, as other instances call it.
// An instance that does not hold the term fails all calls with KindUnavailable.
type Leader interface {
	// Submit stores a job together with the planner's claim on it. Errors have the
	// kinds of Store.Append; a job that is known already is no error.
	Submit(ctx context.Context, job StepJob) error
	// AwaitEnd returns the phase of a job as soon as its end is stored, or
	// PhaseRunning if that takes longer than wait or the job is unknown.
	AwaitEnd(ctx context.Context, job string, wait time.Duration) (Phase, error)
}

// LeaderDialer returns the client of the instance at an address, with the key that it
// announced.
type LeaderDialer interface {
	Leader(addr, key string) Leader
}
