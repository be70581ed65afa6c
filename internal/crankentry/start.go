package crankentry

import (
	"context"
	"math/rand/v2"
	"time"

	"cranberrycrank/internal/crankfeed"
)

// Timing of the first load of the job topic.
const (
	// loadShare is the time in which one instance at a time may load the job topic: 2 MB from a
	// store that serves 80 MB/s to all.
	loadShare    = 25 * time.Millisecond
	termLoadWait = 200 * time.Millisecond // longest wait for the term topic, which tells the number of instances
	startPoll    = 10 * time.Millisecond
)

// spreadLoad waits before the job topic is loaded while all instances of a large fleet start
// together. It returns at once where heartbeats state no number of instances, and early
// when this instance leads, which needs the topic first, or when the leader that was found is alive.
//
// Load pattern: 300 instances that were killed together load 2 MB each. All at once, none has
// them before 7.5 s, and the new leader can't take over until then.
func (e *Entry) spreadLoad(ctx context.Context) {
	begun := time.Now()
	for !e.elector.Loaded() && time.Since(begun) < termLoadWait && ctx.Err() == nil {
		crankfeed.Sleep(ctx, startPoll)
	}
	n := e.elector.StatedInstances()
	if n == 0 {
		return
	}
	foundTerm, found := e.elector.NewestHeartbeat()
	delay := rand.N(time.Duration(n) * loadShare)
	for time.Since(begun) < delay && ctx.Err() == nil && e.scheduler.Load() == nil {
		if term, count := e.elector.NewestHeartbeat(); term == foundTerm && count > found {
			return
		}
		crankfeed.Sleep(ctx, startPoll)
	}
	e.Logger.Info("entry: job topic is loaded", "instances", n, "delay", time.Since(begun).Round(time.Millisecond))
}
