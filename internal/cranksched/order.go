package cranksched

import (
	"context"
	"fmt"
	"math"
	"time"

	crank "cranberrycrank"
)

// stepKey identifies the occurrence of a step that a task belongs to.
func stepKey(t *task) string { return fmt.Sprintf("%s.%d.%d", t.id.Job, t.id.Occurrence, t.id.Step) }

// startRuns starts each task on the worker chosen for it. The tasks of a gang share
// one run number and one checkpoint. An order is sent once it is stored that the task may
// run at its worker.
func (s *Scheduler) startRuns(tasks []*task, workers []*worker) {
	for i, t := range tasks {
		if workers[i].placements[t.id] != nil { // an earlier run there is being stopped
			return
		}
	}
	run := s.nextRun(tasks)
	s.allowStarts(tasks, workers)
	allowed := true
	for i, t := range tasks {
		allowed = allowed && s.mayStartAt(t, workers[i])
	}
	for i, t := range tasks {
		w := workers[i]
		p := &placement{id: t.id, task: t, worker: w, run: run, demand: t.step.ReservedCapacity(), stepKey: stepKey(t), step: t.step,
			state: statePlanned, conclusiveAfter: math.MaxInt64, startedAt: time.Now()}
		t.lastRun, t.placement, t.held = run, p, false
		t.job.placed++
		w.placements[t.id] = p
		if (s.Planning.Adaptive && t.job.spec.Priority == 0) || w.isShared() {
			w.watched.Store(true)
		}
	}
	if allowed {
		s.sendStarts(tasks)
	}
}

// mayStartAt reports whether it is stored that a task may run at a worker.
func (s *Scheduler) mayStartAt(t *task, w *worker) bool {
	return t.mayRun && (t.recorded == 0 || (t.placeStored && t.recorded == s.roster.numbers[w.incarnation]))
}

// allowStarts has it stored that tasks of a job may run at workers, and nowhere else. Where
// they may be started before that, the record is written with a delay.
func (s *Scheduler) allowStarts(tasks []*task, workers []*worker) {
	j := tasks[0].job
	perOccurrence := j.spec.TasksPerOccurrence()
	for i, t := range tasks {
		place := 0
		if w := workers[i]; s.roster.numbered[w.incarnation] {
			place = s.roster.numbers[w.incarnation]
		}
		if t.mayRun && place == j.progress.Place(t.ordinal, perOccurrence) {
			continue
		}
		if !t.mayRun {
			j.progress = j.progress.WithOrdered(t.ordinal, perOccurrence)
		}
		j.progress = j.progress.WithPlace(t.ordinal, perOccurrence, place)
		j.unrecorded = append(j.unrecorded, t)
		if !s.mayStartAt(t, workers[i]) {
			s.markDirty(j)
			continue
		}
		s.recordSoon(j)
	}
}

// startAllowed notes the starts that a stored record of a job allows, and sends the
// orders of those that are planned.
func (s *Scheduler) startAllowed(j *job, places []recordedPlace) {
	perOccurrence := j.spec.TasksPerOccurrence()
	for _, r := range places {
		t := r.task
		if t.recorded != r.place || !j.progress.MayRun(t.ordinal, perOccurrence) {
			continue // changed since
		}
		t.mayRun, t.placeStored = true, true
	}
	for _, r := range places {
		s.sendPlanned(r.task)
	}
}

// sendPlanned sends the order of a task that is planned and may start now, or of all
// members of its gang once all of them may.
func (s *Scheduler) sendPlanned(t *task) {
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.members()
	}
	for _, m := range tasks {
		if p := m.placement; p == nil || p.state != statePlanned || !s.mayStartAt(m, p.worker) {
			return
		}
	}
	for _, m := range tasks {
		if p := m.placement; m.job.ending() || p.worker.failedRenewals > 0 || p.worker.ending || !s.Leadership.Valid() {
			s.stopRun(p, unstartable)
			return
		}
	}
	s.sendStarts(tasks)
}

// unstartable is why planned runs are given up.
const unstartable = "it can't be started any more"

// sendStarts sends the orders of tasks that start together, of all or of none.
func (s *Scheduler) sendStarts(tasks []*task) {
	if s.ctx.Err() != nil {
		return
	}
	for _, t := range tasks {
		p := t.placement
		p.conclusiveAfter = p.worker.keeper.DeadlineAfter(s.startWindow())
		if p.conclusiveAfter == 0 {
			s.stopRun(p, unstartable)
			return
		}
	}
	for _, t := range tasks {
		s.sendStart(t.placement)
	}
	for _, t := range tasks { // a slow log does not come between the orders of a gang
		p := t.placement
		s.Logger.Info("sched: run ordered", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "zone", p.worker.entry.Zone,
			"checkpoint", t.checkpoint != "", "waited", time.Since(t.waitingSince).Round(time.Millisecond), "until", p.conclusiveAfter)
	}
}

// startWindow returns how long a start order is valid. All members of a gang must
// have started before the first one stops waiting for the others.
func (s *Scheduler) startWindow() time.Duration {
	return min(maxStartWindow, time.Duration(gangStartShare*float64(s.Bounds.GangTimeout)))
}

func (s *Scheduler) sendStart(p *placement) {
	t := p.task
	t.job.ordered = true
	p.state, p.startedAt = stateOrdered, time.Now()
	s.noteStart(p)
	s.priorityScope(t.job.spec.Priority).Timer("place_wait").Record(time.Since(t.waitingSince))
	order := crank.RunOrder{Task: p.id, Run: p.run, Payload: t.job.spec.Payload, Checkpoint: t.checkpoint, Fence: s.Term, DeadlineMs: p.conclusiveAfter}
	client := p.worker.client
	s.send(p, func(ctx context.Context) func() {
		reply, uncertain, err := s.tryStart(ctx, client, order)
		return func() { s.handleStartReply(p, reply, uncertain, err) }
	})
}

// send calls order beside the planner and then, on the planner's goroutine, what order
// returns. The end of the term does not cut off orders of gangs.
func (s *Scheduler) send(p *placement, order func(ctx context.Context) func()) {
	if p.step == nil || !p.step.Gang {
		go func() { s.post(order(s.ctx)) }()
		return
	}
	s.gangOrders++
	go func() {
		handle := order(s.ordersCtx)
		select {
		case s.inbox <- func() { s.gangOrders--; handle() }:
		case <-s.ordersCtx.Done():
		}
	}()
}

// finishOrders handles the answers to orders of gangs after the end of the term. It stops
// those gangs of which a start got none.
func (s *Scheduler) finishOrders() {
	deadline := time.After(handOverTime)
	for s.gangOrders > 0 {
		select {
		case f := <-s.inbox:
			f()
		case <-deadline:
			s.Logger.Warn("sched: term ends before answers to orders of gangs", "orders", s.gangOrders)
			return
		}
	}
}

// tryStart sends a start order and retries it if no answer comes; workers treat equal
// starts as one. After a try without an answer the result is uncertain: that try may
// have taken effect, whatever the next answer says.
func (s *Scheduler) tryStart(ctx context.Context, client crank.LeasedWorker, order crank.RunOrder) (reply crank.OrderReply, uncertain bool, err error) {
	for range startTries {
		callCtx, cancel := context.WithTimeout(ctx, startTimeout)
		reply, err = client.Start(callCtx, order)
		cancel()
		if kind := crank.KindOf(err); err == nil || (kind != crank.KindUnknown && kind != crank.KindFenced) {
			return reply, uncertain, err
		}
		uncertain = true
		if s.ctx.Err() != nil {
			break
		}
	}
	return reply, uncertain, err
}

// handleStartReply keeps the placement of an uncertain start until a report shows
// whether the run exists.
func (s *Scheduler) handleStartReply(p *placement, reply crank.OrderReply, uncertain bool, err error) {
	if p.worker.placements[p.id] != p {
		return // a report has already resolved it
	}
	if err == nil && reply.Refusal == crank.RefusalNone {
		if p.state == stateOrdered {
			s.confirmStart(p, reply.ClockMs)
		}
		return
	}
	if err == nil && reply.Refusal == crank.RefusalFence {
		s.Leadership.Resign("worker " + p.worker.entry.ID + " has seen a higher fence")
	}
	v := p.known().JudgeReply(reply, uncertain, err)
	if !v.Over() {
		s.Logger.Warn("sched: start without an answer", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "until", p.conclusiveAfter, "last-refusal", reply.Refusal, "error", err)
		if p.state == stateOrdered && p.step.Gang {
			s.stopRun(p, "a gang member's start got no answer")
		}
		s.recordRefusedStart(p, err)
		return
	}
	why := ""
	switch kind := crank.KindOf(err); {
	case err == nil:
		why = "refused: " + string(reply.Refusal)
	case kind == crank.KindNotFound || kind == crank.KindConflict:
		why = "another worker or incarnation has answered"
	case kind == crank.KindRefused:
		why = "the connection was refused"
	case kind == crank.KindUnavailable:
		why = "the worker is unhealthy"
		p.worker.quarantinedUntil = time.Now().Add(time.Second)
	case kind == crank.KindInvalid:
		why = "the order is invalid"
	default:
		why = "the order failed"
	}
	s.Logger.Warn("sched: start refused", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "why", why, "clock", reply.ClockMs, "until", p.conclusiveAfter, "error", err)
	s.Scope.Tagged(map[string]string{"why": why}).Counter("starts_refused").Inc(1)
	s.recordRefusedStart(p, err)
	stopped := p.state == stateStopping && reply.Refusal == crank.RefusalStaleRun // the stop came before the start
	if p.task != nil && !stopped {
		p.task.avoidWorker(p.worker.entry.ID)
	}
	s.abandonGang(p, "a gang member's start was refused")
	s.release(p, why, v)
}

// stopRun stops a run and the other members of its gang. The run keeps its capacity
// until a report shows that it has ended.
func (s *Scheduler) stopRun(p *placement, why string) {
	if p.state == stateStopping {
		return
	}
	if p.state == statePlanned {
		s.release(p, why, p.known().JudgePlanned())
		return
	}
	p.state, p.reason = stateStopping, why
	s.Logger.Info("sched: stopping run", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "why", why,
		"percent", p.percent, "ran", time.Since(p.startedAt).Round(time.Millisecond))
	s.sendStop(p)
	s.abandonGang(p, why)
}

// sendStop sends a stop order; checkTimeouts repeats it if it has no effect.
func (s *Scheduler) sendStop(p *placement) {
	p.stopRetryAt = time.Now().Add(stopTimeout + s.Bounds.StopTime + stopMargin)
	if !s.Leadership.Valid() {
		return
	}
	client := p.worker.client
	order := crank.StopOrder{Task: p.id, Run: p.run, Fence: s.Term}
	s.send(p, func(ctx context.Context) func() {
		callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		reply, err := client.Stop(callCtx, order)
		return func() { s.handleStopReply(p, reply, err) }
	})
}

// handleStopReply handles the answer to a stop order. A worker that has answered
// refuses a start of the run that arrives later.
func (s *Scheduler) handleStopReply(p *placement, reply crank.OrderReply, err error) {
	if p.worker.placements[p.id] != p {
		return
	}
	switch {
	case err != nil:
		s.Logger.Warn("sched: stop without an answer", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "error", err)
	case reply.Refusal == crank.RefusalFence:
		s.Leadership.Resign("worker " + p.worker.entry.ID + " has seen a higher fence")
	default:
		p.conclusiveAfter, p.answeredAt = min(p.conclusiveAfter, reply.ClockMs), time.Now()
	}
}
