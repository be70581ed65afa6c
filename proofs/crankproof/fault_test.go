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

// faultKind names a fault or an operator action in the sessions under testdata.
type faultKind string

const (
	faultKill                      faultKind = "kill"        // an instance crashes and is replaced by one with empty state
	faultKillAll                   faultKind = "kill-all"    // the same for all instances at once
	faultStop                      faultKind = "stop"        // an instance is stopped gracefully and replaced
	faultCutLog                    faultKind = "cut-log"     // one instance loses the log
	faultCutWorkers                faultKind = "cut-workers" // one instance loses all workers
	faultFreeze                    faultKind = "freeze"      // one instance is suspended
	faultLogDown                   faultKind = "log-down"    // the log is down for all instances
	faultLogSlow                   faultKind = "log-slow"    // every log call takes effect late
	faultLogDropsResponses         faultKind = "log-loses"   // appends take effect, their responses are lost
	faultLogDelaysResponses        faultKind = "log-late"    // responses of log calls come late
	faultListDown                  faultKind = "list-down"
	faultWorkerRestarts            faultKind = "worker-dies"        // a worker restarts and loses its parts
	faultWorkerHangs               faultKind = "worker-hangs"       // a worker responds to no call
	faultWorkerDropsResponses      faultKind = "worker-loses"       // a worker's calls take effect, their responses are lost
	faultWorkerDropsStartResponses faultKind = "worker-loses-start" // the same, for starts only
	faultWorkerRefusesStarts       faultKind = "worker-refuses-starts"
	faultWorkerFails               faultKind = "worker-fails" // all parts of a worker fail
	faultWorkerUnreachable         faultKind = "worker-gone"  // calls to a worker fail without effect
	faultWorkerTruncatesAnswers    faultKind = "worker-cuts"  // a worker sends half of its answers
	faultLeave                     faultKind = "leave"        // a worker is marked as leaving
	faultZoneOut                   faultKind = "zone-out"     // an operator takes a zone out of service
	faultZoneIn                    faultKind = "zone-in"      // an operator puts a zone back
	faultZoneRace                  faultKind = "zone-race"    // two operators change a zone concurrently, out and in
	faultPublish                   faultKind = "publish"      // two operators publish concurrently
)

var faultKinds = []faultKind{
	faultKill, faultKillAll, faultStop, faultCutLog, faultCutWorkers, faultFreeze,
	faultLogDown, faultLogSlow, faultLogDropsResponses, faultLogDelaysResponses, faultListDown,
	faultWorkerRestarts, faultWorkerHangs, faultWorkerDropsResponses, faultWorkerFails, faultWorkerUnreachable, faultWorkerTruncatesAnswers, faultWorkerDropsStartResponses, faultWorkerRefusesStarts,
	faultLeave, faultZoneOut, faultZoneIn, faultZoneRace, faultPublish,
}

// step is one request, fault or operator action of a session.
type step struct {
	after    time.Duration // since the step before
	fault    faultKind     // empty for a request
	target   int           // index of the instance, worker or zone
	duration time.Duration // of a fault
	profile  int           // index, for a request
	twice    bool          // sent to two instances
	run      time.Duration // run time of the job
}

// String formats a step as a line that parseStep reads.
func (s step) String() string {
	if s.fault == "" {
		return fmt.Sprintf("+%s request profile=%d at=%d twice=%t run=%s", s.after, s.profile, s.target, s.twice, s.run)
	}
	return fmt.Sprintf("+%s %s target=%d lasts=%s", s.after, s.fault, s.target, s.duration)
}

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
		s.duration = time.Duration(rapid.IntRange(100, 25000).Draw(t, "lasts")) * time.Millisecond
		return s
	}), 1, 25).Draw(t, "steps")
}

// inject causes the fault of a step and schedules its end.
func (c *cluster) inject(s step) {
	switch s.fault {
	case faultKill:
		c.killAndReplace(c.pickEntryID(s.target))
	case faultKillAll:
		for _, id := range c.entryIDs() {
			c.kill(id)
		}
		for _, id := range c.instanceIDs {
			c.startEntry(id)
		}
	case faultStop:
		c.stopAndReplace(c.pickEntryID(s.target))
	case faultCutLog:
		e := c.pickEntry(s.target)
		e.logLink.setDown(true)
		c.schedule(s.duration, func() { e.logLink.setDown(false) })
	case faultCutWorkers:
		e := c.pickEntry(s.target)
		e.workerLink.setDown(true)
		c.schedule(s.duration, func() { e.workerLink.setDown(false) })
	case faultFreeze:
		e := c.pickEntry(s.target)
		e.logLink.freeze()
		e.workerLink.freeze()
		c.schedule(s.duration, func() { e.logLink.thaw(); e.workerLink.thaw() })
	default:
		c.injectPlatformFault(s)
	}
}

// injectPlatformFault causes a fault of the log, the list or a worker, or an
// operator action.
func (c *cluster) injectPlatformFault(s step) {
	logFaults := map[faultKind]crankfakelog.Faults{
		faultLogDown:            {Down: true},
		faultLogSlow:            {Delay: 300 * time.Millisecond},
		faultLogDropsResponses:  {DropResponse: true},
		faultLogDelaysResponses: {ResponseDelay: 900 * time.Millisecond},
	}
	workerFaults := map[faultKind]crankfakeworker.Faults{
		faultWorkerHangs:               {Hang: true},
		faultWorkerDropsResponses:      {DropResponse: true},
		faultWorkerFails:               {FailAll: true},
		faultWorkerUnreachable:         {Unreachable: true},
		faultWorkerDropsStartResponses: {DropStartResponse: true},
		faultWorkerRefusesStarts:       {RefuseStarts: true},
		faultWorkerTruncatesAnswers:    {TruncateAnswers: true},
	}
	if f, ok := logFaults[s.fault]; ok {
		c.log.SetFaults(f)
		c.schedule(s.duration, func() { c.log.SetFaults(crankfakelog.Faults{}) })
		return
	}
	id := c.workerID(s.target)
	if f, ok := workerFaults[s.fault]; ok {
		c.workers[id].SetFaults(f)
		c.schedule(s.duration, func() { c.workers[id].SetFaults(crankfakeworker.Faults{}) })
		return
	}
	zone := c.zoneName(s.target)
	switch s.fault {
	case faultListDown:
		c.list.SetDown(true)
		c.schedule(s.duration, func() { c.list.SetDown(false) })
	case faultWorkerRestarts:
		c.restartWorker(id)
	case faultLeave:
		if c.leavingWorker == "" {
			c.leavingWorker = id
			c.list.MarkLeaving(id)
			c.history.addLeavingWorker(id, time.Now())
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

// setZone changes a zone as an operator does: it retries until the change is
// accepted or fails with a conflict.
func (c *cluster) setZone(n int, zone string, out bool) {
	for range 20 {
		if e := c.pickEntry(n); e != nil && c.trySetZone(e, zone, out) {
			return
		}
		n++
		time.Sleep(time.Second)
	}
}

// trySetZone reports whether the operator has a definite answer. It records a
// zone as out from the acceptance of the change, and as in from the earliest time
// at which the change may have taken effect.
func (c *cluster) trySetZone(e *entry, zone string, out bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	base := e.node.State().Zone(zone).Changed
	start := time.Now()
	confirmation, err := e.node.SetZone(ctx, crankrecord.Zone{Zone: zone, Out: out, Base: base, Force: out})
	switch {
	case err == nil && out:
		c.recordZoneChange(zoneChange{at: confirmation.AcceptedAt, zone: zone, out: true}, confirmation.Position)
	case err == nil:
		c.recordZoneChange(zoneChange{at: start, zone: zone}, confirmation.Position)
	case !out && crank.KindOf(err) == crank.KindUnknown:
		c.history.addZoneChange(zoneChange{at: start, zone: zone})
	}
	return err == nil || crank.KindOf(err) == crank.KindConflict
}

// publish republishes the configuration as an operator does.
func (c *cluster) publish(n int) {
	e := c.pickEntry(n)
	if e == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	config := e.node.State().Config
	confirmation, err := e.node.Publish(ctx, config.Version, config)
	if err == nil {
		c.history.addAcceptedVersion(acceptedVersion{at: confirmation.AcceptedAt, version: confirmation.Version})
	}
}
