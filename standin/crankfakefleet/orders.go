package crankfakefleet

import (
	"context"
	"time"

	crank "cranberrycrank"
)

// Start implements crank.LeasedWorker.
func (c *client) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	var reply crank.OrderReply
	err := c.do(ctx, "start", func(w *worker) error {
		reply = w.start(o)
		return nil
	})
	if err != nil {
		return crank.OrderReply{}, err // an order that is carried out late still sets reply
	}
	return reply, nil
}

func (w *worker) start(o crank.RunOrder) crank.OrderReply {
	reply := crank.OrderReply{Clock: w.clock()}
	if o.Fence < w.fence {
		reply.Refusal = crank.RefusalFence
		return reply
	}
	w.fence = o.Fence
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return reply
	}
	if o.Until <= w.clock() {
		reply.Refusal = crank.RefusalLate
		return reply
	}
	w.extend(o.Until)
	if o.Run <= w.floor[o.Task] || w.runs[o.Task] != nil {
		reply.Refusal = crank.RefusalOld
		return reply
	}
	w.begin(o)
	return reply
}

// begin starts a run and checks what was promised about it.
func (w *worker) begin(o crank.RunOrder) {
	f := w.fleet
	f.runs[o.Task.Job]++
	spec, ok := f.Specs(o.Task.Job)
	if _, has := spec.Ordinal(o.Task); !ok || !has {
		f.violate("task %s was not submitted", o.Task)
		return
	}
	step := spec.Steps[o.Task.Step]
	r := &run{id: o.Task, number: o.Run, worker: w, step: step, began: time.Now(), checkpoint: o.Checkpoint}
	f.check(r, spec, o)
	w.runs[r.id] = r
	if f.running[r.id] == nil {
		f.running[r.id] = make(map[*run]bool)
	}
	f.running[r.id][r] = true
	if !step.Gang {
		f.work(r)
		return
	}
	r.timer = time.AfterFunc(f.Bounds.GangTimeout, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !r.working {
			w.end(r, crank.EndAlone)
		}
	})
	f.joinGang(r)
}

// check notes the promises that a start breaks.
func (f *Fleet) check(r *run, spec crank.StepJob, o crank.RunOrder) {
	id := r.id
	if len(f.running[id]) > 0 {
		f.violate("task %s runs twice: run %d at %s", id, r.number, r.worker.entry.ID)
	}
	if f.done[id] {
		f.violate("task %s starts again after its end was acknowledged", id)
	}
	if f.good[id] {
		f.again[id] = r.number
	}
	if o.Payload != spec.Payload {
		f.violate("task %s starts with another payload", id)
	}
	if spec.Attempts > 0 && f.failures[id] >= spec.Attempts {
		f.violate("task %s starts after %d failures", id, f.failures[id])
	}
	for _, a := range r.step.After {
		for i := range spec.Steps[a].Tasks {
			before := crank.TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: a, Index: i}
			if !f.good[before] {
				f.violate("task %s starts before %s is done", id, before)
			}
		}
	}
	room := r.worker.entry.Capacity.Minus(r.step.Room())
	for _, other := range r.worker.runs {
		room = room.Minus(other.step.Room())
	}
	if !room.Covers(crank.Demand{}) || room.MilliCores < 0 || room.MemoryMiB < 0 || room.Accelerators < 0 {
		f.violate("task %s brings worker %s over its capacity", id, r.worker.entry.ID)
	}
}

// joinGang starts the work of a gang once all members are present.
func (f *Fleet) joinGang(r *run) {
	var members []*run
	for i := range r.step.Tasks {
		id := r.id
		id.Index = i
		for m := range f.running[id] {
			if m.number == r.number {
				members = append(members, m)
			}
		}
	}
	if len(members) < r.step.Tasks {
		return
	}
	for _, m := range members {
		m.timer.Stop()
		f.work(m)
	}
}

// work lets a run end after its time.
func (f *Fleet) work(r *run) {
	r.working, r.began = true, time.Now()
	r.length = f.RunTime(r.id, r.worker.entry.ID)
	if f.Stuck != nil && f.Stuck(r.worker.entry.ID) {
		return
	}
	r.timer = time.AfterFunc(r.length, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		how := crank.EndDone
		if f.Fails != nil && f.Fails(r.id, r.number, r.worker.entry.ID) {
			how = crank.EndFailed
		}
		r.worker.end(r, how)
	})
}

// Stop implements crank.LeasedWorker.
func (c *client) Stop(ctx context.Context, o crank.StopOrder) (crank.OrderReply, error) {
	var reply crank.OrderReply
	err := c.do(ctx, "stop", func(w *worker) error {
		reply.Clock = w.clock()
		if o.Fence < w.fence {
			reply.Refusal = crank.RefusalFence
			return nil
		}
		w.fence = o.Fence
		w.floor[o.Task] = max(w.floor[o.Task], o.Run)
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			time.AfterFunc(w.fleet.Bounds.StopTime, func() {
				w.fleet.mu.Lock()
				defer w.fleet.mu.Unlock()
				w.end(r, crank.EndStopped)
			})
		}
		return nil
	})
	if err != nil {
		return crank.OrderReply{}, err // an order that is carried out late still sets reply
	}
	return reply, nil
}

// Hold implements crank.LeasedWorker.
func (c *client) Hold(ctx context.Context, o crank.HoldOrder) (crank.HoldReport, error) {
	const op = "worker hold"
	var report crank.HoldReport
	var changed <-chan struct{}
	deadline := time.After(o.Wait)
	look := func(w *worker) error {
		if o.Fence < w.fence {
			return crank.Fail(op, crank.KindFenced, "fence %d was seen", w.fence)
		}
		w.fence = o.Fence
		if o.Until > 0 {
			w.extend(o.Until)
		}
		w.acknowledge(o.Seen)
		report, changed = w.report(), w.changed
		return nil
	}
	if err := c.do(ctx, "hold", look); err != nil {
		return crank.HoldReport{}, err
	}
	o.Until = 0 // once is enough
	for len(report.Ended) == 0 && o.Wait > 0 {
		select {
		case <-changed:
		case <-deadline:
			return report, c.locked(look)
		case <-ctx.Done():
			return crank.HoldReport{}, crank.Wrap(op, crank.KindUnknown, ctx.Err())
		}
		if err := c.locked(look); err != nil {
			return crank.HoldReport{}, err
		}
	}
	return report, nil
}

// acknowledge forgets ends and notes what they prove.
func (w *worker) acknowledge(seen int64) {
	var rest []crank.EndedRun
	for _, e := range w.ended {
		if e.Number > seen {
			rest = append(rest, e)
			continue
		}
		switch {
		case w.lapsed[e.Number]: // the lease lapsed before: it proves nothing
		case e.How == crank.EndDone:
			w.fleet.done[e.Task] = true
			if again := w.fleet.again[e.Task]; e.Run < again {
				w.fleet.violate("task %s was started again, as run %d, after the end of run %d that is acknowledged now", e.Task, again, e.Run)
			}
		case e.How == crank.EndFailed:
			w.fleet.failures[e.Task]++
		}
	}
	w.ended = rest
}

func (w *worker) report() crank.HoldReport {
	r := crank.HoldReport{Clock: w.clock(), Born: w.entry.Born, Ended: append([]crank.EndedRun(nil), w.ended...)}
	for _, run := range w.runs {
		a := crank.ActiveRun{Task: run.id, Run: run.number, Checkpoint: run.checkpoint}
		if run.working && (w.fleet.Stuck == nil || !w.fleet.Stuck(w.entry.ID)) {
			a.Percent = min(100, 100*float64(time.Since(run.began))/float64(run.length))
		}
		r.Active = append(r.Active, a)
	}
	return r
}
