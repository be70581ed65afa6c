package cranksched

import (
	"maps"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankhealth"
	"cranberrycrank/internal/crankjobs"
)

// job is a job that has not ended or still has runs.
type job struct {
	spec            crank.StepJob
	firstSeen       time.Time // by this planner; after a takeover, when it was accepted
	progress        crankjobs.Progress
	claimed         bool // the claim is stored under this term
	ordered         bool // a start order may have been sent in this term
	inherited       bool // an earlier term may have started tasks of it
	cancelled       bool
	hasOutcome      bool
	storedOutcome   crankjobs.Outcome   // in the newest record that is stored
	refused         bool                // by the store: its progress can't be recorded
	open            map[int]*occurrence // by number: the due ones that are not done
	next            int                 // the first occurrence that is neither open nor done
	remaining       int                 // tasks of all occurrences that are not done
	placed          int                 // tasks with a placement
	unrecorded      []*task             // whose place is not in a record yet
	startUnrecorded bool                // that a task has started is not in a record yet
	standingLogged  time.Time           // see updateStanding

	stepOffsets     []int // of the first task of each step in an occurrence
	occurrenceBytes int64 // memory of an open occurrence

	results map[int]crankhealth.Step // of runs, by step; where planning is adaptive
}

type task struct {
	job          *job
	occurrence   *occurrence // nil if it was closed
	id           crank.TaskID
	ordinal      int
	step         *crank.Step
	done         bool
	mayRun       bool // it is stored that a start may have been ordered
	recorded     int  // its place in the newest record, which may not be stored yet; 0 for any
	placeStored  bool // that record is stored
	held         bool // an earlier term may have started it at its recorded place
	placement    *placement
	lastRun      int64           // highest known number
	checkpoint   string          // newest, or empty
	avoided      map[string]bool // workers where it failed, stalled or was refused
	stalls       int             // runs that were stopped for lack of progress
	waitingSince time.Time       // end of its last placement, or when its turn came, as far as this planner knows

	declinedAt time.Time // when it first declined room at workers that are not trusted enough, before waitingSince if it did not
}

// runsPerTerm is the number of run numbers that each term has for a task.
const runsPerTerm = 1000

// syncJobs applies new and cancelled jobs.
func (s *Scheduler) syncJobs(state crankjobs.State, atTakeover bool) {
	var overruled []crankjobs.RecordedJob
	for _, e := range state.ChangedSince(s.revision) {
		if e.Ended() {
			s.publishEnd(e.Job.ID, e.Phase())
		}
		j, known := s.jobs[e.Job.ID]
		if e.Overruled() && known {
			j.progress.Outcome, j.progress.Reason = crankjobs.OutcomeCancelled, ""
			s.markDirty(j)
		} else if e.Overruled() {
			overruled = append(overruled, e)
		}
		switch {
		case known && e.Cancelled() && !j.cancelled:
			j.cancelled = true
			s.Logger.Info("sched: job cancelled", "job", j.spec.ID, "running", j.placed)
		case known || e.Ended() || s.dropped[e.Job.ID]:
		case e.Unreadable:
			s.Logger.Error("sched: job not run, its progress can't be read", "job", e.Job.ID)
		default:
			s.addJob(e, atTakeover)
		}
	}
	if len(overruled) > 0 {
		s.recordCancelled(overruled)
	}
	s.noteWitnessed(state.WitnessedSince(s.revision))
	s.revision = state.Revision
	s.changed = true
}

// addJob adds a job and claims it. At a takeover, its age counts from its acceptance,
// if that time is plausible.
func (s *Scheduler) addJob(e crankjobs.RecordedJob, atTakeover bool) {
	if !s.placesKnown {
		e.Progress.Places = nil
	}
	j := &job{spec: e.Job, firstSeen: time.Now(), progress: e.Progress, inherited: atTakeover && e.Progress.Claimed}
	j.claimed = e.Progress.Claimed && e.Progress.Term == s.Term
	if age := time.Since(e.Job.Accepted); atTakeover && age > 0 && age < s.Retention {
		j.firstSeen = j.firstSeen.Add(-age)
	}
	j.progress.Failures = maps.Clone(e.Progress.Failures)
	if j.progress.Failures == nil {
		j.progress.Failures = make(map[int][]int64)
	}
	j.progress.Checkpoints = maps.Clone(e.Progress.Checkpoints)
	if j.progress.Checkpoints == nil {
		j.progress.Checkpoints = make(map[int]string)
	}
	if j.progress.IsBegunKnown() {
		j.progress = j.progress.WithStarted()
	}
	j.countTasks()
	s.jobs[e.Job.ID] = j
	if j.progress.Pool != "" {
		j.spec.Pool = j.progress.Pool
	}
	s.noteNewest(j)
	if !j.claimed {
		j.progress.Tracked = j.progress.Tracked || !j.progress.Claimed
		j.progress.Claimed = true
		s.markDirty(j)
	}
	s.Logger.Info("sched: job added", "job", j.spec.ID, "queue", j.spec.Queue, "priority", j.spec.Priority, "tasks", j.spec.TasksPerOccurrence()*j.spec.Occurrences(),
		"left", j.remaining, "inherited", j.inherited, "begun", j.progress.Begun, "started", j.progress.Started, "age", time.Since(j.firstSeen).Round(time.Millisecond))
}

// noteNewest notes when the newest job of a pool was first seen.
func (s *Scheduler) noteNewest(j *job) {
	if j.firstSeen.After(s.newestJob[j.spec.Pool]) {
		s.newestJob[j.spec.Pool] = j.firstSeen
	}
}

// countTasks prepares a new job. What its record says of done tasks beside that they are
// done is left out.
func (j *job) countTasks() {
	j.open = make(map[int]*occurrence)
	n := 0
	for _, st := range j.spec.Steps {
		j.stepOffsets = append(j.stepOffsets, n)
		n += st.Tasks
	}
	j.progress = j.progress.Compact(n)
	j.next = j.progress.Finished
	j.skipOpen()
	j.occurrenceBytes = crankjobs.OccurrenceBytes(j.spec)
	j.remaining = n*j.spec.Occurrences() - j.progress.DoneCount(n)
	maps.DeleteFunc(j.progress.Failures, func(ordinal int, _ []int64) bool { return j.progress.IsDone(ordinal, n) })
	maps.DeleteFunc(j.progress.Checkpoints, func(ordinal int, _ string) bool { return j.progress.IsDone(ordinal, n) })
}

// task returns a task, or nil if the job has no such task. It opens the occurrence if
// that has not come due by this instance's clock, since an earlier term may have
// started it. A task of a closed occurrence is done.
func (j *job) task(id crank.TaskID) *task {
	ordinal, ok := j.spec.Ordinal(id)
	if !ok {
		return nil
	}
	o := j.open[id.Occurrence]
	if o == nil && j.isDone(id.Occurrence) {
		t := j.newTask(id, ordinal)
		return &t
	}
	if o == nil {
		o = j.openOccurrence(id.Occurrence)
	}
	return o.step(id.Step)[id.Index]
}

// members returns the tasks of the same step and occurrence.
func (t *task) members() []*task {
	if t.occurrence == nil {
		return []*task{t}
	}
	return t.occurrence.step(t.id.Step)
}

// checkpointOrdinal returns the ordinal under which the task's checkpoint is stored:
// that of the first member for a gang.
func (t *task) checkpointOrdinal() int {
	if t.step.Gang {
		return t.ordinal - t.id.Index
	}
	return t.ordinal
}

// ending reports whether the job's tasks are to be stopped.
func (j *job) ending() bool { return j.cancelled || j.hasOutcome }

// failures counts the failed runs of a task. Gang members share run numbers, so a run
// that fails on several members counts once.
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

// nextRun returns a run number that no planner has used for the tasks.
func (s *Scheduler) nextRun(tasks []*task) int64 {
	run := (s.Term - 1) * runsPerTerm
	for _, t := range tasks {
		run = max(run, t.lastRun)
	}
	return run + 1
}

// finishTask marks a task as done; the last one completes the job.
func (s *Scheduler) finishTask(t *task) {
	if t.done || t.step.LongRunning {
		return
	}
	t.done = true
	t.job.remaining--
	t.occurrence.remaining--
	t.occurrence.startWaits(t.id.Step, time.Now())
	t.job.progress = t.job.progress.WithDone(t.ordinal, t.job.spec.TasksPerOccurrence())
	delete(t.job.progress.Checkpoints, t.ordinal)
	delete(t.job.progress.Failures, t.ordinal)
	s.markDirty(t.job)
	if t.job.remaining == 0 && !t.job.ending() {
		s.setOutcome(t.job, crankjobs.OutcomeCompleted, "")
	}
}

// countFailedRun counts a failed run once, and fails the job when the task has used
// up its attempts. Of a long-running task, which has no limit, it notes a run whose number is
// beyond those of the term, for the next term to go on from.
func (s *Scheduler) countFailedRun(t *task, run int64) {
	runs, limit := t.job.progress.Failures[t.ordinal], t.job.spec.Attempts
	if t.done || slices.Contains(runs, run) || (t.step.LongRunning && run < s.Term*runsPerTerm) {
		return
	}
	if t.step.LongRunning {
		limit = 0
	}
	if limit == 0 {
		runs = nil // only the newest number matters
	}
	t.job.progress.Failures[t.ordinal] = append(runs[:len(runs):len(runs)], run)
	s.markDirty(t.job)
	if limit > 0 && t.failures() >= limit && !t.job.ending() {
		s.setOutcome(t.job, crankjobs.OutcomeFailed, "task "+t.id.String()+" failed too often")
	}
}

// setOutcome ends a job.
func (s *Scheduler) setOutcome(j *job, outcome crankjobs.Outcome, reason string) {
	j.hasOutcome = true
	j.progress.Outcome, j.progress.Reason = outcome, reason
	s.markDirty(j)
	s.changed = true
	s.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("jobs_ended").Inc(1)
	s.Logger.Info("sched: job ended", "job", j.spec.ID, "outcome", outcome, "reason", reason, "age", time.Since(j.firstSeen).Round(time.Millisecond), "objective", j.spec.CompletionTarget())
}

// markDirty queues a job's progress for the next write to the store.
func (s *Scheduler) markDirty(j *job) { s.dirty[j.spec.ID] = j }
