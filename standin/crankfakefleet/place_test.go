package crankfakefleet

import (
	"testing"
	"time"

	crank "cranberrycrank"
)

// violationsOf starts the tasks of a step on one worker of kind a.
func violationsOf(t *testing.T, s crank.Step) []string {
	job := crank.StepJob{ID: "a", Steps: []crank.Step{s}}
	f := New(Config{
		Bounds:  crank.LeaseBounds{MaxLease: time.Minute, StopTime: time.Second, GangTimeout: time.Second},
		Specs:   func(string) (crank.StepJob, bool) { return job, true },
		RunTime: func(crank.TaskID, string) time.Duration { return time.Minute },
	})
	e := f.Add(crank.WorkerEntry{ID: "w", Labels: []string{"a", "r0"}})
	for i := range s.Tasks {
		o := crank.RunOrder{Task: crank.TaskID{Job: "a", Index: i}, Run: 1, Fence: 1, DeadlineMs: time.Minute.Milliseconds()}
		if _, err := f.LeasedWorker(e).Start(t.Context(), o); err != nil {
			t.Fatal(err)
		}
	}
	return f.Violations()
}

func TestStartAgainstLabelOrLimitIsAViolation(t *testing.T) {
	for _, s := range []crank.Step{{Tasks: 2, Label: "a"}, {Tasks: 2, MaxPerWorker: 2}} {
		if v := violationsOf(t, s); len(v) != 0 {
			t.Errorf("step %+v: violations %q; want none", s, v)
		}
	}
	for _, s := range []crank.Step{{Tasks: 1, Label: "b"}, {Tasks: 2, MaxPerWorker: 1}} {
		if v := violationsOf(t, s); len(v) != 1 {
			t.Errorf("step %+v: violations %q; want one", s, v)
		}
	}
}
