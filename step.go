package crank

import (
	"fmt"
	"log/slog"
	"math"
	"time"
)

// Step is a stage of a job: a number of identical tasks that start once all
// earlier steps named in After are done.
type Step struct {
	Tasks          int           `json:"tasks"`
	Demand         Demand        `json:"demand"`                   // of one task
	RunTime        time.Duration `json:"run-time,omitempty"`       // rough estimate of one task
	After          []int         `json:"after,omitempty"`          // earlier steps that must be done first
	Gang           bool          `json:"gang,omitempty"`           // the tasks must run at the same time
	SameRack       bool          `json:"same-rack,omitempty"`      // of all tasks
	Checkpoints    bool          `json:"checkpoints,omitempty"`    // tasks write them and can resume
	Label          string        `json:"label,omitempty"`          // required worker label
	DataRack       string        `json:"data-rack,omitempty"`      // rack of the input data
	MaxPerWorker   int           `json:"max-per-worker,omitempty"` // 0 for no limit
	Speculative    bool          `json:"speculative,omitempty"`    // copies may run in parallel; the scheduler starts none
	LongRunning    bool          `json:"lasting,omitempty"`        // runs until the job is cancelled
	MaxUnavailable int           `json:"max-away,omitempty"`       // long-running tasks that the scheduler may make unavailable at once, 0 for no limit
	Latency        time.Duration `json:"latency,omitempty"`        // target of the requests that a long-running task serves
	BestEffort     bool          `json:"filler,omitempty"`         // uses only processor time that other tasks leave idle
}

// ReservedCapacity returns the worker capacity that one task reserves. A
// best-effort task reserves no processor time.
func (s Step) ReservedCapacity() Demand {
	if s.BestEffort {
		s.Demand.MilliCores = 0
	}
	return s.Demand
}

// Repeat is the schedule of a recurring job. The zero value runs the steps once,
// at once.
type Repeat struct {
	Times int           `json:"times,omitempty"`
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// StepJob is an accepted job with its queue's settings at the time of acceptance.
type StepJob struct {
	ID            string        `json:"id"`
	Queue         string        `json:"queue"`
	Workspace     string        `json:"workspace,omitempty"`
	Pool          string        `json:"pool"` // workers that run its tasks
	Priority      int           `json:"priority"`
	Attempts      int           `json:"attempts"`         // failed runs of one task after which the job fails, 0 for no limit
	SlackFactor   float64       `json:"slack,omitempty"`  // multiplies the critical path in the completion target
	TargetLatency time.Duration `json:"target,omitempty"` // constant part of the completion target
	Payload       string        `json:"payload,omitempty"`
	Steps         []Step        `json:"steps"`
	Repeat        Repeat        `json:"repeat,omitzero"`
	Accepted      time.Time     `json:"accepted"` // on the clock of the accepting instance
	// SentAfter is an offset of the job topic: the caller sent the submission after the records
	// before it were stored. 0 if that is not known.
	SentAfter Offset `json:"sent-after,omitempty"`
}

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int // number of the repetition, from 0
	Step       int // index in StepJob.Steps
	Index      int // in the step
}

// String returns the ID in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// LogValue implements slog.LogValuer.
func (t TaskID) LogValue() slog.Value { return slog.StringValue(t.String()) }

// Occurrences returns how many times the steps run, at least 1.
func (j StepJob) Occurrences() int { return max(1, j.Repeat.Times) }

// TasksPerOccurrence returns the number of tasks in one occurrence.
func (j StepJob) TasksPerOccurrence() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}

// Ordinal returns the index of a task among the tasks of all occurrences, and
// whether the job has that task.
func (j StepJob) Ordinal(t TaskID) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= j.Occurrences() || t.Step < 0 || t.Step >= len(j.Steps) ||
		t.Index < 0 || t.Index >= j.Steps[t.Step].Tasks {
		return 0, false
	}
	n := t.Occurrence * j.TasksPerOccurrence()
	for _, s := range j.Steps[:t.Step] {
		n += s.Tasks
	}
	return n + t.Index, true
}

// Due returns the earliest start of an occurrence, or the zero time if the job
// does not recur.
func (j StepJob) Due(occurrence int) time.Time {
	if j.Repeat.Times == 0 {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Every)
}

// CriticalPath returns the estimated duration of the longest chain of steps.
func (j StepJob) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += s.RunTime
		longest = max(longest, ends[i])
	}
	return longest
}

// CompletionTarget returns the target time from submission to completion.
func (j StepJob) CompletionTarget() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.CriticalPath())) + j.TargetLatency
}

// Limits on the size of a job.
const (
	MaxSteps       = 1000    // steps of a job
	MaxTasks       = 20_000  // tasks of one occurrence
	MaxTotalTasks  = 200_000 // tasks of all occurrences
	MaxJobPayload  = 4000    // bytes
	maxStepRunTime = 30 * 24 * time.Hour
	maxTaskDemand  = math.MaxInt32 // of each resource; sums must not overflow
)

// Validate returns an error of KindInvalid if a step is malformed or the job
// exceeds a size limit.
func (j StepJob) Validate() error {
	const op = "job check"
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return Fail(op, KindInvalid, "a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	if len(j.Payload) > MaxJobPayload {
		return Fail(op, KindInvalid, "the payload has %d bytes, the limit is %d", len(j.Payload), MaxJobPayload)
	}
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
	}
	// The limits of each factor keep the sum and the product from overflowing.
	if tasks := j.TasksPerOccurrence(); tasks > MaxTasks || j.Repeat.Times < 0 || j.Repeat.Times > MaxTotalTasks || tasks*j.Occurrences() > MaxTotalTasks {
		return Fail(op, KindInvalid, "%d tasks %d times are too many", tasks, j.Occurrences())
	}
	return nil
}

func (s Step) validate(i int) error {
	const op = "job check"
	d := s.Demand
	switch {
	case s.Tasks < 1:
		return Fail(op, KindInvalid, "step %d has no tasks", i)
	case s.Tasks > MaxTasks:
		return Fail(op, KindInvalid, "step %d has %d tasks, the limit is %d", i, s.Tasks, MaxTasks)
	case d.MilliCores < 0 || d.MemoryMiB < 0 || d.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0:
		return Fail(op, KindInvalid, "step %d has a negative amount", i)
	case d.MilliCores > maxTaskDemand || d.MemoryMiB > maxTaskDemand || d.Accelerators > maxTaskDemand:
		return Fail(op, KindInvalid, "step %d asks for more than any worker has", i)
	case s.RunTime < 0 || s.RunTime > maxStepRunTime:
		return Fail(op, KindInvalid, "step %d has an impossible run time", i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return Fail(op, KindInvalid, "step %d comes after step %d, which is no earlier step", i, a)
		}
	}
	return nil
}
