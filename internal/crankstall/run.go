// Package crankstall decides from reported progress whether a run stands still. It does no
// I/O and reads no clock.
package crankstall

import "time"

// Run is the progress of a run as its worker reports it. A worker that does not answer
// reports nothing, which says nothing of the run.
type Run struct {
	Urgent     bool
	Expected   time.Duration // of the whole run
	Waited     time.Duration // since a report last brought progress of the run or of any member of its gang
	Still      time.Duration // certainly without progress of this run: from the last report with progress to the sending of the request for the newest one, which may show the state at that time
	GangStill  time.Duration // likewise for all members of its gang; Still for other runs
	PeersAhead float64       // percent by which a member of its gang that has progressed since is ahead, at most
	Stalls     int           // earlier runs of the task, or its gang, that were taken to stand still
}

const (
	limit         = 2500 * time.Millisecond // a run without progress for longer stands still
	limitShare    = 0.06                    // of its expected time, if that is longer
	urgentLimit   = 1 * time.Second         // likewise for urgent runs, which have about this much slack
	memberLimit   = 1500 * time.Millisecond // likewise for a gang member while others move
	resolution    = 0.01                    // workers report whole percents
	mostStretched = 30                      // a straggler without its data takes 20 times its expected time; slow workers add to that
	usualStalls   = 1                       // at workers where tasks stand still; a task that stalls more often makes slow progress
	mostDoublings = 6
	peersAhead    = 10 // percent by which others are ahead of a member that stands still; the work of members differs
)

// Limit returns how long a run may make no progress. It doubles with each stall of a task beyond
// usualStalls, since workers report whole percents: a task that takes many times what is expected
// shows none for longer than any limit.
func (r Run) Limit() time.Duration {
	return r.patience() * max(limit, time.Duration(limitShare*float64(r.Expected)))
}

// patience returns the factor by which limits are longer than usual.
func (r Run) patience() time.Duration {
	return 1 << min(max(0, r.Stalls-usualStalls), mostDoublings)
}

// Stalled reports whether a run stands still.
func (r Run) Stalled() bool { return r.Waited >= r.Limit() }

// StalledEarly is Stalled, sooner for urgent runs and for gang members that others have
// left behind. Even a straggler shows progress by then.
//
// Load pattern: tasks on a few workers stand still while urgent gangs keep starting there.
// The other members of such a gang move on until they wait for the one that does not.
func (r Run) StalledEarly() bool {
	oneStep := time.Duration(resolution * mostStretched * float64(r.Expected))
	switch {
	case r.Stalled():
		return true
	case r.PeersAhead >= peersAhead && r.Still >= min(r.patience()*max(memberLimit, oneStep), r.Limit()):
		return true
	}
	return r.Urgent && r.GangStill >= min(r.patience()*max(urgentLimit, oneStep), r.Limit())
}
