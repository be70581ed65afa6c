package crankevidence

import "time"

// Incarnation is what a planner knows in its term of one incarnation of a worker.
type Incarnation struct {
	StartTimeMs int64
	Answers     bool  // the last renewal was answered by it
	Silent      bool  // several renewals in a row were not
	Readable    bool  // the rows of its last answer
	LaterMs     int64 // start time of another one that has answered, 0 for none
	ListedMs    int64 // start time of another one that is listed, 0 for none
	Departed    bool  // it was draining, and its entry was removed sooner than silence explains
	Lease       Lease
}

// WithOther returns the incarnation after another one under its ID has answered. An earlier
// one proves nothing.
func (i Incarnation) WithOther(startTimeMs int64) Incarnation {
	i.LaterMs = max(i.LaterMs, startTimeMs)
	return i
}

// WithListed returns the incarnation after another one was listed under its ID. The entry may
// be of one before it, whose time of day was ahead, and have been stored late: it counts only
// once the incarnation is silent.
func (i Incarnation) WithListed(startTimeMs int64) Incarnation {
	i.ListedMs = max(i.ListedMs, startTimeMs)
	return i
}

// Judge tells whether a run may be at work at the incarnation. Confirmed is as in
// Lease.OverAt.
func (i Incarnation) Judge(now time.Time, confirmed bool) Verdict {
	v := Verdict{leaseLeft: i.Lease.Left(now)}
	switch {
	case i.LaterMs > i.StartTimeMs, i.Silent && i.ListedMs > i.StartTimeMs:
		v.evidence = Restarted
	case i.Answers && i.Readable: // its reports tell
	case !i.Answers && i.Departed:
		v.evidence = Departed
	case i.Lease.OverAt(now, confirmed):
		v.evidence = LeaseOver
	}
	return v
}
