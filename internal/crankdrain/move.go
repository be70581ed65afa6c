// Package crankdrain decides which runs are moved off workers that leave. It does no I/O
// and reads no clock.
package crankdrain

import "time"

// Run is what is known of a run at a worker that leaves.
type Run struct {
	Urgent      bool
	Checkpoints bool          // a stop saves its progress
	LongRunning bool          // it runs until its job is cancelled
	Left        time.Duration // it is as likely to take longer as not
	LeftAtMost  time.Duration // it is unlikely to take longer
}

// stopNotice is how long before a worker may leave its last runs are stopped, besides the
// time of the stop: the order and the report of the end take a call each.
const stopNotice = 400 * time.Millisecond

// Move reports whether to stop a run now, so that it starts elsewhere, at a worker that may
// leave after some time. A stop takes stopTime at most.
//
// Load pattern: many workers are taken away at short notice while the pool is full of urgent
// gangs. A run that is lost with its worker starts again only when its lease is over, unless
// the store shows at once that the worker has left; the other members of its gang are lost
// with it. Workers often stay for longer than they say, so that other work without
// checkpoints, of which a stop saves nothing, keeps its chance to end.
func (r Run) Move(leaves, stopTime time.Duration) bool {
	last := leaves <= stopTime+stopNotice
	switch {
	case r.LongRunning || r.LeftAtMost <= leaves:
		return false
	case r.Urgent:
		return last || r.Left > leaves
	}
	return r.Checkpoints && last
}
