package crankfleet

import "context"

// MaxFirstRenewals is the number of workers that are renewed for the first time at once. Each takes a
// new connection and up to three calls, together about 1 ms of a processor, so that with 0.8 of one
// the last of them is answered after half a second, within the time of a renewal. Earlier
// deployments have at most 350 workers and never wait.
const MaxFirstRenewals = 400

// FirstRenewals paces the first renewals of many workers at a takeover.
//
// Load pattern: a new leader of 3,000 workers called all of them at once; most calls ran out
// of time while they waited for the processor, and were repeated at its cost.
type FirstRenewals struct{ slots chan struct{} }

// NewFirstRenewals returns a pace of a number of first renewals at once.
func NewFirstRenewals(atOnce int) *FirstRenewals {
	return &FirstRenewals{slots: make(chan struct{}, atOnce)}
}

// enter waits for a slot and returns what frees it. A nil pace has slots for all.
func (f *FirstRenewals) enter(ctx context.Context) (leave func()) {
	if f == nil {
		return func() {}
	}
	select {
	case f.slots <- struct{}{}:
		return func() { <-f.slots }
	case <-ctx.Done():
		return func() {}
	}
}
