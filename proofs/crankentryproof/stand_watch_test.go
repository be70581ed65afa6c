package crankentryproof

import (
	"fmt"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
)

// Limits of a standstill that counts as a fault.
const (
	stillTime     = 3 * time.Second
	usedAtMost    = 0.5 // of the service, while a job stands
	roomFor       = 2   // times what the job needs
	lastingWithin = 6 * time.Second
)

// standWatch finds jobs with nothing running although a task could run.
type standWatch struct {
	*cluster
	jobs  map[string]crank.StepJob // accepted, with a task that can be done
	since map[string]time.Time     // since when a job, or a task that lasts, stands
	found map[string]time.Duration // longest standstill
}

// view is what runs at one time.
type view struct {
	free    map[string]crank.Demand // of the workers that are up and reachable
	entries map[string]crank.WorkerEntry
	used    float64
	latency map[string]bool // workers with such a task
	filler  map[string]bool
}

func newStandWatch(c *cluster, jobs map[string]crank.StepJob) *standWatch {
	return &standWatch{c, jobs, make(map[string]time.Time), make(map[string]time.Duration)}
}

// watch looks at the jobs for some time.
func (w *standWatch) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(samplePeriod) {
		w.sample()
	}
}

func (w *standWatch) sample() {
	v := w.look()
	for id, job := range w.jobs {
		if w.hasFailed(job) {
			continue
		}
		running, able := false, false
		w.eachDue(job, func(step crank.Step, tasks []crank.TaskID, states []crankfakefleet.TaskState) {
			var waiting []crank.TaskID
			for i, s := range states {
				if running = running || s.Worker != ""; s.Worker == "" && !s.Noted && !s.Ended {
					waiting = append(waiting, tasks[i])
				}
			}
			fits := v.used < usedAtMost && len(waiting) > 0 && w.fits(v, step, tasks, states)
			able = able || (fits && (!step.Gang || len(waiting) == len(tasks)))
			for i, s := range states {
				if step.LongRunning {
					w.note(tasks[i].String(), s.Worker == "" && fits, lastingWithin)
				}
			}
		})
		w.note(id, able && !running, stillTime)
	}
}

func (w *standWatch) note(key string, stands bool, limit time.Duration) {
	if !stands {
		delete(w.since, key)
		return
	}
	if w.since[key].IsZero() {
		w.since[key] = time.Now()
	}
	if d := time.Since(w.since[key]); d >= limit {
		w.found[key] = max(w.found[key], d)
	}
}

// hasFailed reports whether a task, or a gang, has failed as often as its job allows.
func (w *standWatch) hasFailed(job crank.StepJob) bool {
	if job.Attempts == 0 {
		return false
	}
	failed := false
	w.eachDue(job, func(step crank.Step, _ []crank.TaskID, states []crankfakefleet.TaskState) {
		gang := make(map[int64]bool)
		for _, s := range states {
			for _, run := range s.Failed {
				gang[run] = true
			}
			failed = failed || (!step.LongRunning && len(s.Failed) >= job.Attempts)
		}
		failed = failed || (step.Gang && len(gang) >= job.Attempts)
	})
	return failed
}

// eachDue calls f for each step of each occurrence whose turn has come.
func (w *standWatch) eachDue(job crank.StepJob, f func(step crank.Step, tasks []crank.TaskID, states []crankfakefleet.TaskState)) {
	for k := range job.Occurrences() {
		if job.Repeat.Times > 0 && time.Now().Before(job.Due(k)) {
			return
		}
		done := make([]bool, len(job.Steps))
		for i, step := range job.Steps {
			tasks := make([]crank.TaskID, step.Tasks)
			states := make([]crankfakefleet.TaskState, step.Tasks)
			noted, gangNoted := 0, false
			for n := range tasks {
				tasks[n] = crank.TaskID{Job: job.ID, Occurrence: k, Step: i, Index: n}
				states[n] = w.fleet.TaskState(tasks[n])
				if states[n].Noted {
					noted++
					gangNoted = step.Gang
				}
			}
			done[i] = gangNoted || noted == len(tasks)
			turn := !done[i]
			for _, a := range step.After {
				turn = turn && done[a]
			}
			if turn {
				f(step, tasks, states)
			}
		}
	}
}

// look returns what the workers run now.
func (w *standWatch) look() view {
	v := view{free: make(map[string]crank.Demand), entries: make(map[string]crank.WorkerEntry), latency: make(map[string]bool), filler: make(map[string]bool)}
	w.update(func() {
		for id, e := range w.workerEntries {
			if !w.down[id] && !w.silent[id] && !w.unreachable[id] && !e.Draining {
				v.entries[id] = e
			}
		}
	})
	var cores, accelerators, freeCores, freeAccelerators float64
	for id, e := range v.entries {
		v.free[id] = w.fleet.Free(id)
		cores, accelerators = cores+e.Capacity.Cores(), accelerators+float64(e.Capacity.Accelerators)
		freeCores, freeAccelerators = freeCores+v.free[id].Cores(), freeAccelerators+float64(v.free[id].Accelerators)
	}
	v.used = max(1-freeCores/cores, 1-freeAccelerators/accelerators)
	for _, job := range w.jobs {
		w.eachDue(job, func(step crank.Step, _ []crank.TaskID, states []crankfakefleet.TaskState) {
			for _, s := range states {
				if s.Worker != "" {
					v.latency[s.Worker] = v.latency[s.Worker] || step.Latency > 0
					v.filler[s.Worker] = v.filler[s.Worker] || step.BestEffort
				}
			}
		})
	}
	return v
}

// fits reports whether there is room for a task of the step, or for all of a gang, twice.
// Best-effort tasks and those with a latency target keep off each other's workers.
func (w *standWatch) fits(v view, step crank.Step, tasks []crank.TaskID, states []crankfakefleet.TaskState) bool {
	need := roomFor
	if step.Gang {
		need *= len(tasks)
	}
	held := make(map[string]int)
	for _, s := range states {
		held[s.Worker]++
	}
	for id, e := range v.entries {
		if (step.Label != "" && !slices.Contains(e.Labels, step.Label)) || (step.Latency > 0 && v.filler[id]) || (step.BestEffort && v.latency[id]) {
			continue
		}
		n := slots([]crank.Demand{v.free[id]}, step.ReservedCapacity())
		if step.MaxPerWorker > 0 {
			n = min(n, step.MaxPerWorker-held[id])
		}
		need -= n
	}
	return need <= 0
}

// faults returns the standstills that were too long.
func (w *standWatch) faults() []string {
	var faults []string
	for key, d := range w.found {
		faults = append(faults, fmt.Sprintf("%s stood for %s", key, d.Round(samplePeriod)))
	}
	return faults
}
