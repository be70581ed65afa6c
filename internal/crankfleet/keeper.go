package crankfleet

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
)

// Timing of hold calls. A hold extends a worker's lease and reads what runs and
// what ended there.
const (
	maxHoldWait       = 1500 * time.Millisecond // longest time that one hold waits for an end; four fit into the shortest lease
	holdTimeout       = 700 * time.Millisecond  // of one hold, in addition to its wait
	holdRetryDelay    = 150 * time.Millisecond  // after a failed hold, and while the term is not valid
	ackWait           = 200 * time.Millisecond  // longest wait for reported ends to be recorded before the next hold
	unackedHoldDelay  = 400 * time.Millisecond  // extra delay of the next hold while ends are not recorded
	clockDrift        = 1.03                    // a worker's clock may be 2% slow
	leaseMargin       = 300 * time.Millisecond  // added before a lease counts as expired
	maxExtendFailures = 2                       // failed holds in a row after which the lease is no longer extended
)

// KeeperConfig names the worker, the term and the callbacks of a lease loop.
type KeeperConfig struct {
	Entry  crank.WorkerEntry
	Worker crank.LeasedWorker
	Fence  int64         // number of the planner's term
	Limit  time.Duration // longest lease
	Valid  func() bool   // whether the term may still give orders
	Report func(Report)  // called with each answer and each failure
}

// Report is the result of one hold: the worker's answer, or the error.
type Report struct {
	crank.HoldReport
	Sent, Received time.Time
	Err            error
}

// Keeper extends the lease of one incarnation of a worker and reports what runs
// and what ended there.
type Keeper struct {
	KeeperConfig
	acked chan int64

	mu          sync.Mutex
	leaseExpiry time.Time // all runs at the worker have stopped by then, if nothing else is sent
	workerClock int64     // reading of the worker's clock at clockRead
	clockRead   time.Time
	ackedEnd    int64 // ends up to this number are recorded
}

// NewKeeper returns a lease loop that starts with Run.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{KeeperConfig: c, acked: make(chan int64, 1)}
}

// Ack reports that the ends up to a number are recorded, so that the worker may
// forget them.
func (k *Keeper) Ack(number int64) {
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

// Deadline returns the time on the worker's clock after a duration, and records
// that the lease may last until then. It is 0 while the clock is not known.
func (k *Keeper) Deadline(d time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockRead.IsZero() {
		return 0
	}
	now := time.Now()
	age := now.Sub(k.clockRead)
	expiry := now.Add(time.Duration(float64(d+age/20)*clockDrift) + leaseMargin)
	if expiry.After(k.leaseExpiry) {
		k.leaseExpiry = expiry
	}
	return k.workerClock + (age + d).Milliseconds()
}

// LeaseOver returns the time by which all runs at the worker have stopped unless
// the lease is extended. It is zero if no lease was sent yet.
func (k *Keeper) LeaseOver() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaseExpiry
}

// Run extends the lease until the context ends or the incarnation is over.
func (k *Keeper) Run(ctx context.Context) {
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !k.Valid() {
			crankfeed.Pause(ctx, holdRetryDelay)
			continue
		}
		order := crank.HoldOrder{Fence: k.Fence, Seen: k.ackedEnd, Wait: wait}
		if failures < maxExtendFailures {
			order.Until = k.Deadline(k.Limit)
		}
		r := k.hold(ctx, order)
		if ctx.Err() != nil {
			return
		}
		k.Report(r)
		switch {
		case crank.KindOf(r.Err) == crank.KindNotFound && r.Err != nil:
			return
		case r.Err != nil:
			failures++
			wait = 0
			crankfeed.Pause(ctx, holdRetryDelay)
		default:
			notExtended := failures >= maxExtendFailures || order.Until == 0
			failures = 0
			wait = k.awaitAck(ctx, r)
			if notExtended {
				wait = 0
			}
		}
	}
}

func (k *Keeper) hold(ctx context.Context, o crank.HoldOrder) Report {
	callCtx, cancel := context.WithTimeout(ctx, o.Wait+holdTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := k.Worker.Hold(callCtx, o)
	r := Report{HoldReport: answer, Sent: sent, Received: time.Now(), Err: err}
	if err == nil {
		k.mu.Lock()
		k.workerClock, k.clockRead = answer.Clock, r.Received
		k.mu.Unlock()
	}
	return r
}

// awaitAck waits for the ends in a report to be recorded, and returns how long
// the next hold may wait.
func (k *Keeper) awaitAck(ctx context.Context, r Report) time.Duration {
	newest := k.ackedEnd
	for _, e := range r.Ended {
		newest = max(newest, e.Number)
	}
	if newest == k.ackedEnd {
		return maxHoldWait
	}
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	for k.ackedEnd < newest {
		select {
		case n := <-k.acked:
			k.ackedEnd = max(k.ackedEnd, n)
		case <-timer.C:
			// The worker reports unacknowledged ends again at once, so a waiting
			// hold would not wait.
			crankfeed.Pause(ctx, unackedHoldDelay)
			return 0
		case <-ctx.Done():
			return 0
		}
	}
	return maxHoldWait
}
