package crankfleet

import (
	"time"

	crank "cranberrycrank"
)

// FormerLeases tells when the leases are over that planners of earlier terms granted.
type FormerLeases struct {
	End time.Time // at the latest
	// Clocks holds readings of workers' clocks at the last contact of the newest of these
	// planners that was in contact with the store, Bound how long after it leases may last.
	Clocks []crank.WorkerClock
	Bound  time.Duration
	Others time.Time // when leases are over for which there is no reading
}

// WithReading returns the leases after a worker's clock was read. The time that has passed
// on that clock since the last contact is the least that has passed, since it may be slow.
func (f FormerLeases) WithReading(r crank.WorkerClock, at time.Time) FormerLeases {
	for _, c := range f.Clocks {
		passed := time.Duration(r.Ms-c.Ms) * time.Millisecond
		if c.Incarnation != r.Incarnation || passed < 0 {
			continue
		}
		if end := latest(f.Others, at.Add(f.Bound-passed)); end.Before(f.End) {
			f.End = end
		}
	}
	return f
}

// WithOther returns the leases together with some that are over at a time and have no
// reading.
func (f FormerLeases) WithOther(end time.Time) FormerLeases {
	f.Others, f.End = latest(f.Others, end), latest(f.End, end)
	return f
}

// WithContact returns the leases after a later planner was in contact with the store. Those
// of planners before it end sooner than its own.
func (f FormerLeases) WithContact(seen time.Time, bound time.Duration, clocks []crank.WorkerClock) FormerLeases {
	f.Clocks, f.Bound, f.End = clocks, bound, latest(f.Others, seen.Add(bound))
	return f
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
