package crankfakefleet

import (
	"context"
	"time"

	crank "cranberrycrank"
)

// LeasedWorker implements crank.LeaseDialer for a caller without a name.
func (f *Fleet) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return f.Dialer("").LeasedWorker(e)
}

// Dialer returns the dialer of a caller, whose name Config.Faults gets.
func (f *Fleet) Dialer(caller string) crank.LeaseDialer { return dialer{f, caller} }

type dialer struct {
	fleet  *Fleet
	caller string
}

// LeasedWorker implements crank.LeaseDialer.
func (d dialer) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return &client{fleet: d.fleet, caller: d.caller, entry: e}
}

// client calls the worker that has the ID of the entry. As on the platform, calls carry
// only the ID, so that they take effect at any incarnation that is up, but for starts,
// which are sent on connections to one. A late call ends with the incarnation that
// received it.
type client struct {
	fleet  *Fleet
	caller string
	entry  crank.WorkerEntry
}

// call calls f with the worker and injects the configured fault.
func (c *client) call(ctx context.Context, method string, f func(w *worker) error) error {
	const op = "worker call"
	fault := Fault{}
	if c.fleet.Faults != nil {
		fault = c.fleet.Faults(c.caller, c.entry.ID, method)
	}
	awaitCancel := func() error {
		<-ctx.Done()
		return crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
	if fault.TransitTime > 0 {
		select {
		case <-time.After(fault.TransitTime):
		case <-ctx.Done():
			return awaitCancel()
		}
	}
	switch {
	case fault.DropRequest:
		return awaitCancel()
	case fault.Refuse, fault.RefuseStart && method == "start":
		return crank.Fail(op, crank.KindUnavailable, "the worker is unhealthy")
	case fault.ResetStart && method == "start":
		return crank.Fail(op, crank.KindUnknown, "the connection was reset")
	case fault.NoListener:
		return crank.Fail(op, crank.KindRefused, "nothing listens at the worker's address")
	case fault.Misdirect:
		return crank.Fail(op, crank.KindNotFound, "another worker has this address now")
	case fault.FormerAnswer:
		return formerAnswer{}
	}
	c.fleet.mu.Lock()
	received := c.fleet.workers[c.entry.ID]
	silent := received == nil || received.isSilent()
	c.fleet.mu.Unlock()
	if silent {
		return awaitCancel()
	}
	if fault.EffectDelay > 0 {
		time.AfterFunc(fault.EffectDelay, func() { // the response is lost
			_ = c.apply(func(w *worker) error {
				if w != received {
					return crank.Fail(op, crank.KindUnknown, "the worker has restarted")
				}
				return f(w)
			})
		})
		return awaitCancel()
	}
	err := c.apply(f)
	if fault.DropResponse {
		return awaitCancel()
	}
	return err
}

// formerAnswer is the error of a call that an earlier incarnation seems to have answered.
type formerAnswer struct{}

// Error implements error.
func (formerAnswer) Error() string { return "an earlier incarnation has answered" }

// apply calls f under the lock with the incarnation that is up.
func (c *client) apply(f func(w *worker) error) error {
	const op = "worker call"
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w := c.fleet.workers[c.entry.ID]
	switch {
	case w == nil || w.isSilent():
		return crank.Fail(op, crank.KindUnknown, "the worker is down")
	case w.replaced || w.entry.Addr != c.entry.Addr:
		return crank.Fail(op, crank.KindNotFound, "another worker has this address now")
	case w.left:
		return crank.Fail(op, crank.KindRefused, "nothing listens at the worker's address")
	}
	return f(w)
}
