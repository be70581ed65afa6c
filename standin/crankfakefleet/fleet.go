// Package crankfakefleet is a stand-in of the platform's leased workers. It
// runs tasks as timers, keeps leases and fences as the platform does, and
// notes each promise that an order breaks.
package crankfakefleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Fault is what happens to one call to a worker.
type Fault struct {
	Cut    bool          // the call does not arrive
	Lose   bool          // it is done, and the answer is lost
	Late   time.Duration // it is done so much later, and the answer is lost
	Refuse bool          // the worker is unhealthy and does nothing
}

// Config sets up a Fleet.
type Config struct {
	Bounds  crank.LeaseBounds
	Specs   func(job string) (crank.StepJob, bool)  // what was submitted
	Faults  func(caller, worker, call string) Fault // may be nil
	RunTime func(id crank.TaskID, worker string) time.Duration
	Fails   func(id crank.TaskID, run int64, worker string) bool // may be nil
	Stuck   func(worker string) bool                             // may be nil; runs there make no progress
}

// Fleet is all workers and what they have seen.
type Fleet struct {
	Config
	mu         sync.Mutex
	workers    map[string]*worker
	running    map[crank.TaskID]map[*run]bool
	done       map[crank.TaskID]bool  // its end was acknowledged
	good       map[crank.TaskID]bool  // a run of it was done, acknowledged or not
	again      map[crank.TaskID]int64 // newest run that was started after a good one
	failures   map[crank.TaskID]int
	runs       map[string]int // started, by job
	violations []string
}

type worker struct {
	fleet    *Fleet
	entry    crank.WorkerEntry
	began    time.Time
	up       bool
	fence    int64
	deadline time.Time
	runs     map[crank.TaskID]*run
	ended    []crank.EndedRun
	lapsed   map[int64]bool // numbers of ends before which the lease lapsed
	floor    map[crank.TaskID]int64
	number   int64
	changed  chan struct{}
	timer    *time.Timer
}

type run struct {
	id         crank.TaskID
	number     int64
	worker     *worker
	step       crank.Step
	began      time.Time
	working    bool
	length     time.Duration
	timer      *time.Timer
	checkpoint string
}

// New returns a fleet without workers.
func New(c Config) *Fleet {
	return &Fleet{
		Config: c, workers: make(map[string]*worker), running: make(map[crank.TaskID]map[*run]bool),
		done: make(map[crank.TaskID]bool), good: make(map[crank.TaskID]bool), again: make(map[crank.TaskID]int64), runs: make(map[string]int), failures: make(map[crank.TaskID]int),
	}
}

// Change changes how runs go. Specs and Faults stay.
func (f *Fleet) Change(change func(c *Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.Config)
}

// Add starts a worker and returns its entry. A worker with the same identity
// is replaced by a new life.
func (f *Fleet) Add(e crank.WorkerEntry) crank.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.workers[e.ID]; old != nil {
		old.crash()
	}
	e.Born = time.Now().UnixMilli()
	f.workers[e.ID] = &worker{
		fleet: f, entry: e, began: time.Now(), up: true, runs: make(map[crank.TaskID]*run),
		floor: make(map[crank.TaskID]int64), lapsed: make(map[int64]bool), changed: make(chan struct{}),
	}
	return e
}

// Crash ends a worker's life. Nothing of it is left.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.crash()
	}
}

// Violations returns the promises that were broken.
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
	for _, runs := range f.runs {
		n += runs
	}
	return n
}

// Done returns how many tasks of a job have a run that was done.
func (f *Fleet) Done(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for id := range f.good {
		if id.Job == job {
			n++
		}
	}
	return n
}

// Ran reports whether a run of a job was ever started.
func (f *Fleet) Ran(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[job] > 0
}

// Encode returns an entry as a record's value; Decode reads it back.
func Encode(e crank.WorkerEntry) []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic(err) // an entry always has a JSON form
	}
	return data
}

// Decode reads a record of the workers' topic.
func Decode(r crank.KeyedRecord) (crank.WorkerEntry, error) {
	var e crank.WorkerEntry
	err := json.Unmarshal(r.Value, &e)
	return e, crank.Wrap("entry decode", crank.KindInvalid, err)
}

func (f *Fleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// clock returns the time on the worker's clock.
func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

func (w *worker) crash() {
	w.up = false
	for _, r := range w.runs {
		w.drop(r)
		if r.step.Gang {
			w.fleet.breakGang(r, crank.EndBroken)
		}
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	w.wake()
}

func (w *worker) drop(r *run) {
	delete(w.runs, r.id)
	delete(w.fleet.running[r.id], r)
	if r.timer != nil {
		r.timer.Stop()
	}
}

func (w *worker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// end ends a run and lists it.
func (w *worker) end(r *run, how crank.EndKind) {
	if w.runs[r.id] != r {
		return
	}
	w.drop(r)
	if how == crank.EndStopped || how == crank.EndLapsed {
		r.save()
	}
	if how == crank.EndDone {
		w.fleet.good[r.id] = true
	}
	w.number++
	w.floor[r.id] = max(w.floor[r.id], r.number)
	w.ended = append(w.ended, crank.EndedRun{Number: w.number, Task: r.id, Run: r.number, How: how, Checkpoint: r.checkpoint})
	w.wake()
	if r.step.Gang {
		w.fleet.breakGang(r, how)
	}
}

// save makes a checkpoint of the work so far.
func (r *run) save() {
	if r.step.Checkpoints && r.working {
		r.checkpoint = fmt.Sprintf("%d", time.Since(r.began).Milliseconds())
	}
}

// breakGang ends the other members of a gang's run.
func (f *Fleet) breakGang(r *run, how crank.EndKind) {
	other := crank.EndBroken
	if how == crank.EndDone {
		other = crank.EndDone
	}
	for i := range r.step.Tasks {
		id := r.id
		id.Index = i
		for m := range f.running[id] {
			if m.number == r.number {
				m.worker.end(m, other)
			}
		}
	}
}

// extend moves the lease on, and ends what runs when it is over.
func (w *worker) extend(until int64) {
	limit := time.Now().Add(w.fleet.Bounds.HoldLimit)
	d := w.began.Add(time.Duration(until) * time.Millisecond)
	if d.After(limit) {
		d = limit
	}
	if !d.After(w.deadline) {
		return
	}
	w.deadline = d
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timer = time.AfterFunc(time.Until(d), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.up && !time.Now().Before(w.deadline) {
			w.lapse()
		}
	})
}

func (w *worker) lapse() {
	for _, e := range w.ended {
		w.lapsed[e.Number] = true
	}
	for _, r := range w.runs {
		w.end(r, crank.EndLapsed)
	}
}

// LeasedWorker implements crank.LeaseDialer for a caller without a name.
func (f *Fleet) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return f.Dialer("").LeasedWorker(e)
}

// Dialer returns the workers as a caller reaches them.
func (f *Fleet) Dialer(caller string) crank.LeaseDialer { return dialer{f, caller} }

type dialer struct {
	fleet  *Fleet
	caller string
}

// LeasedWorker implements crank.LeaseDialer.
func (d dialer) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return &client{fleet: d.fleet, caller: d.caller, entry: e}
}

// client is one life of a worker as a caller reaches it.
type client struct {
	fleet  *Fleet
	caller string
	entry  crank.WorkerEntry
}

// do carries a call out under its fault.
func (c *client) do(ctx context.Context, call string, f func(w *worker) error) error {
	const op = "worker call"
	fault := Fault{}
	if c.fleet.Faults != nil {
		fault = c.fleet.Faults(c.caller, c.entry.ID, call)
	}
	unanswered := func() error {
		<-ctx.Done()
		return crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
	switch {
	case fault.Cut:
		return unanswered()
	case fault.Refuse:
		return crank.Fail(op, crank.KindUnavailable, "the worker is unhealthy")
	case fault.Late > 0:
		time.AfterFunc(fault.Late, func() { _ = c.locked(f) }) // nobody gets the answer
		return unanswered()
	}
	c.fleet.mu.Lock()
	w := c.fleet.workers[c.entry.ID]
	up := w != nil && w.up
	c.fleet.mu.Unlock()
	if !up {
		return unanswered()
	}
	err := c.locked(f)
	if fault.Lose {
		return unanswered()
	}
	return err
}

func (c *client) locked(f func(w *worker) error) error {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	w := c.fleet.workers[c.entry.ID]
	if w == nil || !w.up {
		return crank.Fail("worker call", crank.KindUnknown, "the worker is down")
	}
	if w.entry.Born != c.entry.Born {
		return crank.Fail("worker call", crank.KindNotFound, "the worker started again")
	}
	return f(w)
}
