package crankproof

import (
	"context"
	"fmt"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/standin/crankfakelog"
	"cranberrycrank/standin/crankfakeworker"

	"pgregory.net/rapid"
)

// faultKind names something that goes wrong, or is mended.
type faultKind string

const (
	faultKill        faultKind = "kill"               // an instance dies and an empty one takes its place
	faultKillAll     faultKind = "kill-all"           // all instances at once
	faultStop        faultKind = "stop"               // an instance shuts down gracefully
	faultCutLog      faultKind = "cut-log"            // one instance loses the log
	faultCutWorkers  faultKind = "cut-workers"        // one instance loses all workers
	faultFreeze      faultKind = "freeze"             // one instance is paused
	faultLogDown     faultKind = "log-down"           // the log is down for all
	faultLogSlow     faultKind = "log-slow"           // the log is slow for all
	faultLogLoses    faultKind = "log-loses"          // appends take effect, their answers are lost
	faultLogLate     faultKind = "log-late"           // answers come late
	faultListDown    faultKind = "list-down"          // the instance list is down
	faultWorkerDies  faultKind = "worker-dies"        // a worker restarts
	faultWorkerHangs faultKind = "worker-hangs"       // a worker answers nothing
	faultWorkerLoses faultKind = "worker-loses"       // a worker acts, but its answers are lost
	faultWorkerStart faultKind = "worker-loses-start" // a worker starts, but its answers to starts are lost
	faultWorkerNoRun faultKind = "worker-refuses-starts"
	faultWorkerFails faultKind = "worker-fails" // a worker fails all it starts
	faultWorkerGone  faultKind = "worker-gone"  // a worker can't be reached
	faultWorkerCuts  faultKind = "worker-cuts"  // a worker sends half of its answers
	faultLeave       faultKind = "leave"        // a worker starts to leave
	faultZoneOut     faultKind = "zone-out"
	faultZoneIn      faultKind = "zone-in"
	faultZoneRace    faultKind = "zone-race" // two operators race out and in
	faultPublish     faultKind = "publish"   // two operators race to publish
)

var faultKinds = []faultKind{
	faultKill, faultKillAll, faultStop, faultCutLog, faultCutWorkers, faultFreeze,
	faultLogDown, faultLogSlow, faultLogLoses, faultLogLate, faultListDown,
	faultWorkerDies, faultWorkerHangs, faultWorkerLoses, faultWorkerFails, faultWorkerGone, faultWorkerCuts, faultWorkerStart, faultWorkerNoRun,
	faultLeave, faultZoneOut, faultZoneIn, faultZoneRace, faultPublish,
}

// step is one thing that happens in a session.
type step struct {
	after   time.Duration // since the step before
	fault   faultKind     // or empty for a request
	target  int
	lasts   time.Duration
	profile int
	twice   bool
	run     time.Duration
}

// String describes a step for the report of a failing session.
func (s step) String() string {
	if s.fault == "" {
		return fmt.Sprintf("+%s request profile=%d at=%d twice=%t run=%s", s.after, s.profile, s.target, s.twice, s.run)
	}
	return fmt.Sprintf("+%s %s target=%d lasts=%s", s.after, s.fault, s.target, s.lasts)
}

// drawSteps draws a session of requests and faults.
func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{
			after:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond,
			target: rapid.IntRange(0, 5).Draw(t, "target"),
		}
		if rapid.Bool().Draw(t, "request") {
			s.profile = rapid.IntRange(0, 3).Draw(t, "profile")
			s.twice = rapid.Bool().Draw(t, "twice")
			s.run = time.Duration(rapid.IntRange(10, 6000).Draw(t, "run")) * time.Millisecond
			return s
		}
		s.fault = rapid.SampledFrom(faultKinds).Draw(t, "fault")
		s.lasts = time.Duration(rapid.IntRange(100, 25000).Draw(t, "lasts")) * time.Millisecond
		return s
	}), 1, 25).Draw(t, "steps")
}

// inject makes a fault happen and lets it end by itself.
func (c *cluster) inject(s step) {
	switch s.fault {
	case faultKill:
		c.replace(c.pickID(s.target))
	case faultKillAll:
		for _, id := range c.entryIDs() {
			c.kill(id)
		}
		for _, id := range c.home {
			c.startEntry(id)
		}
	case faultStop:
		c.stopAndReplace(c.pickID(s.target))
	case faultCutLog:
		e := c.pick(s.target)
		e.toLog.setCut(true)
		c.later(s.lasts, func() { e.toLog.setCut(false) })
	case faultCutWorkers:
		e := c.pick(s.target)
		e.toWork.setCut(true)
		c.later(s.lasts, func() { e.toWork.setCut(false) })
	case faultFreeze:
		e := c.pick(s.target)
		e.toLog.freeze()
		e.toWork.freeze()
		c.later(s.lasts, func() { e.toLog.thaw(); e.toWork.thaw() })
	default:
		c.injectOutside(s)
	}
}

// injectOutside makes a fault of the platform happen, or an operator act.
func (c *cluster) injectOutside(s step) {
	logFaults := map[faultKind]crankfakelog.Faults{
		faultLogDown:  {Down: true},
		faultLogSlow:  {Delay: 300 * time.Millisecond},
		faultLogLoses: {LoseAnswer: true},
		faultLogLate:  {LateAnswer: 900 * time.Millisecond},
	}
	workerFaults := map[faultKind]crankfakeworker.Faults{
		faultWorkerHangs: {Hang: true},
		faultWorkerLoses: {LoseAnswer: true},
		faultWorkerFails: {FailAll: true},
		faultWorkerGone:  {Unreached: true},
		faultWorkerStart: {LoseStart: true},
		faultWorkerNoRun: {NoStart: true},
		faultWorkerCuts:  {CutAnswers: true},
	}
	if f, ok := logFaults[s.fault]; ok {
		c.log.SetFaults(f)
		c.later(s.lasts, func() { c.log.SetFaults(crankfakelog.Faults{}) })
		return
	}
	id := c.workerID(s.target)
	if f, ok := workerFaults[s.fault]; ok {
		c.workers[id].SetFaults(f)
		c.later(s.lasts, func() { c.workers[id].SetFaults(crankfakeworker.Faults{}) })
		return
	}
	zone := c.zoneName(s.target)
	switch s.fault {
	case faultListDown:
		c.list.SetDown(true)
		c.later(s.lasts, func() { c.list.SetDown(false) })
	case faultWorkerDies:
		c.restartWorker(id)
	case faultLeave:
		if c.leaving == "" {
			c.leaving = id
			c.list.Leave(id)
			c.history.leave(id, time.Now())
		}
	case faultZoneOut:
		c.background(func() { c.setZone(s.target, zone, true) })
	case faultZoneIn:
		c.background(func() { c.setZone(s.target, zone, false) })
	case faultZoneRace:
		c.background(func() { c.setZone(s.target, zone, true) })
		c.background(func() { c.setZone(s.target+1, zone, false) })
	case faultPublish:
		c.background(func() { c.publish(s.target) })
		c.background(func() { c.publish(s.target + 1) })
	}
}

// setZone acts as an operator does. Only an accepted change is noted, at the
// time of its acceptance; after an unknown answer the change is repeated.
func (c *cluster) setZone(at int, zone string, out bool) {
	for range 20 {
		if e := c.pick(at); e != nil && c.trySetZone(e, zone, out) {
			return
		}
		at++
		time.Sleep(time.Second)
	}
}

// trySetZone notes a zone as out from the moment its leaving was accepted, and
// as in from the moment its return may have taken effect.
func (c *cluster) trySetZone(e *entry, zone string, out bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTry)
	defer cancel()
	base := e.node.State().Zone(zone).Changed
	begun := time.Now()
	confirmation, err := e.node.SetZone(ctx, crankrecord.Zone{Zone: zone, Out: out, Base: base, Force: out})
	switch {
	case err == nil && out:
		c.noteZone(zoneChange{at: confirmation.Accepted, zone: zone, out: true}, confirmation.Position)
	case err == nil:
		c.noteZone(zoneChange{at: begun, zone: zone}, confirmation.Position)
	case !out && crank.KindOf(err) == crank.KindUnknown:
		c.history.changeZone(zoneChange{at: begun, zone: zone})
	}
	return err == nil || crank.KindOf(err) == crank.KindConflict
}

// publish acts as an operator who changes the configuration.
func (c *cluster) publish(at int) {
	e := c.pick(at)
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTry)
	defer cancel()
	config := e.node.State().Config
	confirmation, err := e.node.Publish(ctx, config.Version, config)
	if err == nil {
		c.history.acceptVersion(versionAccepted{at: confirmation.Accepted, version: confirmation.Version})
	}
}
