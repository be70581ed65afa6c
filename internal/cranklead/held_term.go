package cranklead

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"
)

// HeldTerm is a term that this instance holds.
type HeldTerm struct {
	Number int64
	// Former holds the leases of earlier holders.
	Former  crankfleet.FormerLeases
	clocks  atomic.Pointer[func() []crank.WorkerClock]
	elector *Elector
}

// UseClocks has heartbeats carry readings of workers' clocks, by which a successor knows how
// much time has passed since.
func (h *HeldTerm) UseClocks(read func() []crank.WorkerClock) { h.clocks.Store(&read) }

// Valid reports whether the holder reached the store within GracePeriod and so
// may still send orders.
func (h *HeldTerm) Valid() bool { return h.LeaseLimit() > 0 }

// LeaseLimit returns how long leases that the holder grants now may last at most.
func (h *HeldTerm) LeaseLimit() time.Duration { return h.elector.leaseLimit() }

// ConfirmedAfter reports whether this term was the newest one at some time after t, so
// that no later holder can have acted before t.
func (h *HeldTerm) ConfirmedAfter(t time.Time) bool { return h.elector.newestAt(h.Number).After(t) }

// AppendedAt returns when the store last took a heartbeat of this instance.
func (h *HeldTerm) AppendedAt() time.Time {
	h.elector.mu.Lock()
	defer h.elector.mu.Unlock()
	return h.elector.appendedAt
}

// Resign gives the term up on evidence that another instance holds a newer one.
func (h *HeldTerm) Resign(reason string) { h.elector.resign(h.Number, reason) }

// Decline notes that this instance can't take the term over. For a while it lets others
// claim first, which may run another version.
func (h *HeldTerm) Decline() {
	h.elector.mu.Lock()
	defer h.elector.mu.Unlock()
	h.elector.declinedAt = time.Now()
}

// Yield gives the term up in favour of another instance, which claims it as after a
// shutdown. It does nothing within yieldPeriod of the last time that any holder did, or
// fleetYieldPeriod if that was another instance, so that a load that is too much for all
// does not move the term on and on.
func (h *HeldTerm) Yield(reason string) bool { return h.elector.yield(h.Number, reason) }

// lead runs the planner until the term is over or the context ends.
func (e *Elector) lead(ctx context.Context, number int64) {
	e.mu.Lock()
	heldTerm := &HeldTerm{Number: number, Former: e.former, elector: e}
	e.mu.Unlock()
	e.Logger.Info("lead: term begins", "term", number, "former-leases", max(0, time.Until(heldTerm.Former.End)).Round(time.Millisecond))
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(leadCtx, heldTerm)
	}()
	ticker := time.NewTicker(HeartbeatPeriod)
	defer ticker.Stop()
	count, workers := int64(0), e.Workers()
	heartbeats := make(chan struct{}, maxHeartbeats) // holds a token for each one without an answer
	var blindAt time.Time
	for {
		if blind := e.readLag() > maxReadLag; blind == blindAt.IsZero() {
			blindAt = time.Time{}
			if blind {
				blindAt = time.Now()
			}
		}
		if reason := "the term topic can't be read"; !blindAt.IsZero() && time.Since(blindAt) > maxBlindTime && !e.yield(number, reason) {
			e.resign(number, reason)
		}
		if held, ok := e.holdsTerm(); !ok || held != number || ctx.Err() != nil || e.yields(number) {
			break
		}
		select {
		case <-e.changed:
		case <-ticker.C:
			select {
			case heartbeats <- struct{}{}:
				count++
				workers = e.statedWorkers(workers)
				instances := 0
				if workers > 0 {
					instances = e.Instances()
				}
				e.noteSent(number, count)
				go func(h heartbeatRecord) {
					defer func() { <-heartbeats }()
					plain := h
					plain.Clocks, plain.Workers, plain.Instances = nil, 0, 0 // earlier versions read only this one
					slot := fmt.Sprintf("%s%02d", slotPrefix, h.Count%heartbeatSlots)
					if err := e.append(leadCtx, crank.AnyOffset, record{slot, h}, record{heartbeatKey, plain}); err != nil {
						e.Logger.Debug("lead: heartbeat failed", "term", h.Term, "count", h.Count, "error", err)
					}
				}(heartbeatRecord{Term: number, Count: count, LeaseBound: GracePeriod.Milliseconds(), Clocks: heldTerm.readClocks(), Workers: workers, Instances: instances})
			default:
			}
		case <-ctx.Done():
		}
	}
	stop()
	<-done
	e.Logger.Info("lead: term ends", "term", number, "newest", e.Term().Number, "stopping", ctx.Err() != nil)
	if ctx.Err() != nil || e.yields(number) {
		e.release(context.WithoutCancel(ctx), number)
	}
}

// statedWorkers returns the number of workers for a heartbeat. A new holder repeats that of
// the former one until it knows its own, so that a successor does not take the fleet for a small one.
func (e *Elector) statedWorkers(last int) int {
	if e.LedWorkers == nil {
		return last
	}
	n, known := e.LedWorkers()
	switch {
	case !known:
		return last
	case n < minStatedWorkers:
		return 0
	}
	return n
}

func (h *HeldTerm) readClocks() []crank.WorkerClock {
	if read := h.clocks.Load(); read != nil {
		return (*read)()
	}
	return nil
}

// readLag returns how far the topic as read is behind the last append.
func (e *Elector) readLag() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.appendedAt.Sub(e.currentAt)
}

// noteSent notes that a heartbeat of this holder is sent now.
func (e *Elector) noteSent(term, count int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term.Number == term {
		e.sentAt[count] = e.Uptime()
	}
}

// release lets a successor claim without waiting for HeartbeatTimeout.
func (e *Elector) release(ctx context.Context, number int64) {
	if held, ok := e.holdsTerm(); !ok || held != number {
		return
	}
	if err := e.append(ctx, crank.AnyOffset, record{releaseKey, releaseRecord{Term: number, Yielded: e.yields(number)}}); err != nil {
		e.Logger.Warn("lead: term release failed", "term", number, "error", err)
	}
	if e.yields(number) {
		e.resign(number, "it was yielded")
	}
}

func (e *Elector) yield(number int64, reason string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	period := yieldPeriod
	if e.yieldedAt.After(e.yieldedHere) {
		period = fleetYieldPeriod
	}
	if number <= e.yieldingTerm || (!e.yieldedAt.IsZero() && time.Since(e.yieldedAt) < period) {
		return false
	}
	now := time.Now()
	e.yieldingTerm, e.yieldedAt, e.yieldedHere = number, now, now
	e.Logger.Warn("lead: yielding", "term", number, "reason", reason)
	e.notify()
	return true
}

// yields reports whether this instance gives a term up because it is too slow.
func (e *Elector) yields(number int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return number == e.yieldingTerm
}

// declinedRecently reports whether this instance declined a term within declinePeriod.
func (e *Elector) declinedRecently() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.declinedAt.IsZero() && time.Since(e.declinedAt) < declinePeriod
}

// yieldedRecently reports whether this instance yielded within yieldPeriod.
func (e *Elector) yieldedRecently() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.yieldedHere.IsZero() && time.Since(e.yieldedHere) < yieldPeriod
}
