package cranksched

import (
	"maps"
	"slices"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// standing is a job with a task that could run and no run at a worker that answers.
type standing struct {
	job    *job
	task   crank.TaskID
	why    standingReason
	since  time.Time
	worker string    // incarnation that is waited for, or empty
	until  time.Time // when the wait for that worker ends at the latest

	// for lack of capacity
	waiting *task
	room    room
}

type standingReason string

// Reasons why a job stands.
const (
	standsHeld     standingReason = "may run at a worker not accounted for"
	standsSilent   standingReason = "its worker does not answer"
	standsStore    standingReason = "the store does not answer"
	standsBlind    standingReason = "the job topic is not read"
	standsCapacity standingReason = "no capacity"
	standsRack     standingReason = "room on several racks only"
	standsReserved standingReason = "room that other work waits for"
	standsPlanned  standingReason = "its start is not stored yet"
)

// standingReasons holds all reasons.
var standingReasons = []standingReason{standsHeld, standsSilent, standsStore, standsBlind, standsCapacity, standsRack, standsReserved, standsPlanned}

// Limits of the lines about jobs that stand.
const (
	standingLogDelay = 2 * time.Second  // a job that stands longer is logged
	standingLogAgain = 10 * time.Second // and again after so long
	maxStandingLines = 20               // at a time
	maxNamedWorkers  = 5
)

// standingOf returns why a job stands, or false if it does not.
func (s *Scheduler) standingOf(j *job, now time.Time) (standing, bool) {
	var waiting, planned, silent *task
	for _, o := range j.open {
		for i := range j.spec.Steps {
			if !o.ready(i, now) {
				continue
			}
			for _, t := range o.step(i) {
				switch {
				case t.done:
				case t.placement == nil && (waiting == nil || t.waitingSince.Before(waiting.waitingSince)):
					waiting = t
				case t.placement == nil:
				case t.placement.state == statePlanned:
					planned = t
				case t.placement.worker.failedRenewals == 0:
					return standing{}, false
				case silent == nil:
					silent = t
				}
			}
		}
	}
	switch {
	case silent != nil:
		w := silent.placement.worker
		return standing{job: j, task: silent.id, why: standsSilent, since: w.silentSince, worker: w.incarnation, until: s.leaseOf(w).End()}, true
	case planned != nil:
		return standing{job: j, task: planned.id, why: standsPlanned, since: planned.waitingSince}, true
	case waiting == nil:
		return standing{}, false
	}
	st := standing{job: j, task: waiting.id, why: standsCapacity, since: waiting.waitingSince, waiting: waiting}
	switch {
	case s.isHeld(waiting):
		st.why = standsHeld
		st.worker, st.until = s.heldUntil(waiting)
	case !s.blindAt.IsZero():
		st.why = standsBlind
	case s.storeAway(now):
		st.why = standsStore
	}
	return st, true
}

// standingScope tags metrics with a reason.
func (s *Scheduler) standingScope(why standingReason) tally.Scope {
	return s.Scope.Tagged(map[string]string{"why": string(why)})
}

// storeAway reports whether the store has not answered the last write.
func (s *Scheduler) storeAway(now time.Time) bool {
	return now.Before(s.retryAt) || (s.writing && now.Sub(s.writeBegun) > storeAwayTime)
}

// heldUntil returns the incarnation not accounted for at which a task may run and whose
// lease may last longest, and until when it may.
func (s *Scheduler) heldUntil(t *task) (incarnation string, until time.Time) {
	if i := s.roster.named[t.recorded]; t.recorded != 0 {
		return i, s.unaccounted[i]
	}
	for i, u := range s.unaccounted {
		if incarnation == "" || u.After(until) || (u.Equal(until) && i < incarnation) {
			incarnation, until = i, u
		}
	}
	return incarnation, until
}

// updateStanding logs which jobs stand and why, and counts them.
func (s *Scheduler) updateStanding(now time.Time) {
	count := make(map[standingReason]int)
	var lines []standing
	rooms := newRoomFinder(s, now)
	for _, j := range s.jobs {
		if j.ending() {
			continue
		}
		st, ok := s.standingOf(j, now)
		if !ok {
			continue
		}
		if st.why == standsCapacity && now.Sub(st.since) >= standingLogDelay {
			st.room = rooms.find(st.waiting)
			st.why = st.room.reason()
		}
		count[st.why]++
		if now.Sub(st.since) < standingLogDelay || now.Sub(j.standingLogged) < standingLogAgain || len(lines) == maxStandingLines {
			continue
		}
		j.standingLogged = now
		lines = append(lines, st)
	}
	for _, why := range standingReasons {
		s.standingScope(why).Gauge("jobs_standing").Update(float64(count[why]))
	}
	unschedulable := s.countUnschedulable(now)
	among := slices.Sorted(maps.Keys(s.unaccounted))
	unaccounted := len(among)
	among = among[:min(unaccounted, maxNamedWorkers)]
	longest := now
	for _, until := range s.unaccounted {
		if until.After(longest) {
			longest = until
		}
	}
	termAge := now.Sub(s.begunAt).Round(time.Millisecond)
	go func() { // the planner does not wait for the log
		for _, st := range lines {
			attrs := []any{"job", st.job.spec.ID, "task", st.task, "why", st.why, "for", now.Sub(st.since).Round(time.Millisecond), "workspace", st.job.spec.Workspace}
			if st.worker != "" {
				attrs = append(attrs, "worker", st.worker, "until", st.until.Sub(now).Round(time.Millisecond))
			}
			if st.room.tasks > 0 {
				attrs = append(attrs, "tasks", st.room.tasks, "fit-rack", st.room.Rack, "fit", st.room.Pool, "in-use", st.room.inUse)
			}
			s.Logger.Info("sched: job stands", attrs...)
		}
		if len(lines) > 0 && len(unschedulable) > 0 {
			s.Logger.Info("sched: workers without new tasks", "why", unschedulable)
		}
		if count[standsHeld] > 0 {
			s.Logger.Warn("sched: workers not accounted for yet", "jobs", count[standsHeld], "workers", unaccounted, "among", among,
				"term-age", termAge, "longest", longest.Sub(now).Round(time.Millisecond))
		}
	}()
}
