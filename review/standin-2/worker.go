package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Times of a worker.
const (
	heartbeat  = 1500 * time.Millisecond
	startUp    = 300 * time.Millisecond // of a long-running task
	reportStep = 50 * time.Millisecond  // between looks of a hold call that waits
	expiry     = 3 * heartbeat          // the entry of a silent worker is removed after its last write
)

// amount is an amount of resources.
type amount struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memory_limit_mb"`
	GPU    int `json:"gpu"`
}

// taskRun is a run of a task at a worker.
type taskRun struct {
	task       string
	run        int64
	step       jobStep
	started    time.Time
	stopBy     time.Time // zero without a stop order
	checkpoint string
}

type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
}

// workerBounds are the figures of the deployment that workers keep to.
type workerBounds struct {
	hold, stop, gang time.Duration
}

// worker is one life of a worker.
type worker struct {
	id, zone, rack, kind, service string
	capacity                      amount
	bounds                        workerBounds
	fleet                         *fleet
	born                          int64
	begun                         time.Time
	proxy                         *proxy // leads to its listener
	server                        *http.Server

	mu       sync.Mutex
	silent   bool // calls reach nobody
	down     bool
	draining bool
	deadline time.Duration // of the lease, on the worker's clock
	fence    int64
	active   map[string]*taskRun
	refused  map[string]int64 // highest run stopped or ended, by task
	ends     []endedRun
	lastEnd  int64
	sequence int
	written  time.Time // the newest entry
	stopBeat context.CancelFunc
}

// fleet is all workers and what they have run.
type fleet struct {
	store   *store
	record  *record
	mu      sync.Mutex
	workers map[string]*worker
	jobs    map[string]submittedJob
	failing map[string]time.Duration // jobs whose tasks fail so long after their start
	history []runEvent
}

// runEvent is something that a worker did.
type runEvent struct {
	at           time.Time
	worker, what string // started, ended HOW, lost
	task         string
	run          int64
}

func newFleet(s *store, rec *record) *fleet {
	return &fleet{store: s, record: rec, workers: make(map[string]*worker), jobs: make(map[string]submittedJob), failing: make(map[string]time.Duration)}
}

func (f *fleet) note(w *worker, what, task string, run int64) {
	f.mu.Lock()
	f.history = append(f.history, runEvent{time.Now(), w.id, what, task, run})
	f.mu.Unlock()
	f.record.line("worker %s: %s run %d %s", w.id, task, run, what)
}

// events returns what has happened to the tasks of a job.
func (f *fleet) events(job string) []runEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []runEvent
	for _, e := range f.history {
		if strings.HasPrefix(e.task, job+".") {
			events = append(events, e)
		}
	}
	return events
}

// started reports whether any task of a job was ever started.
func (f *fleet) started(job string) bool { return len(f.events(job)) > 0 }

// add starts a worker at a free port.
func (f *fleet) add(id, zone, rack, kind string, capacity amount, b workerBounds) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, zone: zone, rack: rack, kind: kind, service: serviceName, capacity: capacity, bounds: b, fleet: f, born: time.Now().UnixMilli(), begun: time.Now(),
		proxy: p, active: make(map[string]*taskRun), refused: make(map[string]int64),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.serve(w.start))
	mux.HandleFunc("POST /api/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /api/hold", w.serve(w.hold))
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }() // returns once the worker is closed
	ctx, cancel := context.WithCancel(context.Background())
	w.stopBeat = cancel
	go w.live(ctx)
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	w.beat()
	return w, nil
}

// live writes heartbeats and ends runs that are over.
func (w *worker) live(ctx context.Context) {
	beat, look := time.NewTicker(heartbeat), time.NewTicker(10*time.Millisecond)
	defer beat.Stop()
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
			w.beat()
		case <-look.C:
			w.advance()
		}
	}
}

func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	entry, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.proxy.addr(), "zone": w.zone, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": w.capacity, "labels": []string{w.kind, w.rack}, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born,
	})
	down := w.down || w.silent
	if !down {
		w.written = time.Now()
	}
	w.mu.Unlock()
	if err == nil && !down {
		w.fleet.store.put("keyed.servers", w.id, entry)
	}
}

// setService puts a worker into another service.
func (w *worker) setService(name string) {
	w.mu.Lock()
	w.service = name
	w.mu.Unlock()
	w.beat()
}

func (w *worker) clock() time.Duration { return time.Since(w.begun) }

// fails reports whether a task that lasts fails now. The caller holds the lock of its worker.
func (f *fleet) fails(r *taskRun, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	after, ok := f.failing[strings.Split(r.task, ".")[0]]
	return ok && now.Sub(r.started) >= after
}

// advance ends the runs that are done, stopped, alone or whose lease is over.
func (w *worker) advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	now := time.Now()
	lapsed := w.clock() > w.deadline
	for _, r := range w.active {
		switch {
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopBy.IsZero() && now.After(r.stopBy):
			w.end(r, "stopped")
		case r.step.LongRunning && w.fleet.fails(r, now):
			w.end(r, "failed")
		case r.step.LongRunning:
		case now.Sub(r.started) > r.step.work():
			w.end(r, "done")
		}
	}
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	delete(w.active, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.run, how})
	w.fleet.note(w, "ended "+how, r.task, r.run)
}

// crash ends the process of a worker, with all that it runs.
func (w *worker) crash() {
	w.mu.Lock()
	w.down = true
	for _, r := range w.active {
		w.fleet.note(w, "lost", r.task, r.run)
	}
	w.active = make(map[string]*taskRun)
	w.mu.Unlock()
	w.stopBeat()
	w.proxy.close()
	_ = w.server.Close()
	w.fleet.record.line("worker %s: process ends", w.id)
}

// expire has the platform remove the entry of a worker that writes no more.
func (w *worker) expire() {
	w.mu.Lock()
	left := time.Until(w.written.Add(expiry))
	w.mu.Unlock()
	time.AfterFunc(left, func() {
		w.fleet.store.put("keyed.servers", w.id, nil)
		w.fleet.record.line("worker %s: its entry expires", w.id)
	})
}

// leave has a worker drain, leave in order after a time, and its entry removed.
func (w *worker) leave(after time.Duration) {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.fleet.record.line("worker %s: drains", w.id)
	w.beat()
	time.Sleep(after)
	w.crash()
	w.fleet.store.put("keyed.servers", w.id, nil)
	w.fleet.record.line("worker %s: has left, its entry is removed", w.id)
}

// percent returns the progress of a run. The caller holds the lock.
func (r *taskRun) percent() int {
	switch {
	case r.step.LongRunning && time.Since(r.started) > startUp:
		return 100
	case r.step.LongRunning:
		return int(99 * time.Since(r.started) / startUp)
	}
	return min(99, int(100*time.Since(r.started)/max(time.Millisecond, r.step.work())))
}

// running returns the runs at work here, as task names.
func (w *worker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name := range w.active {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_timeout_ms"`
}

type answer struct {
	status int
	body   map[string]any
}

// serve decodes a call. Nothing answers at a silent worker.
func (w *worker) serve(call func(ctx context.Context, b orderBody) answer) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			reply(rw, http.StatusBadRequest, struct{}{})
			return
		}
		w.mu.Lock()
		silent := w.silent
		w.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("X-Cranberrycrank-Expected-Instance"); id != "" && id != w.id {
			reply(rw, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		a := call(r.Context(), b)
		if a.body == nil {
			a.body = make(map[string]any)
		}
		a.body["clock_ms"], a.body["born"] = w.clock().Milliseconds(), w.born
		reply(rw, a.status, a.body)
	}
}

func refusal(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"reason": reason}}
}

// lease extends the lease. The caller holds the lock.
func (w *worker) lease(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, w.clock()+w.bounds.hold)
	w.deadline = max(w.deadline, until)
}

func (w *worker) start(_ context.Context, b orderBody) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		return refusal("fence")
	}
	w.fence = b.Fence
	if r := w.active[b.Task]; r != nil && r.run == b.Run {
		return answer{status: http.StatusOK}
	}
	if time.Duration(b.DeadlineMs)*time.Millisecond <= w.clock() {
		return refusal("late")
	}
	w.lease(b.DeadlineMs)
	if b.Run <= w.refused[b.Task] || w.active[b.Task] != nil {
		return refusal("old")
	}
	step, ok := w.fleet.stepOf(b.Task)
	if !ok {
		w.fleet.note(w, "started, though no such task was handed in", b.Task, b.Run)
		return answer{status: http.StatusOK}
	}
	w.active[b.Task] = &taskRun{task: b.Task, run: b.Run, step: step, started: time.Now(), checkpoint: b.Checkpoint}
	w.fleet.note(w, "started", b.Task, b.Run)
	return answer{status: http.StatusOK}
}

func (w *worker) stop(_ context.Context, b orderBody) answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.Fence < w.fence {
		return refusal("fence")
	}
	w.fence = b.Fence
	w.refused[b.Task] = max(w.refused[b.Task], b.Run)
	if r := w.active[b.Task]; r != nil && r.run <= b.Run && r.stopBy.IsZero() {
		r.stopBy = time.Now().Add(w.bounds.stop / 2)
		w.fleet.note(w, "told to stop", b.Task, b.Run)
	}
	return answer{status: http.StatusOK}
}

func (w *worker) hold(ctx context.Context, b orderBody) answer {
	w.mu.Lock()
	if b.Fence < w.fence {
		w.mu.Unlock()
		return refusal("fence")
	}
	w.fence = b.Fence
	if b.DeadlineMs > 0 {
		w.lease(b.DeadlineMs)
	}
	rest := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > b.LastSeen {
			rest = append(rest, e)
		}
	}
	w.ends = rest
	w.mu.Unlock()
	for until := time.Now().Add(time.Duration(b.WaitMs) * time.Millisecond); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(reportStep) {
		w.mu.Lock()
		listed := len(w.ends) > 0
		w.mu.Unlock()
		if listed {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.active {
		active = append(active, []any{r.task, r.run, r.checkpoint, r.percent(), 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return answer{http.StatusOK, map[string]any{"active": active, "finished": finished}}
}

// stepOf returns the step of a task that was handed in.
func (f *fleet) stepOf(task string) (jobStep, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return jobStep{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	j, ok := f.jobs[parts[0]]
	var step int
	if _, err := fmt.Sscan(parts[2], &step); err != nil || !ok || step >= len(j.Steps) {
		return jobStep{}, false
	}
	return j.Steps[step], true
}

// losePower ends a worker without a word: nothing answers at its address any more.
func (w *worker) losePower() {
	w.mu.Lock()
	w.down, w.silent = true, true
	for _, r := range w.active {
		w.fleet.note(w, "lost", r.task, r.run)
	}
	w.active = make(map[string]*taskRun)
	w.mu.Unlock()
	w.stopBeat()
	w.proxy.silence()
	w.fleet.record.line("worker %s: loses power", w.id)
	w.expire()
}
