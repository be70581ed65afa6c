package cranklead

import (
	"time"

	"cranberrycrank/internal/crankfleet"
)

// leases returns the leases of the holders up to the newest term, unless the newest one
// sends further records. The caller holds the lock.
func (e *Elector) leases() crankfleet.FormerLeases {
	switch {
	case e.term.Number == 0:
		return e.former
	case e.term.LeaseBound <= 0:
		return e.former.WithOther(e.recordSeen.Add(certainly(unboundedGrace + e.MaxLease)))
	case e.heartbeat.Term != e.term.Number:
		return e.former.WithOther(e.recordSeen.Add(certainly(claimGrace)))
	}
	return e.former.WithContact(e.recordSeen, certainly(milliseconds(e.heartbeat.LeaseBound)), e.heartbeat.Clocks)
}

// loadedLeases returns the leases of the holders before a claim, if records before it were
// not read. The caller holds the lock.
func (e *Elector) loadedLeases(t Term, now time.Time) crankfleet.FormerLeases {
	var f crankfleet.FormerLeases
	told := milliseconds(t.FormerLeases)
	switch h := e.heartbeat; {
	case h.Term == 0:
	case h.Term == t.Number:
		told -= time.Duration(h.Count) * HeartbeatPeriod
	case h.LeaseBound <= 0:
		f = f.WithOther(now.Add(certainly(unboundedGrace + e.MaxLease)))
	default:
		f = f.WithContact(now, certainly(milliseconds(h.LeaseBound)), h.Clocks)
	}
	if told > 0 {
		f = f.WithOther(now.Add(told))
	}
	return f
}

// certainly returns after which time a lease is certainly over.
func certainly(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDrift) + leaseMargin
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
