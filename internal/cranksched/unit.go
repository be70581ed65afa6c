package cranksched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpack"
)

// rank orders units: lower ranks go first.
type rank int

// Ranks.
const (
	rankMissed     rank = iota // lasting tasks that have been missed for a while
	rankGuaranteed             // priority 0 within the workspace's guarantee
	rankUrgent                 // priority 0 beyond it
	rankLasting                // runs until it is cancelled, and is missed while it does not
	rankPatient                // may still end in time
	rankLate                   // too late to be worth much
)

// unit is a set of tasks that are placed in one decision: a gang, or the tasks
// of a step that wait.
type unit struct {
	job   *job
	tasks []*task
	step  *crank.Step
	rank  rank
	start time.Time // latest start with which the job may still end in time
	since time.Time
}

// units returns what waits for a place, the most urgent first.
func (s *Scheduler) units(now time.Time) []unit {
	s.within = s.withinGuarantee(now)
	var units []unit
	for _, j := range s.jobs {
		if !j.claimed || j.ending() || (j.inherited && len(s.pending) > 0) {
			continue
		}
		for o := range j.spec.Occurrences() {
			for i := range j.spec.Steps {
				if tasks := j.waiting(o, i); len(tasks) > 0 && j.ready(o, i, now) {
					units = append(units, newUnit(j, tasks, s.within[j.spec.Workspace], now))
				}
			}
		}
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			a.start.Compare(b.start),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.tasks[0].ordinal, b.tasks[0].ordinal),
		)
	})
	return units
}

// waiting returns the tasks of a step that have no place; none of a gang while
// a member still has one.
func (j *job) waiting(occurrence, step int) []*task {
	first, _ := j.spec.Ordinal(crank.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: step})
	all := j.tasks[first : first+j.spec.Steps[step].Tasks]
	var tasks []*task
	for _, t := range all {
		if !t.done && t.place == nil {
			tasks = append(tasks, t)
		}
	}
	if j.spec.Steps[step].Gang && len(tasks) != len(all) {
		return nil
	}
	return tasks
}

// mayPreempt reports whether the unit may stop other work.
func (u unit) mayPreempt() bool { return u.rank == rankGuaranteed || u.rank == rankUrgent }

func newUnit(j *job, tasks []*task, within bool, now time.Time) unit {
	objective := j.spec.Objective()
	u := unit{job: j, tasks: tasks, step: tasks[0].step, since: tasks[0].idle}
	for _, t := range tasks {
		if t.idle.Before(u.since) {
			u.since = t.idle
		}
	}
	u.start = j.seen.Add(objective - j.spec.Chain())
	switch {
	case j.spec.Priority == 0 && within:
		u.rank = rankGuaranteed
	case now.Sub(j.seen) > lateFactor*objective && !u.step.Lasting && j.spec.Repeat.Times == 0:
		u.rank = rankLate
	case j.spec.Priority == 0:
		u.rank = rankUrgent
	case u.step.Lasting && now.Sub(u.since) > missedTime:
		u.rank = rankMissed
	case u.step.Lasting:
		u.rank = rankLasting
	default:
		u.rank = rankPatient
	}
	return u
}

// withinGuarantee returns the workspaces whose jobs of priority 0 need no more
// accelerators than are guaranteed to them.
func (s *Scheduler) withinGuarantee(now time.Time) map[string]bool {
	needs := make(map[string]int)
	for _, j := range s.jobs {
		if j.spec.Priority == 0 && !j.ending() {
			needs[j.spec.Workspace] += j.need(now)
		}
	}
	config := s.Board.View().Config
	within := make(map[string]bool, len(needs))
	for workspace, need := range needs {
		within[workspace] = need <= config.Guaranteed(workspace)
	}
	return within
}

// need returns the accelerators of the steps whose turn has come.
func (j *job) need(now time.Time) int {
	sum := 0
	for o := range j.spec.Occurrences() {
		for i, st := range j.spec.Steps {
			if st.Demand.Accelerators == 0 || !j.ready(o, i, now) {
				continue
			}
			first, _ := j.spec.Ordinal(crank.TaskID{Job: j.spec.ID, Occurrence: o, Step: i})
			for _, t := range j.tasks[first : first+st.Tasks] {
				if !t.done {
					sum += st.Demand.Accelerators
				}
			}
		}
	}
	return sum
}

// request asks for places for tasks of the unit. Workers where one of them
// failed are avoided for a while; then any worker is better than none.
func (u unit) request(tasks []*task, now time.Time) crankpack.Request {
	q := crankpack.Request{Key: stepKey(tasks[0]), Step: *u.step, Tasks: len(tasks)}
	if now.Sub(u.since) > avoidTime {
		return q
	}
	avoided := make(map[string]bool)
	for _, t := range tasks {
		maps.Copy(avoided, t.shun)
	}
	if len(avoided) > 0 {
		q.Avoid = func(worker string) bool { return avoided[worker] }
	}
	return q
}
