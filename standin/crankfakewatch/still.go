package crankfakewatch

import (
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
)

// lastingGrace is how long a task that lasts may be away after its last run.
const lastingGrace = 6 * time.Second

// room is the free capacity of the pool at one moment.
type room struct {
	workers  []crankfakefleet.WorkerState
	shares   [3]float64 // in use, of cores, memory and accelerators
	inUse    float64    // the largest of them
	halfFree bool
	fits     map[place]int
}

// place is what a worker must have for a task.
type place struct {
	demand crank.Demand
	label  string
	most   int // tasks per worker, 0 for no limit
}

func newRoom(workers []crankfakefleet.WorkerState) *room {
	r := &room{workers: workers, fits: make(map[place]int)}
	var free, all crank.Demand
	for _, s := range workers {
		free, all = free.Plus(s.Free), all.Plus(s.Entry.Capacity)
	}
	for i, p := range [][2]int{{free.MilliCores, all.MilliCores}, {free.MemoryMiB, all.MemoryMiB}, {free.Accelerators, all.Accelerators}} {
		if p[1] > 0 {
			r.shares[i] = 1 - float64(p[0])/float64(p[1])
		}
	}
	r.inUse = slices.Max(r.shares[:])
	r.halfFree = r.inUse < 0.5
	return r
}

// hasTwice reports whether there is capacity for the task, or its whole gang, twice.
func (r *room) hasTwice(s crank.Step) bool {
	need := place{s.ReservedCapacity(), s.Label, s.MaxPerWorker}
	n, ok := r.fits[need]
	if !ok {
		for _, w := range r.workers {
			n += need.count(w)
		}
		r.fits[need] = n
	}
	if s.Gang {
		return n >= 2*s.Tasks
	}
	return n >= 2
}

// count returns how many tasks fit on a worker without others of their step.
func (p place) count(w crankfakefleet.WorkerState) int {
	if p.label != "" && !slices.Contains(w.Entry.Labels, p.label) {
		return 0
	}
	n := count(w.Free, p.demand)
	if p.most > 0 {
		n = min(n, p.most)
	}
	return n
}

// count returns how often a demand fits.
func count(free, need crank.Demand) int {
	n := 1 << 20
	for _, p := range [][2]int{{free.MilliCores, need.MilliCores}, {free.MemoryMiB, need.MemoryMiB}, {free.Accelerators, need.Accelerators}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return n
}

// Progress is the state of the jobs at one moment.
type Progress struct {
	Open, Still int        // jobs
	InUse       float64    // share of the pool
	Shares      [3]float64 // of its cores, memory and accelerators
}

// Tick looks for jobs that stand still. It is to be called several times a second.
func (w *Watch) Tick(now time.Time) Progress {
	r := newRoom(w.Workers())
	p := Progress{InUse: r.inUse, Shares: r.shares}
	calm := w.Calm()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range w.jobs {
		if j.owed() {
			p.Open++
		}
		for _, v := range []View{ViewWorker, ViewNoted, ViewRoom} {
			t, stands := j.standing(r, now, v)
			stands = stands && (r.halfFree || v == ViewRoom)
			w.note(j, stillKey{View: v}, t, stands, now, calm)
			if stands && v == ViewWorker {
				p.Still++
			}
		}
		if j.Lasting {
			w.tickLasting(j, r, now, calm)
		}
	}
	return p
}

func (w *Watch) tickLasting(j *job, r *room, now time.Time, calm bool) {
	for n, s := range j.Steps {
		for i := range s.Tasks {
			t := crank.TaskID{Job: j.ID, Step: n, Index: i}
			since := j.lastRun[t]
			if since.IsZero() {
				since = j.acceptedAt
			}
			stands := j.owed() && j.running[t] == 0 && now.Sub(since) > lastingGrace && r.hasTwice(s)
			w.note(j, stillKey{View: ViewWorker, Task: t}, t, stands && r.halfFree, now, calm)
			w.note(j, stillKey{View: ViewFull, Task: t}, t, stands, now, calm)
		}
	}
}

// standing returns a task that could run, if nothing of the job is running.
func (j *job) standing(r *room, now time.Time, v View) (crank.TaskID, bool) {
	if !j.owed() || j.Lasting {
		return crank.TaskID{}, false
	}
	for _, n := range j.running {
		if n > 0 {
			return crank.TaskID{}, false
		}
	}
	ended := j.done
	if v == ViewNoted {
		ended = j.noted
	}
	for o := range j.Occurrences() {
		if due := j.Due(o); due.After(now) {
			continue
		}
		for i, s := range j.Steps {
			if t, ok := j.ready(o, i, ended); ok && r.hasTwice(s) {
				return t, true
			}
		}
	}
	return crank.TaskID{}, false
}

// ready returns a task of a step that has not ended, if the steps before it have.
func (j *job) ready(occurrence, step int, ended map[crank.TaskID]bool) (crank.TaskID, bool) {
	for _, a := range j.Steps[step].After {
		for i := range j.Steps[a].Tasks {
			if !ended[crank.TaskID{Job: j.ID, Occurrence: occurrence, Step: a, Index: i}] {
				return crank.TaskID{}, false
			}
		}
	}
	for i := range j.Steps[step].Tasks {
		t := crank.TaskID{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
		if !j.done[t] {
			return t, true
		}
	}
	return crank.TaskID{}, false
}

func (w *Watch) note(j *job, k stillKey, t crank.TaskID, stands bool, now time.Time, calm bool) {
	s := j.still[k]
	if s == nil && !stands {
		return
	}
	if s == nil {
		s = &Still{Job: j.ID, Class: j.Class, Task: t, View: k.View, From: now, Runs: j.runs, Open: true}
		j.still[k] = s
	}
	s.extend(now, calm)
	if !stands {
		s.Open = false
		w.stills = append(w.stills, *s)
		delete(j.still, k)
	}
}

func (s *Still) extend(now time.Time, calm bool) {
	s.To = now
	switch {
	case !calm:
		s.calmFrom = time.Time{}
	case s.calmFrom.IsZero():
		s.calmFrom = now
	}
	if calm {
		s.Calm = max(s.Calm, now.Sub(s.calmFrom))
	}
}

// Stills returns the times in which jobs stood still, the latest first.
func (w *Watch) Stills() []Still {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := slices.Clone(w.stills)
	for _, j := range w.jobs {
		for _, s := range j.still {
			all = append(all, *s)
		}
	}
	slices.SortFunc(all, func(a, b Still) int { return b.To.Compare(a.To) })
	return all
}

// Lost returns the stills that break the bound: after the jobs are asked for, or in the
// calm, if they last until then or concern a task that lasts.
func Lost(all []Still, asked time.Time, bound time.Duration) []Still {
	var lost []Still
	for _, s := range all {
		from := s.From
		if from.Before(asked) {
			from = asked
		}
		if s.View == ViewRoom {
			continue
		}
		after := s.To.Sub(from) >= bound && s.View != ViewFull
		inCalm := s.Calm >= bound && (s.View == ViewFull || !s.To.Before(asked))
		if after || inCalm {
			lost = append(lost, s)
		}
	}
	return lost
}

// StartWaits returns the times from submission to the first start, by class.
func (w *Watch) StartWaits() map[string][]time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	waits := make(map[string][]time.Duration)
	for _, j := range w.jobs {
		if !j.startedAt.IsZero() {
			waits[j.Class] = append(waits[j.Class], j.startedAt.Sub(j.submittedAt))
		}
	}
	return waits
}

// Counts returns the number of jobs by the caller's answer, and the completed ones.
func (w *Watch) Counts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := make(map[string]int)
	for _, j := range w.jobs {
		n[string(j.answer)]++
		if !j.completedAt.IsZero() {
			n["completed"]++
		}
		if !j.cancelSent.IsZero() {
			n["cancelled"]++
			if !j.cancelAcked.IsZero() {
				n["cancel-acked"]++
			}
		}
	}
	return n
}
