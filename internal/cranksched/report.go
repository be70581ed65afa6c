package cranksched

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankevidence"
	"cranberrycrank/internal/crankfleet"
)

// handleReport applies a worker's report of active and ended runs, and releases runs
// that a conclusive report does not list.
func (s *Scheduler) handleReport(w *worker, r crankfleet.RenewResult) {
	if w.ended {
		return
	}
	if r.Err != nil {
		s.handleRenewError(w, r.StartTimeMs, r.Err)
		return
	}
	s.observe(w, r)
	if w.failedRenewals > 0 {
		s.Logger.Info("sched: worker reachable again", "worker", w.entry.ID, "failed-holds", w.failedRenewals)
		s.changed = true
	}
	w.failedRenewals = 0
	s.dateFormer(crank.WorkerClock{Incarnation: w.incarnation, Ms: r.ClockMs}, r.Received)
	s.checkReadable(w, r)
	s.resumeExtending(w)
	if !w.answered {
		w.answered = true
		s.roster.add(w)
		s.changed = true
	}
	if !r.Incomplete && !w.accounted {
		w.accounted = true
		s.accountFor(w)
	}
	for _, e := range r.Ended {
		if e.Number > w.lastEnd {
			w.lastEnd = e.Number
			s.handleEndedRun(w, e)
		}
	}
	for _, a := range r.Active {
		s.handleActiveRun(w, a, r)
	}
	report := crankevidence.NewReport(r.RenewReport, r.Sent, r.SentClock)
	for _, p := range w.placements {
		if v := p.known().JudgeReport(report); v.Over() {
			s.loseRun(p, "not listed by its worker", v)
		}
	}
	if len(r.Ended) > 0 {
		s.acks[w] = w.lastEnd
	}
	s.protectLatency(w, r)
	w.watched.Store((s.Planning.Adaptive && w.needsWatch()) || w.isShared())
}

// checkReadable stops extending the lease of a worker whose reports have rows that can't
// be read: once it is over, nothing runs there that no report shows.
func (s *Scheduler) checkReadable(w *worker, r crankfleet.RenewResult) {
	if r.Unreadable != w.unreadable {
		s.Logger.Warn("sched: worker's report", "worker", w.entry.ID, "born", w.entry.StartTimeMs, "readable", !r.Unreadable, "running", len(w.placements))
	}
	if w.unreadable = r.Unreadable; w.unreadable {
		s.stopExtending(w)
	}
}

// handleRenewError handles a failed renewal. The start time is that of the incarnation
// that answered, or 0.
func (s *Scheduler) handleRenewError(w *worker, startTimeMs int64, err error) {
	if crank.KindOf(err) == crank.KindConflict {
		w.laterMs = max(w.laterMs, startTimeMs)
		w.contradicted = startTimeMs < w.entry.StartTimeMs
	}
	if v := s.judge(w, time.Now()); w.laterMs > w.entry.StartTimeMs && v.Over() {
		s.endIncarnation(w, v)
		s.askNext(w, w.laterMs)
		return
	}
	switch crank.KindOf(err) {
	case crank.KindFenced:
		s.Leadership.Resign("worker " + w.entry.ID + " has seen a higher fence")
		return
	}
	if w.failedRenewals == 0 && w.answered {
		s.Logger.Warn("sched: worker unreachable", "worker", w.entry.ID, "born", w.entry.StartTimeMs, "addr", w.entry.Addr, "running", len(w.placements),
			"kind", crank.KindOf(err), "error", err)
	}
	if w.failedRenewals == 0 {
		w.silentSince = time.Now()
	}
	w.failedRenewals++
	if w.failedRenewals == crankfleet.SilentRenewals {
		s.stopExtending(w)
		s.accountForFormer(w)
	}
}

// handleEndedRun releases a run that ended and records its result. For a run older
// than the task's current one, only success or failure is counted.
func (s *Scheduler) handleEndedRun(w *worker, e crank.EndedRun) {
	p := w.placements[e.Task]
	var v crankevidence.Verdict
	if p != nil {
		v = p.known().JudgeEnd(e)
	}
	if !v.Over() {
		p = nil
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		if p != nil {
			s.release(p, "", v)
		}
		return
	}
	t := j.task(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	s.noteStarted(j)
	begun := p.begun()
	if p != nil {
		s.release(p, "", v)
	}
	current := t.placement == nil || t.placement.run <= e.Run
	s.Logger.Info("sched: run ended", "task", e.Task, "run", e.Run, "worker", w.entry.ID, "how", e.Kind, "number", e.Number, "current", current, "checkpoint", e.Checkpoint != "")
	s.Scope.Tagged(map[string]string{"how": string(e.Kind)}).Counter("runs_ended").Inc(1)
	if e.Checkpoint != "" && current && e.Kind != crank.EndDone {
		t.saveCheckpoint(e.Checkpoint)
		s.markDirty(j)
	}
	switch e.Kind {
	case crank.EndDone:
		s.recordSuccess(w, t, begun)
		if current {
			s.finishRun(t)
		}
	case crank.EndFailed:
		s.recordFailure(w, t, begun)
		t.avoidWorker(w.entry.ID)
		s.countFailedRun(t, e.Run)
	case crank.EndGangTimeout:
		s.Logger.Warn("sched: gang member ended, other members did not start", "task", e.Task, "run", e.Run, "worker", w.entry.ID)
	}
	if j.ending() && j.placed == 0 {
		s.dropEnded(j)
	}
}

// saveCheckpoint records a checkpoint of a task that is not done. One of any gang member
// serves the whole gang.
func (t *task) saveCheckpoint(checkpoint string) {
	if t.done {
		return
	}
	t.job.progress.Checkpoints[t.checkpointOrdinal()] = checkpoint
	if !t.step.Gang {
		t.checkpoint = checkpoint
		return
	}
	for _, m := range t.members() {
		m.checkpoint = checkpoint
	}
}

// finishRun marks a task, or its whole gang, as done.
func (s *Scheduler) finishRun(t *task) {
	if !t.step.Gang {
		s.finishTask(t)
		return
	}
	endBy := time.Now().Add(gangEndGrace)
	for _, m := range t.members() {
		if m.placement != nil {
			m.placement.endBy = endBy
		}
		s.finishTask(m)
	}
}

// handleActiveRun confirms the start of a reported run and updates its checkpoint and
// progress.
func (s *Scheduler) handleActiveRun(w *worker, a crank.ActiveRun, r crankfleet.RenewResult) {
	p := w.placements[a.Task]
	if p == nil {
		p = s.adoptRun(w, a)
	}
	if p.run != a.Run {
		return
	}
	if p.state == stateOrdered {
		s.confirmStart(p, r.ClockMs)
	}
	p.noteLoad(a.Load)
	if p.task != nil && a.Checkpoint != "" && a.Checkpoint != p.task.checkpoint {
		p.task.checkpoint = a.Checkpoint
		if p.step.Gang {
			for _, m := range p.task.members() {
				m.checkpoint = a.Checkpoint
			}
		}
	}
	if a.Percent != p.percent || p.progressedAt.IsZero() {
		p.percent, p.progressedAt, p.unchanged = a.Percent, r.Received, false
		return
	}
	p.unchanged = p.percent < 100
	s.checkStalled(p, r)
}

// confirmStart records that a run has started.
func (s *Scheduler) confirmStart(p *placement, clock int64) {
	p.state, p.conclusiveAfter = stateRunning, clock
	p.answeredAt, p.progressedAt = time.Now(), time.Now()
	t := p.task
	if t == nil {
		return
	}
	if !t.job.progress.Started {
		s.priorityScope(t.job.spec.Priority).Timer("accepted_to_begun").Record(time.Since(t.job.firstSeen))
	}
	s.noteStarted(t.job)
}

// adoptRun adds a placement for a run that this planner did not start. It is either a
// run of an earlier term, which continues, or one that its task no longer needs,
// which is stopped. Of a gang, see endParts.
func (s *Scheduler) adoptRun(w *worker, a crank.ActiveRun) *placement {
	p := &placement{id: a.Task, worker: w, run: a.Run, state: stateRunning, startedAt: time.Now(), answeredAt: time.Now(), progressedAt: time.Now(), percent: a.Percent}
	w.placements[a.Task] = p
	s.changed = true
	j := s.jobs[a.Task.Job]
	if j == nil {
		p.demand = s.demandOf(w, a.Task)
		s.stopRun(p, "its job has ended")
		return p
	}
	t := j.task(a.Task)
	if t == nil {
		p.demand = w.entry.Capacity
		s.stopRun(p, "its job has no such task")
		return p
	}
	p.demand, p.step, p.stepKey = t.step.ReservedCapacity(), t.step, stepKey(t)
	t.lastRun = max(t.lastRun, a.Run)
	if t.done || t.placement != nil {
		s.stopRun(p, "its task is done or runs elsewhere")
		return p
	}
	p.task, t.placement = t, p
	j.placed++
	t.held = false
	if pool := w.entry.Pool; !j.progress.Started && pool != "" && pool != j.spec.Pool { // that of an unlisted worker is not known
		s.setPool(j, pool)
	}
	s.noteStarted(j)
	s.allowStarts([]*task{t}, []*worker{w})
	s.Logger.Info("sched: run adopted", "task", a.Task, "run", a.Run, "worker", w.entry.ID, "percent", a.Percent)
	switch {
	case j.ending():
		s.stopRun(p, "its job has ended")
	case t.step.Gang:
		s.adopted[p] = true
	}
	return p
}

// demandOf returns the demand of a run of an ended job, or the worker's whole
// capacity if that is unknown.
func (s *Scheduler) demandOf(w *worker, id crank.TaskID) crank.Demand {
	e, ok := s.Jobs.View().State.Job(id.Job)
	if _, has := e.Job.Ordinal(id); !ok || !has {
		return w.entry.Capacity
	}
	return e.Job.Steps[id.Step].ReservedCapacity()
}
