package cranksched

import (
	"maps"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbook"
)

// job is a job that has not ended, as the planner knows it.
type job struct {
	spec      crank.StepJob
	seen      time.Time // when this planner first saw it
	progress  crankbook.Progress
	claimed   bool // the claim is stored
	inherited bool // an earlier holder may have started tasks of it
	cancelled bool
	closed    bool // it has an outcome
	tasks     []*task
	left      int // tasks that are not done
	running   int // tasks with a place
}

// task is one task of a job.
type task struct {
	job     *job
	id      crank.TaskID
	ordinal int
	step    *crank.Step
	done    bool
	place   *placement
	lastRun int64           // highest number of a run that is known
	saved   string          // newest checkpoint
	shun    map[string]bool // workers where it failed or stood still
	idle    time.Time       // since when it has had no place
}

// runsPerTerm is how many numbers of runs each term has for a task.
const runsPerTerm = 1000

// takeJobs takes in the jobs of the book that changed.
func (s *Scheduler) takeJobs(state crankbook.State, atTakeover bool) {
	for _, e := range state.Since(s.revision) {
		j, known := s.jobs[e.Job.ID]
		switch {
		case known && e.Cancelled() && !j.cancelled:
			j.cancelled = true
			s.Logger.Info("sched: job cancelled", "job", j.spec.ID, "running", j.running)
		case !known && !e.Ended() && !s.dropped[e.Job.ID]:
			s.addJob(e, atTakeover)
		}
	}
	s.revision = state.Revision
	s.changed = true
}

func (s *Scheduler) addJob(e crankbook.Entry, atTakeover bool) {
	j := &job{spec: e.Job, seen: time.Now(), progress: e.Progress, inherited: atTakeover && e.Progress.Claimed}
	j.claimed = e.Progress.Claimed && e.Progress.Term == s.Term
	if age := time.Since(e.Job.Accepted); atTakeover && age > 0 && age < s.Retention {
		j.seen = j.seen.Add(-age)
	}
	j.progress.Failures = maps.Clone(e.Progress.Failures)
	if j.progress.Failures == nil {
		j.progress.Failures = make(map[int][]int64)
	}
	j.progress.Checkpoints = maps.Clone(e.Progress.Checkpoints)
	if j.progress.Checkpoints == nil {
		j.progress.Checkpoints = make(map[int]string)
	}
	j.addTasks()
	s.jobs[e.Job.ID] = j
	if !j.claimed {
		j.progress.Claimed = true
		s.mark(j)
	}
	s.Logger.Info("sched: job taken", "job", j.spec.ID, "queue", j.spec.Queue, "priority", j.spec.Priority, "tasks", len(j.tasks),
		"left", j.left, "inherited", j.inherited, "age", time.Since(j.seen).Round(time.Millisecond))
}

func (j *job) addTasks() {
	for o := range j.spec.Occurrences() {
		for i := range j.spec.Steps {
			for n := range j.spec.Steps[i].Tasks {
				ordinal := len(j.tasks)
				t := &task{
					job:     j,
					id:      crank.TaskID{Job: j.spec.ID, Occurrence: o, Step: i, Index: n},
					ordinal: ordinal,
					step:    &j.spec.Steps[i],
					done:    j.progress.Done.Has(ordinal),
					saved:   j.progress.Checkpoints[ordinal],
					idle:    j.seen,
				}
				for _, run := range j.progress.Failures[ordinal] {
					t.lastRun = max(t.lastRun, run)
				}
				if !t.done {
					j.left++
				}
				j.tasks = append(j.tasks, t)
			}
		}
	}
}

// task returns the task with an identity.
func (j *job) task(id crank.TaskID) *task {
	n, ok := j.spec.Ordinal(id)
	if !ok {
		return nil
	}
	return j.tasks[n]
}

// members returns the tasks of the step's occurrence that a task belongs to.
func (t *task) members() []*task {
	first := t.ordinal - t.id.Index
	return t.job.tasks[first : first+t.step.Tasks]
}

// ready reports whether the steps that come before a step's occurrence are
// done and its time has come.
func (j *job) ready(occurrence, step int, now time.Time) bool {
	if due := j.spec.Due(occurrence); now.Before(due) {
		return false
	}
	for _, a := range j.spec.Steps[step].After {
		first, _ := j.spec.Ordinal(crank.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: a})
		for _, t := range j.tasks[first : first+j.spec.Steps[a].Tasks] {
			if !t.done {
				return false
			}
		}
	}
	return true
}

// ending reports whether tasks of the job are to be stopped.
func (j *job) ending() bool { return j.cancelled || j.closed }

// failures returns the failed runs of a task; a gang's runs fail as one.
func (t *task) failures() int {
	if !t.step.Gang {
		return len(t.job.progress.Failures[t.ordinal])
	}
	runs := make(map[int64]bool)
	for _, m := range t.members() {
		for _, run := range t.job.progress.Failures[m.ordinal] {
			runs[run] = true
		}
	}
	return len(runs)
}

// nextRun returns a number for a run that no holder has used for the tasks.
func (s *Scheduler) nextRun(tasks []*task) int64 {
	run := (s.Term - 1) * runsPerTerm
	for _, t := range tasks {
		run = max(run, t.lastRun)
	}
	return run + 1
}

// finish ends a task as done.
func (s *Scheduler) finish(t *task) {
	if t.done || t.step.Lasting {
		return
	}
	t.done = true
	t.job.left--
	t.job.progress.Done = t.job.progress.Done.With(t.ordinal)
	delete(t.job.progress.Checkpoints, t.ordinal)
	s.mark(t.job)
	if t.job.left == 0 && !t.job.ending() {
		s.close(t.job, crankbook.OutcomeCompleted, "")
	}
}

// failed counts a failed run, once for each number.
func (s *Scheduler) failed(t *task, run int64) {
	for _, r := range t.job.progress.Failures[t.ordinal] {
		if r == run {
			return
		}
	}
	if t.step.Lasting {
		return
	}
	t.job.progress.Failures[t.ordinal] = append(t.job.progress.Failures[t.ordinal], run)
	s.mark(t.job)
	if limit := t.job.spec.Attempts; limit > 0 && t.failures() >= limit && !t.job.ending() {
		s.close(t.job, crankbook.OutcomeFailed, "task "+t.id.String()+" failed too often")
	}
}

func (s *Scheduler) close(j *job, outcome crankbook.Outcome, reason string) {
	j.closed = true
	j.progress.Outcome, j.progress.Reason = outcome, reason
	s.mark(j)
	s.changed = true
	s.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("jobs_ended").Inc(1)
	s.Logger.Info("sched: job ended", "job", j.spec.ID, "outcome", outcome, "reason", reason, "age", time.Since(j.seen).Round(time.Millisecond), "objective", j.spec.Objective())
}

// mark notes that a job's progress is to be written.
func (s *Scheduler) mark(j *job) { s.dirty[j.spec.ID] = j }
