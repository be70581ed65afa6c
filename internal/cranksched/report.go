package cranksched

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"
)

// takeReport takes in what a worker says runs and has ended there.
func (s *Scheduler) takeReport(w *worker, r crankfleet.Report) {
	if w.over {
		return
	}
	if r.Err != nil {
		s.takeHoldFailure(w, r.Err)
		return
	}
	if w.failing > 0 {
		s.Logger.Info("sched: worker regained", "worker", w.entry.ID, "failed-holds", w.failing)
		s.changed = true
	}
	w.failing = 0
	if !w.held {
		w.held = true
		if s.pending[w.life] {
			s.account(w.life)
		}
		s.changed = true
	}
	for _, e := range r.Ended {
		if e.Number > w.seen {
			w.seen = e.Number
			s.takeEnd(w, e)
		}
	}
	listed := make(map[crank.TaskID]int64, len(r.Active))
	for _, a := range r.Active {
		listed[a.Task] = a.Run
		s.takeActive(w, a, r)
	}
	for id, p := range w.places {
		if run, ok := listed[id]; (!ok || run != p.run) && r.Clock > p.certain {
			if p.state == ordered {
				s.abandonGang(p, "its start had no effect")
			}
			s.release(p, "it is not listed")
		}
	}
	if len(r.Ended) > 0 {
		s.acks[w] = w.seen
	}
}

func (s *Scheduler) takeHoldFailure(w *worker, err error) {
	switch crank.KindOf(err) {
	case crank.KindNotFound:
		s.endLife(w, err.Error())
		return
	case crank.KindFenced:
		s.Holding.Resign("worker " + w.entry.ID + " has seen a higher fence")
		return
	}
	if w.failing == 0 && w.held {
		s.Logger.Warn("sched: worker lost", "worker", w.entry.ID, "running", len(w.places), "error", err)
	}
	w.failing++
}

// takeEnd takes in how a run ended.
func (s *Scheduler) takeEnd(w *worker, e crank.EndedRun) {
	p := w.places[e.Task]
	if p != nil && p.run > e.Run {
		p = nil
	}
	j := s.jobs[e.Task.Job]
	if j == nil {
		if p != nil {
			s.release(p, "")
		}
		return
	}
	t := j.task(e.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	if p != nil {
		s.release(p, "")
	}
	current := t.place == nil || t.place.run <= e.Run
	s.Logger.Info("sched: run ended", "task", e.Task, "run", e.Run, "worker", w.entry.ID, "how", e.How, "number", e.Number, "current", current, "checkpoint", e.Checkpoint != "")
	s.Scope.Tagged(map[string]string{"how": string(e.How)}).Counter("runs_ended").Inc(1)
	if e.Checkpoint != "" && current && e.How != crank.EndDone {
		t.keep(e.Checkpoint)
		s.mark(j)
	}
	switch e.How {
	case crank.EndDone:
		s.good(w)
		if current {
			s.takeDone(t)
		}
	case crank.EndFailed:
		s.bad(w, j.spec.ID)
		t.avoid(w.entry.ID)
		s.failed(t, e.Run)
	case crank.EndAlone:
		s.Logger.Warn("sched: gang member was alone", "task", e.Task, "run", e.Run, "worker", w.entry.ID)
	}
	if j.ending() && j.running == 0 {
		s.dropEnded(j)
	}
}

// keep remembers a checkpoint; one of any member is good for the whole gang.
func (t *task) keep(checkpoint string) {
	if !t.step.Gang {
		t.saved = checkpoint
		t.job.progress.Checkpoints[t.ordinal] = checkpoint
		return
	}
	for _, m := range t.members() {
		m.saved = checkpoint
	}
	t.job.progress.Checkpoints[t.members()[0].ordinal] = checkpoint
}

// takeDone ends a task, or the whole gang, as done.
func (s *Scheduler) takeDone(t *task) {
	if !t.step.Gang {
		s.finish(t)
		return
	}
	endBy := time.Now().Add(gangEndTime)
	for _, m := range t.members() {
		if m.place != nil {
			m.place.endBy = endBy
		}
		s.finish(m)
	}
}

// takeActive takes in a run that a worker lists.
func (s *Scheduler) takeActive(w *worker, a crank.ActiveRun, r crankfleet.Report) {
	p := w.places[a.Task]
	if p == nil {
		p = s.adopt(w, a)
	}
	if p.run != a.Run {
		return
	}
	if p.state == ordered {
		s.confirm(p, r.Clock)
	}
	if p.task != nil && a.Checkpoint != "" && a.Checkpoint != p.task.saved {
		p.task.saved = a.Checkpoint
		if p.step.Gang {
			for _, m := range p.task.members() {
				m.saved = a.Checkpoint
			}
		}
	}
	if a.Percent != p.percent || p.moved.IsZero() {
		p.percent, p.moved = a.Percent, r.Received
		return
	}
	s.checkStill(p, r.Received)
}

// confirm notes that a run has begun.
func (s *Scheduler) confirm(p *placement, clock int64) {
	p.state, p.certain = running, clock
	p.moved = time.Now()
	t := p.task
	if t == nil {
		return
	}
	if !t.job.progress.Begun {
		t.job.progress.Begun = true
		s.mark(t.job)
		s.byPriority(t.job.spec.Priority).Timer("accepted_to_begun").Record(time.Since(t.job.seen))
	}
}

// adopt books a run that this planner did not start: one of an earlier term,
// or one that nobody wants any more, which is stopped.
func (s *Scheduler) adopt(w *worker, a crank.ActiveRun) *placement {
	p := &placement{id: a.Task, worker: w, run: a.Run, state: running, began: time.Now(), moved: time.Now(), percent: a.Percent}
	w.places[a.Task] = p
	s.changed = true
	j := s.jobs[a.Task.Job]
	if j == nil {
		p.room = s.roomOf(w, a.Task)
		s.stopRun(p, "its job has ended")
		return p
	}
	t := j.task(a.Task)
	if t == nil {
		p.room = w.entry.Capacity
		s.stopRun(p, "its job has no such task")
		return p
	}
	p.room, p.step, p.key = t.step.Room(), t.step, stepKey(t)
	t.lastRun = max(t.lastRun, a.Run)
	if t.done || t.place != nil {
		s.stopRun(p, "its task is done or runs elsewhere")
		return p
	}
	p.task, t.place = t, p
	j.running++
	if !j.progress.Begun {
		j.progress.Begun = true
		s.mark(j)
	}
	s.Logger.Info("sched: run adopted", "task", a.Task, "run", a.Run, "worker", w.entry.ID, "percent", a.Percent)
	if j.ending() {
		s.stopRun(p, "its job has ended")
	}
	return p
}

// roomOf returns what a run of an ended job holds, the whole worker when that
// is not known.
func (s *Scheduler) roomOf(w *worker, id crank.TaskID) crank.Demand {
	e, ok := s.Book.View().State.Job(id.Job)
	if _, has := e.Job.Ordinal(id); !ok || !has {
		return w.entry.Capacity
	}
	return e.Job.Steps[id.Step].Room()
}
