package crankfakefleet

import (
	"time"

	crank "cranberrycrank"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStarted EventKind = "started"
	EventEnded   EventKind = "ended"
	EventLost    EventKind = "lost"         // the run ended with its worker
	EventAcked   EventKind = "acknowledged" // its end was acknowledged
)

// Event is a change of a run, as its worker saw it.
type Event struct {
	At     time.Time
	Kind   EventKind
	Task   crank.TaskID
	Run    int64
	Worker string
	How    crank.EndKind // of an end
	Fence  int64         // of a start
}

func (w *worker) observe(e Event) {
	if w.fleet.Observe == nil {
		return
	}
	e.At, e.Worker = time.Now(), w.entry.ID
	w.fleet.Observe(e)
}

// WorkerState is the capacity of a worker that is up.
type WorkerState struct {
	Entry crank.WorkerEntry
	Free  crank.Demand
	Runs  int
}

// Workers returns the workers that are up.
func (f *Fleet) Workers() []WorkerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []WorkerState
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		s := WorkerState{Entry: w.entry, Free: w.entry.Capacity, Runs: len(w.runs)}
		for _, r := range w.runs {
			s.Free = s.Free.Minus(r.step.ReservedCapacity())
		}
		states = append(states, s)
	}
	return states
}
