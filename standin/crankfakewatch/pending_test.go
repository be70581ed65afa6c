package crankfakewatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakesite"
)

// Half of the jobs that have waited for long enough must be shown as pending; later ones, those
// that have begun and those of other queues don't count.
func TestShownPendingJobs(t *testing.T) {
	for _, v := range []struct {
		pending, violations int
	}{{0, 1}, {1, 1}, {2, 0}, {3, 0}} {
		t.Run(fmt.Sprint(v.pending), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := New(Config{Bounds: crankfakesite.Bounds{PendingTime: 5 * time.Second}, Calm: func() bool { return true }})
				accept := func(id, queue string) {
					w.Submitting(crankfakesite.Job{StepJob: crank.StepJob{ID: id, Queue: queue, Steps: []crank.Step{{Tasks: 1}}}})
					w.Answered(id, Accepted)
				}
				for _, id := range []string{"a", "b", "c", "begun"} {
					accept(id, "urgent")
				}
				accept("other", "patient")
				w.Observe(crankfakefleet.Event{At: time.Now(), Kind: crankfakefleet.EventStarted, Task: crank.TaskID{Job: "begun"}})
				time.Sleep(5 * time.Second)
				for _, id := range []string{"d", "e", "f", "g"} {
					accept(id, "urgent")
				}
				time.Sleep(time.Second)
				w.CheckPending("urgent", v.pending, time.Now())
				if n := len(w.Violations()); n != v.violations {
					t.Errorf("%d violations; want %d: %q", n, v.violations, w.Violations())
				}
			})
		})
	}
}

func TestStateOfAJobThatHasNotBegun(t *testing.T) {
	w := newWatch(10)
	w.CheckState("a", "queued", true)
	if len(w.Violations()) != 0 {
		t.Errorf("violations %q; want none", w.Violations())
	}
	w.CheckState("a", "in_progress", true)
	if len(w.Violations()) != 1 {
		t.Errorf("violations %q; want one", w.Violations())
	}
}
