package crank

import (
	"fmt"
	"log/slog"
	"time"
)

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks        int           `json:"tasks"`
	Demand       Demand        `json:"demand"`             // of one task
	RunTime      time.Duration `json:"run-time,omitempty"` // rough estimate of one task
	After        []int         `json:"after,omitempty"`    // earlier steps that must be done first
	Gang         bool          `json:"gang,omitempty"`     // the tasks work only together
	SameRack     bool          `json:"same-rack,omitempty"`
	Checkpoints  bool          `json:"checkpoints,omitempty"`
	Label        string        `json:"label,omitempty"`          // label that the worker must have
	DataRack     string        `json:"data-rack,omitempty"`      // rack where the task's data lies
	MaxPerWorker int           `json:"max-per-worker,omitempty"` // 0 for no limit
	Speculative  bool          `json:"speculative,omitempty"`    // copies may run in parallel
	Lasting      bool          `json:"lasting,omitempty"`        // runs until the job is cancelled
	MaxAway      int           `json:"max-away,omitempty"`       // lasting tasks that may be away by the scheduler's doing
	Latency      time.Duration `json:"latency,omitempty"`        // latency target of what a lasting task serves
	Filler       bool          `json:"filler,omitempty"`         // takes only the processor time that others leave
}

// Room returns what a task of the step takes of a worker's capacity.
func (s Step) Room() Demand {
	if s.Filler {
		s.Demand.MilliCores = 0
	}
	return s.Demand
}

// Repeat says when the steps of a job run again. The zero value runs them once
// at once.
type Repeat struct {
	Times int           `json:"times,omitempty"`
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
}

// StepJob is an accepted job with what its queue said when it was accepted.
type StepJob struct {
	ID        string        `json:"id"`
	Queue     string        `json:"queue"`
	Workspace string        `json:"workspace,omitempty"`
	Pool      string        `json:"pool"` // workers that run its tasks
	Priority  int           `json:"priority"`
	Attempts  int           `json:"attempts"` // failed runs of a task until the job fails, 0 for no limit
	Slack     float64       `json:"slack,omitempty"`
	Target    time.Duration `json:"target,omitempty"`
	Payload   string        `json:"payload,omitempty"`
	Steps     []Step        `json:"steps"`
	Repeat    Repeat        `json:"repeat,omitzero"`
	Accepted  time.Time     `json:"accepted"` // by the accepting instance's clock
}

// TaskID names a task of a job.
type TaskID struct {
	Job        string
	Occurrence int // 0 for a job that runs once
	Step       int
	Index      int
}

// String returns the identity as one word.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occurrence, t.Step, t.Index)
}

// LogValue implements slog.LogValuer.
func (t TaskID) LogValue() slog.Value { return slog.StringValue(t.String()) }

// Occurrences returns how often the steps run, at least once.
func (j StepJob) Occurrences() int { return max(1, j.Repeat.Times) }

// Width returns the tasks of one occurrence.
func (j StepJob) Width() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}

// Ordinal returns the place of a task among all tasks of the job, and whether
// the job has that task.
func (j StepJob) Ordinal(t TaskID) (int, bool) {
	if t.Occurrence < 0 || t.Occurrence >= j.Occurrences() || t.Step < 0 || t.Step >= len(j.Steps) ||
		t.Index < 0 || t.Index >= j.Steps[t.Step].Tasks {
		return 0, false
	}
	n := t.Occurrence * j.Width()
	for _, s := range j.Steps[:t.Step] {
		n += s.Tasks
	}
	return n + t.Index, true
}

// Due returns when an occurrence may start; the zero time for at once.
func (j StepJob) Due(occurrence int) time.Time {
	if j.Repeat.Times == 0 {
		return time.Time{}
	}
	return j.Repeat.First.Add(time.Duration(occurrence) * j.Repeat.Every)
}

// Chain returns the estimated time of the longest chain of steps.
func (j StepJob) Chain() time.Duration {
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

// Objective returns the time from submission in which the job should end.
func (j StepJob) Objective() time.Duration {
	return time.Duration(j.Slack*float64(j.Chain())) + j.Target
}

// Limits on the size of a job.
const (
	MaxSteps       = 1000    // steps of a job
	MaxTasks       = 20_000  // tasks of one occurrence
	MaxTotalTasks  = 200_000 // tasks of all occurrences
	MaxJobPayload  = 4000    // bytes
	maxStepRunTime = 30 * 24 * time.Hour
)

// Check returns an error of KindInvalid when the job can't be what it says.
func (j StepJob) Check() error {
	const op = "job check"
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return Fail(op, KindInvalid, "a job has 1 to %d steps, this one has %d", MaxSteps, len(j.Steps))
	}
	if len(j.Payload) > MaxJobPayload {
		return Fail(op, KindInvalid, "the payload has %d bytes, the limit is %d", len(j.Payload), MaxJobPayload)
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
	}
	if w := j.Width(); w > MaxTasks || j.Repeat.Times < 0 || w*j.Occurrences() > MaxTotalTasks {
		return Fail(op, KindInvalid, "%d tasks %d times are too many", w, j.Occurrences())
	}
	return nil
}

func (s Step) check(i int) error {
	const op = "job check"
	d := s.Demand
	switch {
	case s.Tasks < 1:
		return Fail(op, KindInvalid, "step %d has no tasks", i)
	case d.MilliCores < 0 || d.MemoryMiB < 0 || d.Accelerators < 0 || s.MaxPerWorker < 0 || s.MaxAway < 0:
		return Fail(op, KindInvalid, "step %d has a negative amount", i)
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
