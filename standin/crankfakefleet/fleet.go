// Package crankfakefleet is a stand-in for the platform's leased workers with
// fault injection. It runs tasks as timers, applies leases and fences as the
// platform does, and checks the scheduler's invariants, such as one active run per
// task, at each start.
package crankfakefleet

import (
	"fmt"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Fault is the fault injected into one call to a worker.
type Fault struct {
	DropRequest  bool          // the call does not reach the worker
	TransitTime  time.Duration // the call reaches whichever incarnation is up after it, if the caller still waits
	DropResponse bool          // the call takes effect, its response is lost
	EffectDelay  time.Duration // the call takes effect this long after it was received, its response is lost
	Refuse       bool          // the worker is unhealthy: the call has no effect
	RefuseStart  bool          // the same for starts only
	ResetStart   bool          // the connection of a start is reset: the call has no effect, which the caller can't tell
	NoListener   bool          // nothing listens at the worker's address: the call has no effect
	Misdirect    bool          // another worker has the address: the call has no effect
	FormerAnswer bool          // a renewal has no effect and is answered as by an earlier incarnation
}

// brokenTime is how long a run lasts on a worker that fails everything at once.
const brokenTime = 50 * time.Millisecond

// Config defines the jobs, run times and faults of a Fleet.
type Config struct {
	Bounds  crank.LeaseBounds
	Specs   func(job string) (crank.StepJob, bool)  // the job as submitted
	Faults  func(caller, worker, call string) Fault // may be nil
	RunTime func(id crank.TaskID, worker string) time.Duration
	Latency func(id crank.TaskID, worker string, bestEffort int) time.Duration // of the responses of a task with a latency target, by the number of best-effort tasks at work beside it; may be nil
	Fails   func(id crank.TaskID, run int64, worker string) bool               // may be nil
	Stuck   func(worker string) bool                                           // may be nil; runs there make no progress
	Broken  func(worker string) bool                                           // may be nil; runs that are started there fail after brokenTime
	Odd     func(worker string) bool                                           // may be nil; its reports have rows that can't be read
	MaxEnds int                                                                // ended runs listed in one report, 0 for all
	ListAge time.Duration                                                      // from the lists of a report to the reading of its clock
	// CrossRackSlowdown multiplies the time of a gang with SameRack on several racks, and
	// of a task off its DataRack. 0 is the same as 1.
	CrossRackSlowdown float64
	ClockRate         float64       // of the workers' clocks, 0 is the same as 1
	Observe           func(e Event) // called under the lock, may be nil
}

// Fleet holds all workers and the history for the invariants. It is safe for
// concurrent use.
type Fleet struct {
	Config
	mu           sync.Mutex
	workers      map[string]*worker
	running      map[crank.TaskID]map[*run]bool
	acknowledged map[crank.TaskID]bool    // its success was acknowledged
	succeeded    map[crank.TaskID]bool    // acknowledged or not
	noted        map[crank.TaskID]bool    // acknowledged, also after its worker's lease had expired
	rerun        map[crank.TaskID]int64   // newest run started after a successful one
	failures     map[crank.TaskID]int     // acknowledged failed runs
	failed       map[crank.TaskID][]int64 // failed runs that a caller has got a report of
	runsStarted  map[string]int           // by job
	lastStart    map[string]time.Time     // of a run, by job
	violations   []string
}

type worker struct {
	fleet             *Fleet
	entry             crank.WorkerEntry
	startedAt         time.Time
	up                bool
	left              bool // its process has ended, and nothing listens at its address
	replaced          bool // its process has ended, and another worker has its address
	fence             int64
	deadline          time.Time
	runs              map[crank.TaskID]*run
	ended             []crank.EndedRun
	endedBeforeExpiry map[int64]bool         // numbers of ends listed when the lease expired
	maxRefusedRun     map[crank.TaskID]int64 // starts of runs up to this number are refused
	lastEndNumber     int64
	changed           chan struct{} // closed and replaced when a run ends or the worker crashes
	leaseTimer        *time.Timer
}

type run struct {
	id         crank.TaskID
	number     int64
	worker     *worker
	step       crank.Step
	startedAt  time.Time
	working    bool
	duration   time.Duration
	timer      *time.Timer
	checkpoint string
}

// New returns a fleet without workers.
func New(c Config) *Fleet {
	return &Fleet{
		Config: c, workers: make(map[string]*worker), running: make(map[crank.TaskID]map[*run]bool),
		acknowledged: make(map[crank.TaskID]bool), noted: make(map[crank.TaskID]bool), succeeded: make(map[crank.TaskID]bool), rerun: make(map[crank.TaskID]int64),
		runsStarted: make(map[string]int), lastStart: make(map[string]time.Time), failures: make(map[crank.TaskID]int), failed: make(map[crank.TaskID][]int64),
	}
}

// UpdateConfig calls change under the lock. It must not change Specs and Faults:
// Faults is read without the lock.
func (f *Fleet) UpdateConfig(change func(c *Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.Config)
}

// Add starts a worker and returns its entry with the start time. A worker with the
// same ID crashes and is replaced by a new incarnation.
func (f *Fleet) Add(e crank.WorkerEntry) crank.WorkerEntry { return f.AddAt(e, time.Now()) }

// AddAt is Add for a worker whose time of day is at now.
func (f *Fleet) AddAt(e crank.WorkerEntry, now time.Time) crank.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.workers[e.ID]; old != nil {
		old.crash()
	}
	e.StartTimeMs = now.UnixMilli()
	f.workers[e.ID] = &worker{
		fleet: f, entry: e, startedAt: time.Now(), up: true, runs: make(map[crank.TaskID]*run),
		maxRefusedRun: make(map[crank.TaskID]int64), endedBeforeExpiry: make(map[int64]bool), changed: make(chan struct{}),
	}
	return e
}

// Crash stops a worker, whose runs and unacknowledged ends are lost. Calls to it get
// no answer.
func (f *Fleet) Crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.crash()
	}
}

// Leave ends a worker's process and its runs. Calls to it are refused.
func (f *Fleet) Leave(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.crash()
		w.left = true
	}
}

// Move gives a worker another address, at which its process goes on. Another worker gets the
// former one. It returns the new entry.
func (f *Fleet) Move(id, addr string) crank.WorkerEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	w.entry.Addr = addr
	return w.entry
}

// Replace ends a worker's process and its runs. Another worker gets its address, which
// answers that it is another one.
func (f *Fleet) Replace(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.crash()
		w.replaced = true
	}
}

func (f *Fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// clock returns the worker's clock, in milliseconds since its start.
func (w *worker) clock() int64 {
	return time.Duration(float64(time.Since(w.startedAt)) * w.rate()).Milliseconds()
}

// rate returns how fast the worker's clock runs.
func (w *worker) rate() float64 {
	if w.fleet.ClockRate == 0 {
		return 1
	}
	return w.fleet.ClockRate
}

// isSilent reports whether nobody answers at the worker's address.
func (w *worker) isSilent() bool { return !w.up && !w.left && !w.replaced }

func (w *worker) crash() {
	w.up = false
	for _, r := range w.runs {
		w.removeRun(r)
		w.observe(Event{Kind: EventLost, Task: r.id, Run: r.number})
		if r.step.Gang {
			w.fleet.endGang(r, crank.EndGangBroken)
		}
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.notifyWaiters()
}

func (w *worker) removeRun(r *run) {
	delete(w.runs, r.id)
	delete(w.fleet.running[r.id], r)
	if r.timer != nil {
		r.timer.Stop()
	}
}

func (w *worker) notifyWaiters() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// endRun ends a run and lists its end for Renew.
func (w *worker) endRun(r *run, kind crank.EndKind) {
	if w.runs[r.id] != r {
		return
	}
	w.removeRun(r)
	if kind == crank.EndStopped || kind == crank.EndLeaseExpired {
		r.saveCheckpoint()
	}
	if kind == crank.EndDone {
		w.fleet.succeeded[r.id] = true
	}
	w.lastEndNumber++
	w.maxRefusedRun[r.id] = max(w.maxRefusedRun[r.id], r.number)
	w.ended = append(w.ended, crank.EndedRun{Number: w.lastEndNumber, Task: r.id, Run: r.number, Kind: kind, Checkpoint: r.checkpoint})
	w.observe(Event{Kind: EventEnded, Task: r.id, Run: r.number, How: kind})
	w.notifyWaiters()
	if r.step.Gang {
		w.fleet.endGang(r, kind)
	}
}

// saveCheckpoint records the time worked so far as the checkpoint.
func (r *run) saveCheckpoint() {
	if r.step.Checkpoints && r.working {
		r.checkpoint = fmt.Sprintf("%d", time.Since(r.startedAt).Milliseconds())
	}
}

// endGang ends the other members of a gang after one has ended: as done if that
// one is done, otherwise as broken.
func (f *Fleet) endGang(r *run, kind crank.EndKind) {
	otherKind := crank.EndGangBroken
	if kind == crank.EndDone {
		otherKind = crank.EndDone
	}
	for i := range r.step.Tasks {
		id := r.id
		id.Index = i
		for m := range f.running[id] {
			if m.number == r.number {
				m.worker.endRun(m, otherKind)
			}
		}
	}
}

// onClock returns how long the worker's clock takes for a duration.
func (w *worker) onClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / w.rate())
}

// extendLease extends the lease to a time on the worker's clock, at most by
// Bounds.MaxLease. Its expiry ends all runs.
func (w *worker) extendLease(until int64) {
	limit := time.Now().Add(w.onClock(w.fleet.Bounds.MaxLease))
	d := w.startedAt.Add(w.onClock(time.Duration(until) * time.Millisecond))
	if d.After(limit) {
		d = limit
	}
	if !d.After(w.deadline) {
		return
	}
	w.deadline = d
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Until(d), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.up && !time.Now().Before(w.deadline) {
			w.expireLease()
		}
	})
}

// expireLease ends all runs. Acknowledging an end listed before proves nothing.
func (w *worker) expireLease() {
	for _, e := range w.ended {
		w.endedBeforeExpiry[e.Number] = true
	}
	for _, r := range w.runs {
		w.endRun(r, crank.EndLeaseExpired)
	}
}
