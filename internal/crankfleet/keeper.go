package crankfleet

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
)

// Times of the hold loop.
const (
	holdWait     = 1500 * time.Millisecond // longest wait of one hold; four fit into the shortest lease
	holdTimeout  = 700 * time.Millisecond  // of one hold, beside its wait
	holdRetry    = 150 * time.Millisecond  // after a failed hold
	ackWait      = 200 * time.Millisecond  // for ends to be recorded before they are asked for again
	ackPoll      = 400 * time.Millisecond  // between holds while ends are not recorded
	clockDrift   = 1.03                    // a worker's clock may be 2% slow
	leaseMargin  = 300 * time.Millisecond  // added before a lease counts as over
	extendTrials = 2                       // failed holds after which the lease is no longer extended
)

// KeeperConfig sets up a Keeper.
type KeeperConfig struct {
	Entry  crank.WorkerEntry
	Worker crank.LeasedWorker
	Fence  int64
	Limit  time.Duration // longest lease
	Valid  func() bool   // whether the term may still give orders
	Report func(Report)  // takes each answer, and each failure
}

// Report is an answer of a worker, or the failure to get one.
type Report struct {
	crank.HoldReport
	Sent, Received time.Time
	Err            error
}

// Keeper holds the lease of one life of a worker.
type Keeper struct {
	KeeperConfig
	acked chan int64

	mu      sync.Mutex
	over    time.Time // by then all that runs there has stopped, if nothing else is sent
	clock   int64     // of the worker, at clockAt
	clockAt time.Time
	seen    int64
}

// NewKeeper returns a keeper. It works while Run runs.
func NewKeeper(c KeeperConfig) *Keeper {
	return &Keeper{KeeperConfig: c, acked: make(chan int64, 1)}
}

// Ack says that the ends up to a number are recorded.
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

// Deadline returns the time on the worker's clock after a duration, and notes
// that the lease may last until then. It is 0 while the clock is not known.
func (k *Keeper) Deadline(d time.Duration) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.clockAt.IsZero() {
		return 0
	}
	now := time.Now()
	age := now.Sub(k.clockAt)
	over := now.Add(time.Duration(float64(d+age/20)*clockDrift) + leaseMargin)
	if over.After(k.over) {
		k.over = over
	}
	return k.clock + (age + d).Milliseconds()
}

// LeaseOver returns the time by which all that runs at the worker has stopped
// unless its lease is extended. It is zero while nothing was sent.
func (k *Keeper) LeaseOver() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.over
}

// Run holds until the context ends or the worker's life is over.
func (k *Keeper) Run(ctx context.Context) {
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		if !k.Valid() {
			crankfeed.Pause(ctx, holdRetry)
			continue
		}
		order := crank.HoldOrder{Fence: k.Fence, Seen: k.seen, Wait: wait}
		if failures < extendTrials {
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
			crankfeed.Pause(ctx, holdRetry)
		default:
			first := failures >= extendTrials || order.Until == 0
			failures = 0
			wait = k.settle(ctx, r)
			if first {
				wait = 0
			}
		}
	}
}

func (k *Keeper) hold(ctx context.Context, o crank.HoldOrder) Report {
	call, cancel := context.WithTimeout(ctx, o.Wait+holdTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := k.Worker.Hold(call, o)
	r := Report{HoldReport: answer, Sent: sent, Received: time.Now(), Err: err}
	if err == nil {
		k.mu.Lock()
		k.clock, k.clockAt = answer.Clock, r.Received
		k.mu.Unlock()
	}
	return r
}

// settle waits for the ends of a report to be recorded, and returns how long
// the next hold may wait.
func (k *Keeper) settle(ctx context.Context, r Report) time.Duration {
	newest := k.seen
	for _, e := range r.Ended {
		newest = max(newest, e.Number)
	}
	if newest == k.seen {
		return holdWait
	}
	timer := time.NewTimer(ackWait)
	defer timer.Stop()
	for k.seen < newest {
		select {
		case n := <-k.acked:
			k.seen = max(k.seen, n)
		case <-timer.C:
			// Ends that are not recorded come back at once, so a waiting hold
			// would not wait.
			crankfeed.Pause(ctx, ackPoll)
			return 0
		case <-ctx.Done():
			return 0
		}
	}
	return holdWait
}
