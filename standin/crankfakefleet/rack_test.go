package crankfakefleet

import (
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
)

const workTime = 2 * time.Second

// timeOf returns how long a step takes with its tasks on the given racks.
func timeOf(t *testing.T, s crank.Step, racks ...string) time.Duration {
	s.Tasks = len(racks)
	job := crank.StepJob{ID: "a", Attempts: 1, Steps: []crank.Step{s}}
	f := New(Config{
		Bounds:  crank.LeaseBounds{MaxLease: time.Minute, StopTime: time.Second, GangTimeout: time.Second},
		Specs:   func(string) (crank.StepJob, bool) { return job, true },
		RunTime: func(crank.TaskID, string) time.Duration { return workTime }, CrossRackSlowdown: 3,
	})
	for i, rack := range racks {
		e := f.Add(crank.WorkerEntry{ID: string(rune('a' + i)), Rack: rack, Labels: []string{"a", rack}})
		o := crank.RunOrder{Task: crank.TaskID{Job: "a", Index: i}, Run: 1, Fence: 1, DeadlineMs: time.Minute.Milliseconds()}
		if reply, err := f.LeasedWorker(e).Start(t.Context(), o); err != nil || reply.Refusal != crank.RefusalNone {
			t.Fatalf("start of %s: %v, error %v", o.Task, reply.Refusal, err)
		}
	}
	begun := time.Now()
	for f.DoneTasks("a") < len(racks) && time.Since(begun) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begun).Round(100 * time.Millisecond)
}

func TestTasksOffTheirRackAreSlow(t *testing.T) {
	for name, c := range map[string]struct {
		step  crank.Step
		racks []string
		want  time.Duration
	}{
		"same-rack gang on one rack":        {crank.Step{Gang: true, SameRack: true}, []string{"r0", "r0"}, workTime},
		"same-rack gang on two racks":       {crank.Step{Gang: true, SameRack: true}, []string{"r0", "r1"}, 3 * workTime},
		"gang on two racks":                 {crank.Step{Gang: true}, []string{"r0", "r1"}, workTime},
		"tasks on the data rack":            {crank.Step{DataRack: "r1"}, []string{"r1", "r1"}, workTime},
		"a task off the data rack":          {crank.Step{DataRack: "r1"}, []string{"r1", "r0"}, 3 * workTime},
		"gang in part off the data rack":    {crank.Step{DataRack: "r1", Gang: true}, []string{"r1", "r0"}, 3 * workTime},
		"same-rack gang off its data racks": {crank.Step{DataRack: "r1", Gang: true, SameRack: true}, []string{"r1", "r0"}, 3 * workTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := timeOf(t, c.step, c.racks...); got != c.want {
					t.Errorf("took %v; want %v", got, c.want)
				}
			})
		})
	}
}
