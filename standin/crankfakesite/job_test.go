package crankfakesite

import (
	"fmt"
	"math"
	"testing"
	"time"

	crank "cranberrycrank"
)

// mixedSite returns a site whose jobs have every trait that can be drawn.
func mixedSite(t *testing.T) Site {
	s, err := Read("../../examples/sites/small-hall.ini")
	if err != nil {
		t.Fatal(err)
	}
	s.Bounds.TrafficTime = 10000 * time.Second
	s.Worker.Kinds = []string{"a", "b"}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.DataRack, c.NeedsKind, c.Apart, c.Poisoned = 0.2, 0.3, 0.4, 0.05
		c.Uneven, c.Misjudged, c.Services, c.ServiceTasks, c.Latency = 0.3, 0.9, 4, 3, 40*time.Millisecond
	}
	return s
}

func TestDrawnSharesAreTheSites(t *testing.T) {
	s := mixedSite(t)
	n := make(map[string]float64)
	for _, j := range s.Traffic(1) {
		if j.Lasting {
			continue
		}
		n["job"]++
		if j.Poisoned {
			n["poisoned"]++
		}
		for i, step := range j.Steps {
			n["step"]++
			if step.DataRack != "" {
				n["data rack"]++
			}
			if step.Label != "" {
				n["kind"]++
			}
			if !step.Gang {
				n["single"]++
			}
			if step.MaxPerWorker > 0 {
				n["apart"]++
			}
			if off := math.Abs(math.Log(float64(step.RunTime) / float64(j.Work[i]))); off > 0.5 {
				n["misjudged"]++
			}
		}
	}
	for _, c := range []struct {
		what, of string
		want     float64
	}{{"poisoned", "job", 0.05}, {"data rack", "step", 0.2}, {"kind", "step", 0.3}, {"apart", "single", 0.4}, {"misjudged", "step", 0.58}} {
		if got := n[c.what] / n[c.of]; math.Abs(got-c.want) > 0.04 {
			t.Errorf("share of %s: %.3f; want %.2f", c.what, got, c.want)
		}
	}
}

func TestServicesLastAndServeBesideBestEffort(t *testing.T) {
	s := mixedSite(t)
	services := 0
	for _, j := range s.Traffic(1) {
		if !j.Lasting || len(j.Steps) != 2 {
			continue
		}
		services++
		serving, filling := j.Steps[0], j.Steps[1]
		if !serving.LongRunning || serving.Latency == 0 || !filling.LongRunning || !filling.BestEffort || j.Poisoned || j.CancelAfter > 0 {
			t.Errorf("job %s has steps %+v", j.ID, j.Steps)
		}
	}
	if services != 4*len(s.Classes) {
		t.Errorf("%d services; want %d", services, 4*len(s.Classes))
	}
}

func TestUnevenTasksDifferAndStayTheSame(t *testing.T) {
	j := Job{StepJob: crank.StepJob{ID: "a", Steps: []crank.Step{{Tasks: 9, RunTime: time.Second}}}, Uneven: 0.3}
	times := make(map[time.Duration]bool)
	for i := range 9 {
		task := crank.TaskID{Job: "a", Index: i}
		first, again := j.WorkTime(task), j.WorkTime(task)
		if first != again {
			t.Errorf("task %s takes %v, then %v", task, first, again)
		}
		times[first] = true
	}
	if len(times) != 9 {
		t.Errorf("%d times of 9 tasks; want 9", len(times))
	}
}

func TestWorkersDifferInKindAndSpeed(t *testing.T) {
	s := mixedSite(t)
	labels := make(map[string]int)
	for n := range s.Zones[0].Workers {
		labels[s.Entry(s.Zones[0], n).Labels[0]]++
	}
	if labels["a"] != 4 || labels["b"] != 4 {
		t.Errorf("workers by kind: %v; want four each", labels)
	}
	s.Worker.Speeds = []float64{0.8, 1, 1.25}
	speeds := make(map[float64]int)
	for n := range 3000 {
		speeds[s.Speed(1, fmt.Sprint(n))]++
	}
	for _, v := range s.Worker.Speeds {
		if speeds[v] < 900 {
			t.Errorf("workers by speed: %v; want about a third each", speeds)
		}
	}
	if len(s.racks()) != 4 {
		t.Errorf("racks %v; want four", s.racks())
	}
}
