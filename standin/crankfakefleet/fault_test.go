package crankfakefleet

import (
	"testing"
	"time"

	crank "cranberrycrank"
)

func TestPretendingWorkerRefusesStartsOnly(t *testing.T) {
	job := crank.StepJob{ID: "a", Steps: []crank.Step{{Tasks: 1}}}
	f := New(Config{
		Bounds:  crank.LeaseBounds{MaxLease: time.Minute},
		Specs:   func(string) (crank.StepJob, bool) { return job, true },
		RunTime: func(crank.TaskID, string) time.Duration { return time.Minute },
		Faults:  func(_, _, _ string) Fault { return Fault{RefuseStart: true} },
	})
	w := f.LeasedWorker(f.Add(crank.WorkerEntry{ID: "w"}))
	if _, err := w.Renew(t.Context(), crank.RenewOrder{Fence: 1}); err != nil {
		t.Errorf("renewal: %v", err)
	}
	_, err := w.Start(t.Context(), crank.RunOrder{Task: crank.TaskID{Job: "a"}, Run: 1, Fence: 1, DeadlineMs: 1000})
	if err == nil || crank.KindOf(err) != crank.KindUnavailable || f.Runs() != 0 {
		t.Errorf("start: error %v with %d runs; want a refusal", err, f.Runs())
	}
}
