package crankentryproof

import (
	"fmt"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
)

// idleMeter measures from outside how long accepted jobs stand although they could run.
type idleMeter struct {
	c         *cluster
	evacuated string // zone
	accepted  []string
	calmSince time.Time // when the last job came
	since     map[crank.TaskID]time.Time
	longest   map[crank.TaskID]time.Duration
}

func newIdleMeter(c *cluster, evacuated string) *idleMeter {
	return &idleMeter{c: c, evacuated: evacuated, since: make(map[crank.TaskID]time.Time), longest: make(map[crank.TaskID]time.Duration)}
}

func (m *idleMeter) accept(job string) {
	m.accepted, m.calmSince = append(m.accepted, job), time.Now()
}

// pass lets time pass and looks at the jobs.
func (m *idleMeter) pass(d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(samplePeriod) {
		m.sample()
	}
}

func (m *idleMeter) sample() {
	now, idle := time.Now(), m.inUse() < 0.5
	for _, id := range m.accepted {
		spec, _ := m.c.spec(id)
		noted := make([]bool, len(spec.Steps))
		var due []crank.TaskID
		runs := false
		for i, st := range spec.Steps {
			turn := !slices.ContainsFunc(st.After, func(a int) bool { return !noted[a] })
			states := make([]crankfakefleet.TaskState, st.Tasks)
			for k := range states {
				states[k] = m.c.fleet.TaskState(crank.TaskID{Job: id, Step: i, Index: k})
			}
			isNoted := func(s crankfakefleet.TaskState) bool { return s.Noted }
			gangNoted := st.Gang && slices.ContainsFunc(states, isNoted) // one end is that of all members
			noted[i] = true
			for k, s := range states {
				t := crank.TaskID{Job: id, Step: i, Index: k}
				noted[i] = noted[i] && (s.Noted || gangNoted)
				runs = runs || s.Worker != ""
				if s.Worker == "" && !s.Ended && !s.Noted && !gangNoted && turn {
					due = append(due, t)
				} else {
					delete(m.since, t)
				}
			}
		}
		for _, t := range due {
			st := spec.Steps[t.Step]
			stands := idle && (st.LongRunning || !runs) && m.slots(st, id) >= 2*unitSize(st)
			m.note(t, stands, st.LongRunning, now)
		}
	}
}

// note records whether a task stands. The time before the last job came does not count but
// for tasks that last.
func (m *idleMeter) note(t crank.TaskID, stands, lasts bool, now time.Time) {
	if !stands {
		delete(m.since, t)
		return
	}
	since, ok := m.since[t]
	if !ok {
		since = now
		m.since[t] = since
	}
	if !lasts && since.Before(m.calmSince) {
		since = m.calmSince
	}
	m.longest[t] = max(m.longest[t], now.Sub(since))
}

// slots returns how many tasks of a step the workers that may get some have room for.
func (m *idleMeter) slots(st crank.Step, job string) int {
	held := make(map[string]int)
	if spec, _ := m.c.spec(job); st.MaxPerWorker > 0 {
		for i := range spec.Steps {
			for k := range spec.Steps[i].Tasks {
				held[m.c.fleet.TaskState(crank.TaskID{Job: job, Step: i, Index: k}).Worker]++
			}
		}
	}
	n := 0
	for id, e := range m.c.workerEntries {
		if e.Zone == m.evacuated || (st.Label != "" && !slices.Contains(e.Labels, st.Label)) {
			continue
		}
		fit := slots([]crank.Demand{m.c.fleet.Free(id)}, st.ReservedCapacity())
		if st.MaxPerWorker > 0 {
			fit = min(fit, max(0, st.MaxPerWorker-held[id]))
		}
		n += fit
	}
	return n
}

// inUse returns the share of the resource of which most is in use.
func (m *idleMeter) inUse() float64 {
	var free, total crank.Demand
	for id, e := range m.c.workerEntries {
		free, total = free.Plus(m.c.fleet.Free(id)), total.Plus(e.Capacity)
	}
	used := total.Minus(free)
	return max(float64(used.MilliCores)/float64(total.MilliCores), float64(used.MemoryMiB)/float64(total.MemoryMiB), float64(used.Accelerators)/float64(total.Accelerators))
}

// over returns the tasks that stood for longer than a bound.
func (m *idleMeter) over(bound time.Duration) []string {
	var over []string
	for t, d := range m.longest {
		if d > bound {
			spec, _ := m.c.spec(t.Job)
			over = append(over, fmt.Sprintf("task %s stood for %s: %+v", t, d, spec.Steps[t.Step]))
		}
	}
	slices.Sort(over)
	return over
}
