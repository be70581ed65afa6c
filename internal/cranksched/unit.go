package cranksched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankorder"
	"cranberrycrank/internal/crankpack"
)

// rank orders units; lower ranks are placed first.
type rank int

// Ranks.
const (
	rankOverdueLongRunning rank = iota // waits longer than longRunningOverdueTime
	rankGuaranteed                     // priority 0 within the workspace's guarantee
	rankUrgent                         // priority 0 beyond the guarantee
	rankLongRunning                    // runs until its job is cancelled
	rankPatient                        // all other work
	rankLate                           // past lateFactor times its objective
)

// unit is what is placed together: a gang, or the waiting tasks of one occurrence of
// a step.
type unit struct {
	job          *job
	tasks        []*task
	step         *crank.Step
	rank         rank
	latestStart  time.Time // to meet the job's objective
	waitingSince time.Time // of the longest waiting task
	speed        crankpack.SpeedPreference
}

// waitingUnits returns the units that are ready and not placed, in order of
// placement.
func (s *Scheduler) waitingUnits(now time.Time) []unit {
	s.openDue(now)
	s.guaranteed = s.withinGuarantee(now)
	overdue := s.writeOverdue(now)
	var units []unit
	for _, j := range s.jobs {
		if j.ending() {
			continue
		}
		for _, o := range j.open {
			for i := range j.spec.Steps {
				if tasks := s.startable(o.waiting(i), overdue); len(tasks) > 0 && o.ready(i, now) {
					for _, some := range byOverdue(tasks, now) {
						u := newUnit(j, some, s.guaranteed[j.spec.Workspace], now)
						u.latestStart = s.latestStart(j)
						units = append(units, u)
					}
				}
			}
		}
	}
	if s.Planning.Adaptive {
		return s.inOrder(units, now)
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			a.latestStart.Compare(b.latestStart),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.tasks[0].ordinal, b.tasks[0].ordinal),
		)
	})
	return units
}

// inOrder returns units in the order of crankorder.Compare.
func (s *Scheduler) inOrder(units []unit, now time.Time) []unit {
	type entry struct {
		crankorder.Unit
		u unit
	}
	type place struct {
		pool, workspace string
		rank            rank
	}
	entries := make([]entry, len(units))
	overdue := longestLate(units, now)
	for _, i := range overdue {
		units[i].rank = rankPatient
	}
	neglected := s.neglected(units, now)
	first := make(map[place]int) // unit of a neglected workspace in a rank
	for i, u := range units {
		spec := u.job.spec
		e := crankorder.Unit{
			Rank: int(u.rank), Priority: spec.Priority, Slack: s.slack(u, usual, now), SlackKnown: u.mayBeDeferred() && !(u.rank == rankPatient && s.reserving[stepKey(u.tasks[0])]),
			Objective: spec.CompletionTarget(), Job: spec.ID, Ordinal: u.tasks[0].ordinal,
		}
		u.speed = crankorder.Speed(u.rank == rankGuaranteed || u.rank == rankUrgent, e.Slack, usual(s.expectedRun(u.job, u.step)))
		entries[i] = entry{e, u}
		if workspace, ok := neglected[spec.Pool]; !ok || workspace != spec.Workspace || !u.mayBeDeferred() || now.Sub(u.waitingSince) < crankorder.NeglectWait {
			continue
		}
		key := place{spec.Pool, spec.Workspace, u.rank}
		if f, ok := first[key]; !ok || crankorder.Compare(e, entries[f].Unit) < 0 {
			first[key] = i
		}
	}
	for _, i := range first {
		entries[i].Preferred = true
	}
	for _, i := range overdue {
		entries[i].Preferred = true
	}
	slices.SortFunc(entries, func(a, b entry) int { return crankorder.Compare(a.Unit, b.Unit) })
	for i, e := range entries {
		units[i] = e.u
	}
	return units
}

// mayBeDeferred reports whether the unit may go behind others of its rank because it can't be
// in time, unless it is patient work that had a reservation in the last round: what it waits
// for would go to smaller work that comes later, for as long as that comes. Work within a guarantee is due at once, whatever its objective; recurring jobs
// have none that counts from their submission.
func (u unit) mayBeDeferred() bool {
	return u.rank != rankGuaranteed && !u.step.LongRunning && u.job.spec.Repeat.Times == 0
}

// neglected returns the workspace of each pool that is served worst, if one is served much
// worse than the others.
func (s *Scheduler) neglected(units []unit, now time.Time) map[string]string {
	services := make(map[string]map[string]*crankorder.Service) // by pool and workspace
	for _, u := range units {
		if now.Sub(u.waitingSince) < crankorder.NeglectWait {
			continue
		}
		spec := u.job.spec
		of := services[spec.Pool]
		if of == nil {
			of = make(map[string]*crankorder.Service)
			services[spec.Pool] = of
		}
		if of[spec.Workspace] == nil {
			of[spec.Workspace] = &crankorder.Service{Workspace: spec.Workspace}
		}
		of[spec.Workspace].Waiting += u.step.ReservedCapacity().Times(len(u.tasks)).Cores()
	}
	if len(services) == 0 {
		return nil
	}
	for _, w := range s.workers {
		of := services[w.entry.Pool]
		if of == nil {
			continue
		}
		var last *job
		var service *crankorder.Service // of last
		for _, p := range w.placements {
			if p.task == nil {
				continue
			}
			if j := p.task.job; j != last {
				last, service = j, of[j.spec.Workspace]
				if service == nil {
					service = &crankorder.Service{Workspace: j.spec.Workspace}
					of[j.spec.Workspace] = service
				}
			}
			service.Held += p.demand.Cores()
		}
	}
	neglected := make(map[string]string)
	for pool, of := range services {
		all := make([]crankorder.Service, 0, len(of))
		for _, v := range of {
			all = append(all, *v)
		}
		if workspace, ok := crankorder.Neglected(all); ok {
			neglected[pool] = workspace
		}
	}
	return neglected
}

// longestLate returns the unit of rankLate in each pool that has waited longest, and longer than
// maxLateWait.
func longestLate(units []unit, now time.Time) map[string]int {
	longest := make(map[string]int)
	for i, u := range units {
		if u.rank != rankLate || now.Sub(u.waitingSince) <= maxLateWait {
			continue
		}
		if l, ok := longest[u.job.spec.Pool]; !ok || u.waitingSince.Before(units[l].waitingSince) {
			longest[u.job.spec.Pool] = i
		}
	}
	return longest
}

// byOverdue separates the long-running tasks of a step that are overdue from the others:
// tasks that were preempted are not overdue because another one does not fit.
func byOverdue(tasks []*task, now time.Time) [][]*task {
	if st := tasks[0].step; !st.LongRunning || st.Gang {
		return [][]*task{tasks}
	}
	var overdue, others []*task
	for _, t := range tasks {
		if now.Sub(t.waitingSince) > longRunningOverdueTime {
			overdue = append(overdue, t)
		} else {
			others = append(others, t)
		}
	}
	return slices.DeleteFunc([][]*task{overdue, others}, func(some []*task) bool { return len(some) == 0 })
}

// startable returns the waiting tasks of a step that may be started now: those that
// can't be running at a worker not accounted for and, while a write is overdue, only those
// whose start it has allowed at any worker. A gang is started whole.
func (s *Scheduler) startable(waiting []*task, writeOverdue bool) []*task {
	if len(waiting) == 0 || (len(s.unaccounted) == 0 && !writeOverdue) {
		return waiting
	}
	gang, all := waiting[0].step.Gang, len(waiting)
	tasks := slices.DeleteFunc(waiting, func(t *task) bool { return s.isHeld(t) || (writeOverdue && !(t.mayRun && t.recorded == 0)) })
	if gang && len(tasks) < all {
		return nil
	}
	return tasks
}

// isHeld reports whether a task may be running at a worker that is not accounted for.
func (s *Scheduler) isHeld(t *task) bool {
	if !t.held || t.recorded == 0 {
		return t.held && len(s.unaccounted) > 0
	}
	_, unaccounted := s.unaccounted[s.roster.named[t.recorded]]
	return unaccounted
}

// mayRunUnseen reports whether a task of a job may be running at a worker not accounted for.
func (s *Scheduler) mayRunUnseen(j *job) bool {
	if len(s.unaccounted) == 0 {
		return false
	}
	for _, o := range j.open {
		if slices.ContainsFunc(o.tasks, s.isHeld) {
			return true
		}
	}
	return false
}

// mayPreempt reports whether other work may be stopped for the unit, see preempt.
func (u unit) mayPreempt() bool {
	return u.rank == rankGuaranteed || u.rank == rankUrgent || (u.rank == rankOverdueLongRunning && u.step.Latency > 0)
}

func newUnit(j *job, tasks []*task, guaranteed bool, now time.Time) unit {
	objective := j.spec.CompletionTarget()
	u := unit{job: j, tasks: tasks, step: tasks[0].step, waitingSince: tasks[0].waitingSince}
	for _, t := range tasks {
		if t.waitingSince.Before(u.waitingSince) {
			u.waitingSince = t.waitingSince
		}
	}
	switch {
	case j.spec.Priority == 0 && guaranteed:
		u.rank = rankGuaranteed
	case now.Sub(j.firstSeen) > lateFactor*objective && !u.step.LongRunning && j.spec.Repeat.Times == 0:
		u.rank = rankLate
	case j.spec.Priority == 0:
		u.rank = rankUrgent
	case u.step.LongRunning && now.Sub(u.waitingSince) > longRunningOverdueTime:
		u.rank = rankOverdueLongRunning
	case u.step.LongRunning:
		u.rank = rankLongRunning
	default:
		u.rank = rankPatient
	}
	return u
}

// isOverdueLatency reports whether best-effort tasks may make way for the unit.
func (u unit) isOverdueLatency(now time.Time) bool {
	return u.step.Latency > 0 && u.step.LongRunning && now.Sub(u.waitingSince) > longRunningOverdueTime
}

// withinGuarantee returns the workspaces whose priority 0 jobs need at most their
// guaranteed accelerators.
func (s *Scheduler) withinGuarantee(now time.Time) map[string]bool {
	needs := make(map[string]int)
	for _, j := range s.jobs {
		if j.spec.Priority == 0 && !j.ending() {
			needs[j.spec.Workspace] += j.acceleratorDemand(now)
		}
	}
	config := s.Operator.View().Config
	within := make(map[string]bool, len(needs))
	for workspace, need := range needs {
		within[workspace] = need <= config.Guaranteed(workspace)
	}
	return within
}

// acceleratorDemand returns what the unfinished tasks of ready steps need.
func (j *job) acceleratorDemand(now time.Time) int {
	sum := 0
	for _, o := range j.open {
		for i, st := range j.spec.Steps {
			if st.Demand.Accelerators == 0 || !o.ready(i, now) {
				continue
			}
			for _, t := range o.step(i) {
				if !t.done {
					sum += st.Demand.Accelerators
				}
			}
		}
	}
	return sum
}

// request asks for workers for tasks of the unit. Until the unit has waited for
// avoidTime, it avoids workers where one of the tasks failed; after that, any worker
// is better than none.
func (u unit) request(tasks []*task, now time.Time) crankpack.Request {
	q := crankpack.Request{StepKey: stepKey(tasks[0]), Step: *u.step, Tasks: len(tasks), Speed: u.speed}
	if now.Sub(u.waitingSince) > avoidTime {
		return q
	}
	avoided := make(map[string]bool)
	for _, t := range tasks {
		maps.Copy(avoided, t.avoided)
	}
	if len(avoided) > 0 {
		q.Avoid = func(worker string) bool { return avoided[worker] }
	}
	return q
}
