// Package crankfakewatch checks from outside what callers and workers of an emulated
// site see of its jobs.
package crankfakewatch

import (
	"fmt"
	"slices"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakesite"
)

// Config holds the settings of a Watch.
type Config struct {
	Bounds  crankfakesite.Bounds
	Workers func() []crankfakefleet.WorkerState // that take tasks
	Calm    func() bool                         // no disturbance for a while
}

// Watch follows jobs and the runs of their tasks. It is safe for concurrent use.
type Watch struct {
	Config
	mu         sync.Mutex
	jobs       map[string]*job
	violations []string
	stills     []Still
}

type job struct {
	crankfakesite.Job
	answer      Answer
	submittedAt time.Time
	acceptedAt  time.Time
	cancelSent  time.Time
	cancelAcked time.Time
	startedAt   time.Time
	runs        int
	running     map[crank.TaskID]int
	lastRun     map[crank.TaskID]time.Time
	done        map[crank.TaskID]bool // as its worker saw
	noted       map[crank.TaskID]bool // acknowledged to its worker
	failures    map[crank.TaskID]int
	startFence  map[crank.TaskID]int64 // of the newest run
	completedAt time.Time              // its last task ended
	still       map[stillKey]*Still
}

type stillKey struct {
	View View
	Task crank.TaskID // set for tasks that last
}

// Answer is what the caller knows of a submission.
type Answer string

// Answers.
const (
	Accepted Answer = "accepted"
	Refused  Answer = "refused" // by all attempts
	Unknown  Answer = "unknown"
)

// View is whose knowledge of ended tasks a Still goes by.
type View string

// Views.
const (
	ViewWorker View = "worker" // ends that workers saw
	ViewNoted  View = "noted"  // ends that were acknowledged to workers
	// ViewFull is ViewWorker for a task that lasts, however full the pool is.
	ViewFull View = "full"
	// ViewRoom is ViewWorker however full the pool is. It breaks no rule.
	ViewRoom View = "room"
)

// Still is a time in which a job had nothing running, though a task could run.
type Still struct {
	Job   string
	Class string
	Task  crank.TaskID
	View  View
	From  time.Time
	To    time.Time
	Runs  int // of the job so far
	Open  bool
	Calm  time.Duration // its longest part in the calm

	calmFrom time.Time // of the part that lasts, zero for none
}

// New returns a watch without jobs.
func New(c Config) *Watch { return &Watch{Config: c, jobs: make(map[string]*job)} }

// Submitting adds a job before its first submission.
func (w *Watch) Submitting(j crankfakesite.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = &job{
		Job: j, submittedAt: time.Now(), running: make(map[crank.TaskID]int), lastRun: make(map[crank.TaskID]time.Time),
		done: make(map[crank.TaskID]bool), noted: make(map[crank.TaskID]bool), failures: make(map[crank.TaskID]int), startFence: make(map[crank.TaskID]int64), still: make(map[stillKey]*Still),
	}
}

// Answered records the result of a submission.
func (w *Watch) Answered(id string, a Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	j.answer = a
	if a == Accepted {
		j.acceptedAt = time.Now()
	}
	if a == Refused && j.runs > 0 {
		w.violate("refused job %s has run", id)
	}
}

// Cancelling records that a cancellation is sent.
func (w *Watch) Cancelling(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].cancelSent = time.Now()
}

// Cancelled records the acknowledgement of a cancellation.
func (w *Watch) Cancelled(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id].cancelAcked = time.Now()
}

// Job returns a submitted job.
func (w *Watch) Job(id string) (crankfakesite.Job, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[id]
	if !ok {
		return crankfakesite.Job{}, false
	}
	return j.Job, true
}

// Spec returns the steps of a submitted job.
func (w *Watch) Spec(id string) (crank.StepJob, bool) {
	j, ok := w.Job(id)
	return j.StepJob, ok
}

// Violations returns the rules broken so far.
func (w *Watch) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

func (w *Watch) violate(format string, args ...any) {
	w.violations = append(w.violations, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Observe takes an event of a run.
func (w *Watch) Observe(e crankfakefleet.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[e.Task.Job]
	if j == nil {
		return
	}
	switch e.Kind {
	case crankfakefleet.EventStarted:
		w.started(j, e)
	case crankfakefleet.EventEnded, crankfakefleet.EventLost:
		j.running[e.Task]--
		j.lastRun[e.Task] = e.At
		if e.How == crank.EndDone && !j.done[e.Task] {
			j.done[e.Task] = true
			if len(j.done) == j.TasksPerOccurrence()*j.Occurrences() {
				j.completedAt = e.At
			}
		}
		if e.How == crank.EndGangTimeout && j.owed() && w.Calm() {
			w.violate("task %s waited for its gang in vain on %s, started in term %d", e.Task, e.Worker, j.startFence[e.Task])
		}
		if e.How == crank.EndFailed {
			j.failures[j.attemptKey(e.Task)]++
		}
	case crankfakefleet.EventAcked:
		if e.How == crank.EndDone {
			j.noted[e.Task] = true
		}
	}
}

func (w *Watch) started(j *job, e crankfakefleet.Event) {
	if j.runs == 0 {
		j.startedAt = e.At
	}
	j.runs++
	j.running[e.Task]++
	j.startFence[e.Task] = e.Fence
	if j.answer == Refused {
		w.violate("refused job %s has run: task %s on %s", j.ID, e.Task, e.Worker)
	}
	if !j.cancelAcked.IsZero() && e.At.Sub(j.cancelAcked) > w.Bounds.CancelTime {
		w.violate("task %s started %v after its cancellation was acknowledged (calm %v)", e.Task, e.At.Sub(j.cancelAcked).Round(time.Millisecond), w.Calm())
	}
}

// attemptKey returns the task whose failures count, one for a gang.
func (j *job) attemptKey(t crank.TaskID) crank.TaskID {
	if j.Steps[t.Step].Gang {
		t.Index = 0
	}
	return t
}

func (j *job) hasFailed() bool {
	for _, n := range j.failures {
		if j.Attempts > 0 && n >= j.Attempts {
			return true
		}
	}
	return false
}

// isNoted reports whether the ends of all tasks were acknowledged.
func (j *job) isNoted() bool { return len(j.noted) == j.TasksPerOccurrence()*j.Occurrences() }

// owed reports whether a job is to run on.
func (j *job) owed() bool {
	return j.answer == Accepted && j.cancelSent.IsZero() && j.completedAt.IsZero() && !j.hasFailed()
}

// CheckState compares a state that callers were shown with what workers saw.
func (w *Watch) CheckState(id, state string, calm bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	switch {
	case j.answer != Accepted || !j.cancelSent.IsZero():
	case state == "completed" && j.completedAt.IsZero():
		w.violate("job %s is shown as completed with %d of %d tasks done", id, len(j.done), j.TasksPerOccurrence()*j.Occurrences())
	case state == "failed" && !j.hasFailed():
		w.violate("job %s is shown as failed without cause", id)
	case state == "in_progress" && calm && j.isNoted() && time.Since(j.completedAt) > w.Bounds.AckTime:
		w.violate("job %s is shown as in_progress %v after its last task ended", id, time.Since(j.completedAt).Round(time.Millisecond))
	case state == "in_progress" && j.runs == 0:
		w.violate("job %s is shown as in_progress, none of its tasks has started (calm %v)", id, calm)
	case state == "cancelled":
		w.violate("job %s is shown as cancelled, nobody cancelled it", id)
	case state == "unknown" && calm:
		w.violate("job %s is not known", id)
	}
}

// Unfinished returns the accepted jobs that are to complete and have not.
func (w *Watch) Unfinished() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, j := range w.jobs {
		if j.owed() && !j.Lasting {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Accepted returns the accepted jobs that nobody has cancelled.
func (w *Watch) Accepted() []crankfakesite.Job {
	return w.collect(func(*job) bool { return true })
}

// Completed returns the accepted jobs all of whose ends were acknowledged.
func (w *Watch) Completed() []crankfakesite.Job { return w.collect((*job).isNoted) }

func (w *Watch) collect(has func(j *job) bool) []crankfakesite.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var jobs []crankfakesite.Job
	for _, j := range w.jobs {
		if j.answer == Accepted && j.cancelSent.IsZero() && has(j) {
			jobs = append(jobs, j.Job)
		}
	}
	return jobs
}
