package crankfakefleet

import (
	"slices"

	crank "cranberrycrank"
)

// TaskState is what has become of a task.
type TaskState struct {
	Worker  string  // where a run of it is active
	Working bool    // that run has begun its work
	Ended   bool    // a worker that is up lists a run that is done, and its lease has not expired since
	Noted   bool    // a caller has got a report of the end of a run that is done
	Failed  []int64 // runs that a caller has got a report of as failed
}

// TaskState returns the state of a task.
func (f *Fleet) TaskState(id crank.TaskID) TaskState {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := TaskState{Noted: f.noted[id], Failed: slices.Clone(f.failed[id])}
	for r := range f.running[id] {
		s.Worker, s.Working = r.worker.entry.ID, s.Working || r.working
	}
	for _, w := range f.workers {
		for _, e := range w.ended {
			s.Ended = s.Ended || (w.up && e.Task == id && e.Kind == crank.EndDone && !w.endedBeforeExpiry[e.Number])
		}
	}
	return s
}

// Free returns the capacity of a worker that its runs leave.
func (f *Fleet) Free(id string) crank.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || !w.up {
		return crank.Demand{}
	}
	free := w.entry.Capacity
	for _, r := range w.runs {
		free = free.Minus(r.step.ReservedCapacity())
	}
	return free
}

// noteReported notes the ends in a report that a caller has got.
func (f *Fleet) noteReported(worker string, r crank.RenewReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[worker]
	for _, e := range r.Ended {
		if w == nil || w.entry.StartTimeMs != r.StartTimeMs || w.endedBeforeExpiry[e.Number] {
			continue
		}
		switch {
		case e.Kind == crank.EndDone:
			f.noted[e.Task] = true
		case e.Kind == crank.EndFailed && !slices.Contains(f.failed[e.Task], e.Run):
			f.failed[e.Task] = append(f.failed[e.Task], e.Run)
		}
	}
}
