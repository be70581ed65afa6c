package crankfakefleet

import (
	"slices"
	"time"
)

// Violations returns a description of each violated invariant.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// Runs returns the number of runs that were started.
func (f *Fleet) Runs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, runs := range f.runsStarted {
		n += runs
	}
	return n
}

// DoneTasks returns the number of tasks of a job with a successful run.
func (f *Fleet) DoneTasks(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.succeeded {
		if id.Job == job {
			n++
		}
	}
	return n
}

// HasStarted reports whether a run of a job was ever started.
func (f *Fleet) HasStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runsStarted[job] > 0
}

// LastStart returns when the newest run of a job was started, or the zero time.
func (f *Fleet) LastStart(job string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStart[job]
}
