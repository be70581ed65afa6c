//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdLimit     = 6 * time.Second
	stopTime      = 100 * time.Millisecond
	startupTime   = 300 * time.Millisecond // of a task that lasts, until it is at work
	calmTail      = 20                     // ms
	harmTail      = 60                     // ms more beside a task that fills at full pace
	heartbeatTime = 1500 * time.Millisecond
)

// Worker is a stand-in of a worker. It starts whatever it is told to start. A task runs for the
// time that the job's spec names as "work=MILLISECONDS", or until it is stopped if that says
// "lasting serve" or "lasting fill". A task that serves responds within calmTail, and slower
// while the worker is disturbed and a task that fills works beside it.
type Worker struct {
	ID, Addr string
	rig      *Rig
	born     int64
	begun    time.Time

	mu        sync.Mutex
	fence     int64
	deadline  int64 // of the lease, on the worker's clock
	active    map[string]*activeRun
	highest   map[string]int64 // run that has stopped or ended, by task
	finished  [][]any
	ends      int64
	changed   chan struct{}
	disturbed bool
}

type activeRun struct {
	lasting, fills bool
	pace           int64 // percent
	run            int64
	begun          time.Time
	work           time.Duration
	stopped        bool
	timer          *time.Timer
}

// NewWorker starts a worker of a service and registers it.
func (r *Rig) NewWorker(id, service, zone string) *Worker {
	w := &Worker{ID: id, rig: r, born: time.Now().UnixMilli(), begun: time.Now().Add(-time.Minute), active: make(map[string]*activeRun), highest: make(map[string]int64), changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fatal(err)
	w.Addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.call(w.start))
	mux.HandleFunc("POST /api/run-stop", w.call(w.stop))
	mux.HandleFunc("POST /api/hold", w.call(w.hold))
	mux.HandleFunc("POST /api/pace", w.call(w.pace))
	mux.HandleFunc("GET /healthz", func(out http.ResponseWriter, _ *http.Request) { out.WriteHeader(http.StatusOK) })
	go http.Serve(listener, mux)
	go func() {
		for n := 1; ; n++ {
			r.Store.Put("keyed.servers", id, map[string]any{
				"service": service, "address": w.Addr, "zone": zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "born": w.born,
				"capacity": map[string]any{"cpu": 32000, "memory_limit_mb": 65536, "gpu": 8}, "labels": []string{"a", "r1-1"}, "clock_ms": w.clock(), "sequence": n,
			})
			time.Sleep(heartbeatTime)
		}
	}()
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			w.mu.Lock()
			if w.clock() > w.deadline {
				for task := range w.active {
					w.end(task, "lapsed")
				}
			}
			w.mu.Unlock()
		}
	}()
	return w
}

// clock is the worker's steady clock in milliseconds.
func (w *Worker) clock() int64 { return time.Since(w.begun).Milliseconds() }

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_timeout_ms"`
	Percentage int64  `json:"percentage"`
}

func (w *Worker) call(handle func(http.ResponseWriter, *http.Request, order)) http.HandlerFunc {
	return func(out http.ResponseWriter, in *http.Request) {
		if id := in.Header.Get("X-Cranberrycrank-Expected-Instance"); id != "" && id != w.ID {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.NewDecoder(in.Body).Decode(&o); err != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		handle(out, in, o)
	}
}

// accept takes the fence of a call. w.mu is held.
func (w *Worker) accept(out http.ResponseWriter, o order) bool {
	if o.Fence < w.fence {
		reply(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return false
	}
	w.fence = o.Fence
	return true
}

// extend takes the deadline of a call. w.mu is held.
func (w *Worker) extend(deadline int64) {
	w.deadline = max(w.deadline, min(deadline, w.clock()+holdLimit.Milliseconds()))
}

func (w *Worker) start(out http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(out, o) {
		return
	}
	refuse := func(reason string) {
		reply(out, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
	}
	a := w.active[o.Task]
	switch {
	case a != nil && a.run == o.Run:
	case o.Run <= w.highest[o.Task]:
		refuse("old")
		return
	case o.Deadline < w.clock():
		refuse("late")
		return
	case a != nil:
		refuse("room")
		return
	default:
		work := 2 * time.Second
		if _, ms, ok := strings.Cut(o.Spec, "work="); ok {
			if n, err := strconv.Atoi(strings.Fields(ms)[0]); err == nil {
				work = time.Duration(n) * time.Millisecond
			}
		}
		a = &activeRun{run: o.Run, begun: time.Now(), work: work, pace: 100, lasting: strings.HasPrefix(o.Spec, "lasting"), fills: o.Spec == "lasting fill"}
		if a.lasting {
			work = 24 * time.Hour
		}
		a.timer = time.AfterFunc(work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[o.Task] == a {
				w.end(o.Task, "done")
			}
		})
		w.active[o.Task] = a
		w.rig.noteStart(Start{Worker: w.ID, Task: o.Task, Run: o.Run, Spec: o.Spec, At: time.Now()})
	}
	w.extend(o.Deadline)
	reply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// end ends a run. w.mu is held.
func (w *Worker) end(task, how string) {
	a := w.active[task]
	a.timer.Stop()
	atWork := a.atWork()
	delete(w.active, task)
	w.highest[task] = max(w.highest[task], a.run)
	w.ends++
	w.finished = append(w.finished, []any{w.ends, task, a.run, how, ""})
	w.rig.noteEnd(w.ID, task, a.run, how, atWork)
	close(w.changed)
	w.changed = make(chan struct{})
}

// SetDisturbed has tasks that fill disturb those that serve, or not.
func (w *Worker) SetDisturbed(disturbed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = disturbed
}

func (a *activeRun) atWork() bool { return a.lasting && time.Since(a.begun) >= startupTime }

// tail is that of the responses of the tasks that serve, in ms. w.mu is held.
func (w *Worker) tail() int64 {
	tail := int64(calmTail)
	for _, a := range w.active {
		if w.disturbed && a.fills && a.atWork() {
			tail += harmTail * a.pace / 100
		}
	}
	return tail
}

func (w *Worker) pace(out http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(out, o) {
		return
	}
	if a := w.active[o.Task]; a != nil && a.run == o.Run {
		a.pace = min(100, max(0, o.Percentage))
		w.rig.Note("worker %s paces %s run %d to %d %%", w.ID, o.Task, o.Run, a.pace)
	}
	reply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) stop(out http.ResponseWriter, _ *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(out, o) {
		return
	}
	a := w.active[o.Task]
	if a == nil || a.run != o.Run {
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	} else if !a.stopped {
		a.stopped = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.active[o.Task] == a {
				w.end(o.Task, "stopped")
			}
		})
	}
	reply(out, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) hold(out http.ResponseWriter, in *http.Request, o order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.accept(out, o) {
		return
	}
	w.extend(o.Deadline)
	for len(w.finished) > 0 && w.finished[0][0].(int64) <= o.LastSeen {
		w.finished = w.finished[1:]
	}
	timer := time.NewTimer(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	defer timer.Stop()
	if o.Wait > 0 && len(w.finished) == 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-in.Context().Done():
		}
		w.mu.Lock()
	}
	active := make([][]any, 0, len(w.active))
	for task, a := range w.active {
		percent, load := min(100, int(100*time.Since(a.begun)/a.work)), int64(1000)
		switch {
		case a.lasting && !a.atWork():
			percent = 0
		case a.lasting:
			percent = 100
		}
		if a.lasting && !a.fills {
			load = w.tail()
		}
		active = append(active, []any{task, a.run, "", percent, load})
	}
	reply(out, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "active": active, "finished": append([][]any{}, w.finished[:min(500, len(w.finished))]...)})
}

// unable is why a case can't run.
type unable string

func (u unable) String() string { return fmt.Sprintf("could not run: %s", string(u)) }
