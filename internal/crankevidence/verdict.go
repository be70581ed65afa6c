// Package crankevidence decides what may free a run: whether, by what a planner knows, a run,
// or every run of a worker's incarnation, can't be at work any more. It has no clock, no
// logger and makes no calls.
//
//	answers, entries, leases -> Incarnation -> Verdict on all runs there
//	reports, ends, replies   -> Run         -> Verdict on one run
//
// A missing answer proves nothing, in whatever form: silence, a reset, a refused connection,
// the answer of another worker or of an earlier incarnation at the address, an answer that
// doesn't show who gave it, an entry that has gone. Until the lease is over, only the worker
// itself, its next incarnation or its departure can show an end.
//
// Assumed: an ID has one incarnation at a time, and later ones have later start times unless a
// worker's time of day was set back.
package crankevidence

import "time"

// Evidence is what shows that runs are not at work.
type Evidence string

// Kinds of evidence. Only the first is none.
const (
	None      Evidence = ""
	NotSent   Evidence = "order not sent"
	Refused   Evidence = "order refused"     // and no earlier try without an answer
	Listed    Evidence = "end listed"        // by the worker
	Unlisted  Evidence = "not listed"        // in a complete report that would list it
	Restarted Evidence = "later incarnation" // listed, or has answered
	Departed  Evidence = "departure"         // entry removed sooner than silence explains
	LeaseOver Evidence = "lease over"        // of every planner that may have granted one
)

// Verdict tells whether runs may still be at work. The zero value says that they may.
type Verdict struct {
	evidence  Evidence
	leaseLeft time.Duration
}

// Over reports whether the runs can't be at work any more.
func (v Verdict) Over() bool { return v.evidence != None }

// Evidence returns what shows that.
func (v Verdict) Evidence() Evidence { return v.evidence }

// LeaseLeft returns how long the lease of the runs might have lasted.
func (v Verdict) LeaseLeft() time.Duration { return v.leaseLeft }

// WithLease returns the verdict with what is left of the lease.
func (v Verdict) WithLease(left time.Duration) Verdict {
	v.leaseLeft = max(0, left)
	return v
}
