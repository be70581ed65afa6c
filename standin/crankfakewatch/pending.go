package crankfakewatch

import "time"

// CheckPending compares the number of pending jobs of a queue, as an instance told a caller who
// asked at a time, with the accepted jobs that had waited for Bounds.PendingTime by then and have
// not begun. At least half of them must be told.
func (w *Watch) CheckPending(queue string, pending int, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := 0
	for _, j := range w.jobs {
		if j.Queue == queue && j.owed() && j.runs == 0 && j.Repeat.Times == 0 && asked.Sub(j.acceptedAt) > w.Bounds.PendingTime {
			waiting++
		}
	}
	if 2*pending < waiting {
		w.violate("%d jobs of queue %s are shown as pending, %d that were accepted %v before have not begun", pending, queue, waiting, w.Bounds.PendingTime)
	}
}
