package crankrelay

import (
	"math/rand/v2"
	"sync"
	"time"
)

// circuit is a circuit breaker. It opens when the store refuses a call on every path
// and then lets one call through per probe interval, until one is answered.
//
// Load pattern: an overloaded or absent store refuses the calls of all instances. If
// each of them repeated every call at once and on several paths, the repeats alone
// would keep the store overloaded.
type circuit struct {
	mu      sync.Mutex
	open    bool
	probeAt time.Time // next probe that is let through
}

// Probe intervals. All instances together make at most one probe of a circuit per
// probePeriodShare.
const (
	minProbeInterval   = 100 * time.Millisecond
	probePeriodShare   = 1 * time.Millisecond
	probeIntervalRange = 0.5 // of the interval, random
)

// probeInterval returns the time between the probes of one of several instances.
func probeInterval(instances int) time.Duration {
	base := max(minProbeInterval, time.Duration(instances)*probePeriodShare)
	return time.Duration(float64(base) * (1 + probeIntervalRange*(rand.Float64()-0.5)))
}

// allow reports whether a call may be made now.
func (c *circuit) allow(now time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.open || c.takeProbe(now, interval)
}

// allowProbe reports whether one more call may be made to a store that refused, also
// while the circuit is closed.
func (c *circuit) allowProbe(now time.Time, interval time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeProbe(now, interval)
}

// takeProbe lets a call through per interval. The caller holds the lock.
func (c *circuit) takeProbe(now time.Time, interval time.Duration) bool {
	if now.Before(c.probeAt) {
		return false
	}
	c.probeAt = now.Add(interval)
	return true
}

// isOpen reports whether calls are refused.
func (c *circuit) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// record reports the result of a call that was let through, and returns whether the
// circuit opened or closed by it.
func (c *circuit) record(refused bool, now time.Time, interval time.Duration) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.open != refused
	c.open = refused
	if refused {
		c.probeAt = now.Add(interval)
	}
	return changed
}
