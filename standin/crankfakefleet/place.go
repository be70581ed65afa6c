package crankfakefleet

import "slices"

// isAllowed reports whether a worker has the label that a run requires, and fewer tasks
// of the step than may run on one worker.
func (w *worker) isAllowed(r *run) bool {
	if r.step.Label != "" && !slices.Contains(w.entry.Labels, r.step.Label) {
		return false
	}
	beside := 0
	for _, other := range w.runs {
		if id := other.id; id.Job == r.id.Job && id.Occurrence == r.id.Occurrence && id.Step == r.id.Step {
			beside++
		}
	}
	return r.step.MaxPerWorker == 0 || beside < r.step.MaxPerWorker
}
