package crankevidence

import "time"

// Incarnation is what a planner knows in its term of one incarnation of a worker.
type Incarnation struct {
	StartTimeMs int64
	Answers     bool  // the last renewal was answered by it
	Readable    bool  // with rows that can all be read
	LaterMs     int64 // start time of another one that is listed or has answered, 0 for none
	Departed    bool  // it was draining, and its entry was removed sooner than silence explains
	Lease       Lease
}

// WithOther returns the incarnation after another start time was seen under its ID. An
// earlier one proves nothing.
func (i Incarnation) WithOther(startTimeMs int64) Incarnation {
	i.LaterMs = max(i.LaterMs, startTimeMs)
	return i
}

// HasRestarted reports whether a later incarnation is known.
func (i Incarnation) HasRestarted() bool { return i.LaterMs > i.StartTimeMs }

// Judge tells whether a run may be at work at the incarnation. Confirmed is as in
// Lease.OverAt.
func (i Incarnation) Judge(now time.Time, confirmed bool) Verdict {
	v := Verdict{leaseLeft: i.Lease.Left(now)}
	switch {
	case i.HasRestarted():
		v.evidence = Restarted
	case i.Answers && i.Readable: // its reports tell
	case !i.Answers && i.Departed:
		v.evidence = Departed
	case i.Lease.OverAt(now, confirmed):
		v.evidence = LeaseOver
	}
	return v
}
