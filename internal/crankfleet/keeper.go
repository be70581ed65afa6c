package crankfleet

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankevidence"
	"cranberrycrank/internal/crankfeed"
)

// Timing of renewals. A renewal extends a worker's lease and returns its running
// and ended runs.
const (
	maxRenewWait      = 1500 * time.Millisecond // longest wait of one renewal for an end; four fit into the shortest lease
	shortLeaseLimit   = 4 * time.Second         // while leases may not last longer, renewals wait shortRenewWait, so that they are extended as soon as they may be
	shortRenewWait    = 300 * time.Millisecond
	watchRenewWait    = 500 * time.Millisecond // while a worker is watched
	renewTimeout      = 700 * time.Millisecond // of one answer, beyond the wait
	renewRetryDelay   = 150 * time.Millisecond // after a failed renewal or while the term is not valid
	ackWait           = 200 * time.Millisecond // longest wait for reported ends to be recorded
	unackedRenewDelay = 400 * time.Millisecond // extra delay while ends are not recorded
)

// SilentRenewals is the number of failed renewals in a row that show that a worker is
// silent. Its lease is not extended from the first one on.
const SilentRenewals = 2

// LeaseKeeperConfig holds the settings and dependencies of a LeaseKeeper.
type LeaseKeeperConfig struct {
	Entry    crank.WorkerEntry
	Worker   crank.LeasedWorker
	Fence    int64 // number of the planner's term
	MaxLease time.Duration
	Valid    func() bool          // whether the term may still send orders
	Limit    func() time.Duration // how long leases granted now may last
	Former   time.Time            // when the leases that earlier terms granted are over
	Uptime   crank.Uptime
	Watched  func() bool       // whether the next report is needed soon; may be nil
	OnRenew  func(RenewResult) // called after each renewal, also a failed one
	Pace     *FirstRenewals    // of all workers; nil for none
}

// RenewResult is the worker's answer to a renewal, or the error.
type RenewResult struct {
	crank.RenewReport
	Sent, Received time.Time
	SentClock      int64 // newest reading of the worker's clock when the renewal was sent, in ms; 0 for none
	Err            error
}

// LeaseKeeper renews the lease of one incarnation of a worker.
type LeaseKeeper struct {
	LeaseKeeperConfig
	acked chan int64

	mu          sync.Mutex
	worker      crank.LeasedWorker
	leaseExpiry time.Time // see LeaseExpiry
	workerClock int64     // worker's clock at clockRead, in ms
	clockRead   time.Time
	clockAhead  time.Duration // of the worker's clock, ahead of the uptime here, at most
	ending      bool          // the lease is not extended
	ackedEnd    int64         // ends up to this number are recorded; used by Run only
	extended    bool          // the last renewal extended the lease; used by Run only
}

// NewLeaseKeeper returns a keeper. It works while Run runs.
func NewLeaseKeeper(c LeaseKeeperConfig) *LeaseKeeper {
	return &LeaseKeeper{LeaseKeeperConfig: c, worker: c.Worker, acked: make(chan int64, 1)}
}

// Redirect has later renewals sent to the incarnation at another address.
func (k *LeaseKeeper) Redirect(w crank.LeasedWorker) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.worker = w
}

func (k *LeaseKeeper) client() crank.LeasedWorker {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.worker
}

// Ack reports that the ends up to a number are recorded, so that the worker may
// forget them.
func (k *LeaseKeeper) Ack(number int64) {
	for {
		select {
		case k.acked <- number:
			return
		default:
		}
		select {
		case old := <-k.acked:
			number = max(number, old)
		default:
		}
	}
}

// DeadlineAfter returns the time on the worker's clock after a duration, and
// records that the lease may last until then. It returns 0 while the clock is
// unknown, the lease is not extended or no lease may be granted.
func (k *LeaseKeeper) DeadlineAfter(d time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockRead.IsZero() || k.ending {
		return 0
	}
	now := time.Now()
	age := now.Sub(k.clockRead)
	if d = min(d, k.Limit()-age/40); d <= 0 { // the clock may have fallen behind meanwhile
		return 0
	}
	k.mayLastUntil(crankevidence.LeaseEnd(now, d, age))
	return k.workerClock + (age + d).Milliseconds()
}

// Clock returns the time on the worker's clock, or a later one, and false while it is
// unknown. It goes on while this instance is suspended.
func (k *LeaseKeeper) Clock() (int64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockRead.IsZero() {
		return 0, false
	}
	return (k.Uptime() + k.clockAhead).Milliseconds() + 1, true
}

// noteClock notes a reading of the worker's clock, which is made after the renewal is sent.
// The clock is not fast, so that each reading bounds all later times on it. The caller holds
// the lock.
func (k *LeaseKeeper) noteClock(ms int64, sent time.Duration, received time.Time) {
	if ahead := time.Duration(ms)*time.Millisecond - sent; k.clockRead.IsZero() || ahead < k.clockAhead {
		k.clockAhead = ahead
	}
	k.workerClock, k.clockRead = ms, received
}

func (k *LeaseKeeper) mayLastUntil(expiry time.Time) {
	if expiry.After(k.leaseExpiry) {
		k.leaseExpiry = expiry
	}
}

// StopExtending leaves the lease as it is.
func (k *LeaseKeeper) StopExtending() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ending = true
}

// ResumeExtending extends the lease again.
func (k *LeaseKeeper) ResumeExtending() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ending = false
}

func (k *LeaseKeeper) isEnding() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ending
}

// LeaseExpiry returns the time by which all runs at the worker have stopped
// unless the lease is extended. It is zero before the first deadline.
func (k *LeaseKeeper) LeaseExpiry() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaseExpiry
}

// Run renews the lease until the context ends.
func (k *LeaseKeeper) Run(ctx context.Context) {
	failures, greeted := 0, false
	wait := time.Duration(0)
	for ctx.Err() == nil {
		leave := func() {}
		if !greeted && failures == 0 { // a worker that does not answer keeps no other one waiting twice
			leave = k.Pace.enter(ctx)
		}
		if !k.Valid() {
			leave()
			crankfeed.Sleep(ctx, renewRetryDelay)
			continue
		}
		order := crank.RenewOrder{Fence: k.Fence, AckedThrough: k.ackedEnd, Wait: wait}
		if failures > 0 {
			order.AckedThrough = 0 // an incarnation that started meanwhile counts its ends anew
		}
		if failures == 0 {
			order.DeadlineMs = k.DeadlineAfter(k.MaxLease)
		}
		r := k.renew(ctx, order)
		leave()
		greeted = greeted || (r.Err == nil && (order.DeadlineMs > 0 || k.isEnding()))
		if ctx.Err() != nil {
			return
		}
		k.OnRenew(r)
		switch {
		case r.Err != nil:
			failures++
			wait = 0
			crankfeed.Sleep(ctx, renewRetryDelay)
		default:
			failures = 0
			wait = k.awaitAck(ctx, r)
			switch {
			case order.DeadlineMs == 0 && !k.isEnding():
				wait = 0
			case k.Limit() < shortLeaseLimit:
				wait = min(wait, shortRenewWait)
			case k.Watched != nil && k.Watched():
				wait = min(wait, watchRenewWait)
			}
		}
	}
}

func (k *LeaseKeeper) renew(ctx context.Context, o crank.RenewOrder) RenewResult {
	timeout := o.Wait + renewTimeout
	if o.DeadlineMs > 0 && !k.extended { // a new connection takes an answer as well
		timeout += renewTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent, sentUptime, sentClock := time.Now(), k.Uptime(), k.workerClock
	report, err := k.client().Renew(callCtx, o)
	r := RenewResult{RenewReport: report, Sent: sent, Received: time.Now(), SentClock: sentClock, Err: err}
	k.extended = err == nil && o.DeadlineMs > 0
	if err == nil {
		k.mu.Lock()
		if k.clockRead.IsZero() { // an earlier term may have extended the lease until now
			expiry := crankevidence.LeaseEnd(r.Received, k.MaxLease, 0)
			if k.Former.Before(expiry) {
				expiry = k.Former
			}
			k.mayLastUntil(expiry)
		}
		k.noteClock(report.ClockMs, sentUptime, r.Received)
		k.mu.Unlock()
	}
	return r
}

// awaitAck waits until the reported ends are recorded, and returns how long the
// next renewal may wait.
func (k *LeaseKeeper) awaitAck(ctx context.Context, r RenewResult) time.Duration {
	newest := k.ackedEnd
	for _, e := range r.Ended {
		newest = max(newest, e.Number)
	}
	if newest == k.ackedEnd {
		return maxRenewWait
	}
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	for k.ackedEnd < newest {
		select {
		case n := <-k.acked:
			k.ackedEnd = max(k.ackedEnd, n)
		case <-timer.C:
			// The worker reports unacknowledged ends again at once, so the next
			// renewal would not wait.
			crankfeed.Sleep(ctx, unackedRenewDelay)
			return 0
		case <-ctx.Done():
			return 0
		}
	}
	return maxRenewWait
}
