package crankevidence

import "time"

// Limits of clocks.
const (
	clockDrift  = 1.03                   // a worker's clock may be 2% slow
	leaseMargin = 300 * time.Millisecond // added before a lease counts as over
)

// LeaseEnd returns by when a lease is over that lasts for d, counted from now on a worker's
// clock which was read age ago, by the planner's clock.
func LeaseEnd(now time.Time, d, age time.Duration) time.Time {
	return now.Add(time.Duration(float64(d+age/20)*clockDrift) + leaseMargin)
}

// Lease is what is known of the leases of an incarnation. All of them are over at End.
type Lease struct {
	Granted time.Time // end of those that this term's planner granted, or that earlier ones may have by its first answer
	Former  time.Time // end of those that planners of earlier terms granted, zero if none did or they are covered by Granted
}

// End returns when all leases are over unless they are extended.
func (l Lease) End() time.Time {
	if l.Former.After(l.Granted) {
		return l.Former
	}
	return l.Granted
}

// Left returns how long the leases may last.
func (l Lease) Left(now time.Time) time.Duration { return max(0, l.End().Sub(now)) }

// OverAt reports whether all leases are over, if the planner's term is known to have been the
// newest one at some time after their end (confirmed): a later planner may have extended them.
func (l Lease) OverAt(now time.Time, confirmed bool) bool { return now.After(l.End()) && confirmed }
