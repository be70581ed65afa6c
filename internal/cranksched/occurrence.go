package cranksched

import (
	"cmp"
	"slices"
	"time"

	crank "cranberrycrank"
)

// occurrence holds the tasks of one occurrence of a job. It exists from the time when
// the occurrence is due until it is done, so that a recurring job takes memory and time
// for its due work only.
type occurrence struct {
	job       *job
	number    int
	tasks     []*task
	remaining int // tasks that are not done
}

// openDue adds the occurrences that have come due, those first that did so first, and
// removes those that are done. Memory limits them: the only open occurrence of each job
// by the budget, since the memory for one is set aside when a job is accepted, and all
// others by half of the budget.
func (s *Scheduler) openDue(now time.Time) {
	only, others := memoryLimit{limit: s.Budget.Bytes}, memoryLimit{limit: s.Budget.Bytes / 2}
	var due []*job
	for _, j := range s.jobs {
		j.closeDone()
		if n := int64(len(j.open)); n > 0 {
			only.used += j.occurrenceBytes
			others.used += (n - 1) * j.occurrenceBytes
		}
		if !j.ending() && j.isDue(now) {
			due = append(due, j)
		}
	}
	for len(due) > 0 {
		slices.SortFunc(due, func(a, b *job) int {
			return cmp.Or(a.nextDue().Compare(b.nextDue()), cmp.Compare(a.spec.ID, b.spec.ID))
		})
		var more []*job
		for _, j := range due {
			limit := &only
			if len(j.open) > 0 {
				limit = &others
			}
			if !limit.take(j.occurrenceBytes) {
				continue
			}
			j.openOccurrence(j.next)
			if j.isDue(now) {
				more = append(more, j)
			}
		}
		due = more
	}
	if held := only.full || others.full; held != s.heldBack {
		s.heldBack = held
		s.Logger.Warn("sched: memory for due occurrences", "held-back", held, "used", only.used+others.used, "budget", s.Budget.Bytes)
	}
}

// memoryLimit is a limit on memory. Once something did not fit, nothing later does.
type memoryLimit struct {
	limit int64 // 0 for none
	used  int64
	full  bool
}

// take uses some of the memory if there is room for it. The first always fits.
func (m *memoryLimit) take(bytes int64) bool {
	m.full = m.full || (m.limit > 0 && m.used > 0 && m.used+bytes > m.limit)
	if !m.full {
		m.used += bytes
	}
	return !m.full
}

// nextDue returns when the next occurrence came due.
func (j *job) nextDue() time.Time {
	if j.spec.Repeat.Times == 0 {
		return j.firstSeen
	}
	return j.spec.Due(j.next)
}

// isDue reports whether the next occurrence has come due.
func (j *job) isDue(now time.Time) bool {
	return j.next < j.spec.Occurrences() && !now.Before(j.spec.Due(j.next))
}

// skipOpen moves next over occurrences that are done or open.
func (j *job) skipOpen() {
	for j.next < j.spec.Occurrences() && (j.open[j.next] != nil || j.isDone(j.next)) {
		j.next++
	}
}

// openOccurrence makes the tasks of an occurrence.
func (j *job) openOccurrence(number int) *occurrence {
	perOccurrence := j.spec.TasksPerOccurrence()
	o := &occurrence{job: j, number: number, tasks: make([]*task, 0, perOccurrence)}
	tasks := make([]task, perOccurrence)
	for i := range j.spec.Steps {
		for n := range j.spec.Steps[i].Tasks {
			t := &tasks[len(o.tasks)]
			*t = j.newTask(crank.TaskID{Job: j.spec.ID, Occurrence: number, Step: i, Index: n}, number*perOccurrence+len(o.tasks))
			t.occurrence = o
			if !t.done {
				o.remaining++
			}
			o.tasks = append(o.tasks, t)
		}
	}
	j.open[number] = o
	j.skipOpen()
	return o
}

func (j *job) newTask(id crank.TaskID, ordinal int) task {
	t := task{
		job:          j,
		id:           id,
		ordinal:      ordinal,
		step:         &j.spec.Steps[id.Step],
		done:         j.progress.IsDone(ordinal, j.spec.TasksPerOccurrence()),
		waitingSince: j.firstSeen,
	}
	if due := j.spec.Due(id.Occurrence); due.After(t.waitingSince) {
		t.waitingSince = due
	}
	t.mayRun = j.progress.MayRun(ordinal, j.spec.TasksPerOccurrence())
	t.held = j.inherited && t.mayRun && !t.done
	t.recorded, t.placeStored = j.progress.Place(ordinal, j.spec.TasksPerOccurrence()), true
	t.checkpoint = j.progress.Checkpoints[t.checkpointOrdinal()]
	for _, run := range j.progress.Failures[ordinal] {
		t.lastRun = max(t.lastRun, run)
	}
	return t
}

// isDone reports whether all tasks of an occurrence are done.
func (j *job) isDone(number int) bool {
	perOccurrence := j.spec.TasksPerOccurrence()
	for n := range perOccurrence {
		if !j.progress.IsDone(number*perOccurrence+n, perOccurrence) {
			return false
		}
	}
	return true
}

// closeDone removes the open occurrences that are done and have no placements.
func (j *job) closeDone() {
	for number, o := range j.open {
		if o.remaining == 0 && !o.hasPlacements() {
			delete(j.open, number)
		}
	}
}

func (o *occurrence) hasPlacements() bool {
	for _, t := range o.tasks {
		if t.placement != nil {
			return true
		}
	}
	return false
}

// step returns the tasks of a step.
func (o *occurrence) step(i int) []*task {
	first := o.job.stepOffsets[i]
	return o.tasks[first : first+o.job.spec.Steps[i].Tasks]
}

// ready reports whether the occurrence is due and the steps that a step depends on are
// done.
func (o *occurrence) ready(step int, now time.Time) bool {
	if now.Before(o.job.spec.Due(o.number)) {
		return false
	}
	for _, a := range o.job.spec.Steps[step].After {
		for _, t := range o.step(a) {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// startWaits counts the waits of the tasks whose turn comes with the end of a step from now
// on.
func (o *occurrence) startWaits(ended int, now time.Time) {
	for i, st := range o.job.spec.Steps {
		if !slices.Contains(st.After, ended) || !o.ready(i, now) {
			continue
		}
		for _, t := range o.step(i) {
			t.waitingSince = now
		}
	}
}

// waiting returns the tasks of a step that have no placement; none of a gang while a
// member has one.
func (o *occurrence) waiting(step int) []*task {
	all := o.step(step)
	var tasks []*task
	for _, t := range all {
		if !t.done && t.placement == nil {
			if tasks == nil {
				tasks = make([]*task, 0, len(all))
			}
			tasks = append(tasks, t)
		}
	}
	if o.job.spec.Steps[step].Gang && len(tasks) != len(all) {
		return nil
	}
	return tasks
}
