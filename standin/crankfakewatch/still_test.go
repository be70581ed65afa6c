package crankfakewatch

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakesite"
)

var (
	begun = time.Unix(1000, 0)
	task  = crank.Demand{MilliCores: 1000, Accelerators: 1}
)

func at(seconds float64) time.Time {
	return begun.Add(time.Duration(seconds * float64(time.Second)))
}

// newWatch returns a watch with an accepted job of two steps, the second after the
// first, and with workers of the given free capacity.
func newWatch(free int) *Watch {
	w := New(Config{Calm: func() bool { return true }, Workers: func() []crankfakefleet.WorkerState {
		return []crankfakefleet.WorkerState{{
			Entry: crank.WorkerEntry{Capacity: crank.Demand{MilliCores: 10000, MemoryMiB: 10, Accelerators: 10}},
			Free:  crank.Demand{MilliCores: 10000, MemoryMiB: 10, Accelerators: free},
		}}
	}})
	w.Submitting(crankfakesite.Job{StepJob: crank.StepJob{ID: "a", Attempts: 2, Steps: []crank.Step{{Tasks: 1, Demand: task}, {Tasks: 1, Demand: task, After: []int{0}}}}})
	w.Answered("a", Accepted)
	return w
}

func (w *Watch) event(seconds float64, k crankfakefleet.EventKind, step int, how crank.EndKind) {
	w.Observe(crankfakefleet.Event{At: at(seconds), Kind: k, Task: crank.TaskID{Job: "a", Step: step}, Run: 1, How: how})
}

// lostAsked ticks over a span and returns the number of stills that are lost with jobs
// asked for at its end.
func (w *Watch) lostAsked(from, to float64) int {
	for s := from; s < to; s += 0.1 {
		w.Tick(at(s))
	}
	w.Tick(at(to))
	return len(Lost(w.Stills(), at(to), 3*time.Second))
}

// lost ticks over a span and returns the number of stills of at least 3 s by view.
func (w *Watch) lost(from, to float64) map[View]int {
	for s := from; s <= to; s += 0.1 {
		w.Tick(at(s))
	}
	n := make(map[View]int)
	for _, s := range Lost(w.Stills(), at(from), 3*time.Second) {
		n[s.View]++
	}
	return n
}

func TestJobThatCouldRunIsLost(t *testing.T) {
	if n := newWatch(10).lost(0, 3.2); n[ViewWorker] != 1 || n[ViewNoted] != 1 {
		t.Errorf("lost by view: %v; want one each", n)
	}
}

func TestJobIsNotLostBeforeTheBound(t *testing.T) {
	if n := newWatch(10).lost(0, 2.8); len(n) != 0 {
		t.Errorf("lost by view: %v; want none", n)
	}
}

func TestJobWithRoomInAFullPoolIsShown(t *testing.T) {
	w := newWatch(4)
	if n := w.lost(0, 9); len(n) != 0 {
		t.Errorf("lost by view: %v; want none", n)
	}
	stills := w.Stills()
	if len(stills) != 1 || stills[0].View != ViewRoom {
		t.Errorf("stills %v; want one by the view for room", stills)
	}
}

func TestJobWithoutRoomIsNotLost(t *testing.T) {
	if n := newWatch(4).lost(0, 9); len(n) != 0 {
		t.Errorf("lost by view: %v; want none, over half of the pool is in use", n)
	}
}

func TestRunningJobIsNotLost(t *testing.T) {
	w := newWatch(10)
	w.event(0, crankfakefleet.EventStarted, 0, "")
	if n := w.lost(0, 9); len(n) != 0 {
		t.Errorf("lost by view: %v; want none", n)
	}
}

func TestJobIsLostAfterItsRunIsLost(t *testing.T) {
	w := newWatch(10)
	w.event(0, crankfakefleet.EventStarted, 0, "")
	w.lost(0, 5)
	w.event(5, crankfakefleet.EventLost, 0, "")
	if n := w.lost(5, 8.3); n[ViewWorker] != 1 {
		t.Errorf("lost by view: %v; want one", n)
	}
}

func TestSecondStepWaitsForTheFirstByEachView(t *testing.T) {
	w := newWatch(10)
	w.event(0, crankfakefleet.EventStarted, 0, "")
	w.event(1, crankfakefleet.EventEnded, 0, crank.EndDone)
	if n := w.lost(1, 4.3); n[ViewWorker] != 1 || n[ViewNoted] != 0 {
		t.Errorf("lost by view: %v; want it by ends that the worker saw only", n)
	}
	w.event(4.3, crankfakefleet.EventAcked, 0, crank.EndDone)
	if n := w.lost(4.4, 8); n[ViewNoted] != 1 {
		t.Errorf("lost by view: %v; want it by noted ends also", n)
	}
}

func TestJobWithoutAllowedWorkersIsNotLost(t *testing.T) {
	for _, s := range []crank.Step{{Tasks: 1, Demand: task, Label: "b"}, {Tasks: 2, Demand: task, Gang: true, MaxPerWorker: 1}} {
		w := newWatch(10)
		w.jobs["a"].Steps = []crank.Step{s}
		if n := w.lost(0, 9); len(n) != 0 {
			t.Errorf("step %+v: lost by view: %v; want none", s, n)
		}
	}
}

func TestStandInTheCalmUpToTheAskingIsLost(t *testing.T) {
	if n := newWatch(10).lostAsked(0, 3.2); n != 2 {
		t.Errorf("%d stills are lost; want one by each view", n)
	}
}

func TestStandThatEndsBeforeTheAskingIsNotLost(t *testing.T) {
	w := newWatch(10)
	for s := 0.0; s < 5; s += 0.1 {
		w.Tick(at(s))
	}
	w.event(5, crankfakefleet.EventStarted, 0, "")
	if n := w.lostAsked(5, 9); n != 0 {
		t.Errorf("%d stills are lost; want none", n)
	}
}

func TestStandInDisturbancesIsLostFromTheAskingOnly(t *testing.T) {
	w := newWatch(10)
	calm := 0
	w.Config.Calm = func() bool { calm++; return calm%20 != 0 } // 1.9 s at a time
	if n := w.lostAsked(0, 9); n != 0 {
		t.Errorf("%d stills are lost; want none", n)
	}
	w.Tick(at(12.2))
	if n := len(Lost(w.Stills(), at(9), 3*time.Second)); n != 2 {
		t.Errorf("%d stills are lost; want one by each view", n)
	}
}

// newLasting returns a watch with an accepted job of one task that lasts.
func newLasting(free int) *Watch {
	w := newWatch(free)
	w.Submitting(crankfakesite.Job{Lasting: true, StepJob: crank.StepJob{ID: "b", Steps: []crank.Step{{Tasks: 1, Demand: task, LongRunning: true}}}})
	w.Answered("b", Accepted)
	w.jobs["b"].acceptedAt = begun
	delete(w.jobs, "a")
	return w
}

func TestTaskThatLastsIsLostInAFullPool(t *testing.T) {
	if n := newLasting(4).lost(0, 9.5); n[ViewFull] != 1 || n[ViewWorker] != 0 {
		t.Errorf("lost by view: %v; want it by the view for a full pool only", n)
	}
}

func TestTaskThatLastsIsLostAtAnyTimeInTheCalm(t *testing.T) {
	w := newLasting(4)
	w.lost(0, 9.5)
	w.Observe(crankfakefleet.Event{At: at(9.6), Kind: crankfakefleet.EventStarted, Task: crank.TaskID{Job: "b"}, Run: 1})
	if n := w.lostAsked(9.6, 20); n != 1 {
		t.Errorf("%d stills are lost; want one", n)
	}
	disturbed := newLasting(4)
	disturbed.Config.Calm = func() bool { return false }
	if n := disturbed.lostAsked(0, 20); n != 0 {
		t.Errorf("%d stills are lost; want none", n)
	}
}

func TestFailedAndCancelledJobsAreNotOwed(t *testing.T) {
	failed := newWatch(10)
	failed.event(0, crankfakefleet.EventEnded, 0, crank.EndFailed)
	failed.event(1, crankfakefleet.EventEnded, 0, crank.EndFailed)
	cancelled := newWatch(10)
	cancelled.Cancelling("a")
	for _, w := range []*Watch{failed, cancelled} {
		if n := w.lost(0, 9); len(n) != 0 {
			t.Errorf("lost by view: %v; want none", n)
		}
	}
}

func TestCompletedJobIsShown(t *testing.T) {
	w := newWatch(10)
	for step := range 2 {
		w.event(0, crankfakefleet.EventEnded, step, crank.EndDone)
		w.event(0, crankfakefleet.EventAcked, step, crank.EndDone)
	}
	w.CheckState("a", "in_progress", true)
	if len(w.Violations()) != 1 {
		t.Errorf("violations %q; want one", w.Violations())
	}
}

func TestShownStates(t *testing.T) {
	for _, state := range []string{"completed", "failed", "cancelled", "unknown"} {
		w := newWatch(10)
		w.CheckState("a", state, true)
		if len(w.Violations()) != 1 {
			t.Errorf("state %s: violations %q; want one", state, w.Violations())
		}
	}
	w := newWatch(10)
	w.event(0, crankfakefleet.EventStarted, 0, "")
	w.CheckState("a", "in_progress", true)
	if len(w.Violations()) != 0 {
		t.Errorf("violations %q; want none", w.Violations())
	}
}
