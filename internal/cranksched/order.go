package cranksched

import (
	"context"
	"fmt"
	"time"

	crank "cranberrycrank"
)

// stepKey names an occurrence of a step.
func stepKey(t *task) string { return fmt.Sprintf("%s.%d.%d", t.id.Job, t.id.Occurrence, t.id.Step) }

// start orders a run of each task at the worker chosen for it. The tasks of a
// gang share one number and one checkpoint.
func (s *Scheduler) start(tasks []*task, workers []*worker) {
	run := s.nextRun(tasks)
	for i, t := range tasks {
		w := workers[i]
		p := &placement{id: t.id, task: t, worker: w, run: run, room: t.step.Room(), key: stepKey(t), step: t.step, state: ordered, began: time.Now()}
		p.certain = w.keeper.Deadline(s.startWindow())
		s.byPriority(t.job.spec.Priority).Timer("place_wait").Record(time.Since(t.idle))
		t.lastRun, t.place = run, p
		t.job.running++
		w.places[t.id] = p
		s.sendStart(p)
	}
}

// startWindow returns how long a start is good. All members of a gang must have
// come before the first one gives up waiting.
func (s *Scheduler) startWindow() time.Duration {
	return min(startWindow, time.Duration(gangShare*float64(s.Bounds.GangTimeout)))
}

func (s *Scheduler) sendStart(p *placement) {
	t := p.task
	order := crank.RunOrder{Task: p.id, Run: p.run, Payload: t.job.spec.Payload, Checkpoint: t.saved, Fence: s.Term, Until: p.certain}
	s.Logger.Info("sched: run ordered", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "zone", p.worker.entry.Zone,
		"checkpoint", t.saved != "", "waited", time.Since(t.idle).Round(time.Millisecond), "until", order.Until)
	client := p.worker.client
	go func() {
		reply, uncertain, err := s.tryStart(client, order)
		s.post(func() { s.takeStart(p, reply, uncertain, err) })
	}()
}

// tryStart repeats a start without an answer: the worker takes the second one
// of two equal starts for the first. After a try without an answer the start
// may have been carried out, whatever the next answer says.
func (s *Scheduler) tryStart(client crank.LeasedWorker, order crank.RunOrder) (reply crank.OrderReply, uncertain bool, err error) {
	for range startTries {
		call, cancel := context.WithTimeout(s.ctx, startTimeout)
		reply, err = client.Start(call, order)
		cancel()
		if kind := crank.KindOf(err); err == nil || kind == crank.KindUnavailable || kind == crank.KindNotFound || kind == crank.KindInvalid {
			return reply, uncertain, err
		}
		uncertain = true
	}
	return reply, uncertain, err
}

// takeStart takes in what became of a start.
func (s *Scheduler) takeStart(p *placement, reply crank.OrderReply, uncertain bool, err error) {
	if p.worker.places[p.id] != p {
		return // it was resolved by a report
	}
	if err == nil && reply.Refusal == crank.RefusalNone {
		if p.state == ordered {
			s.confirm(p, reply.Clock)
		}
		return
	}
	why := ""
	switch kind := crank.KindOf(err); {
	case err == nil && reply.Refusal == crank.RefusalFence:
		s.Holding.Resign("worker " + p.worker.entry.ID + " has seen a higher fence")
		why = "the fence was refused"
	case kind == crank.KindNotFound:
		why = "the worker's life is over"
	case uncertain:
		s.Logger.Warn("sched: start without an answer", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "until", p.certain, "last-refusal", reply.Refusal, "error", err)
		if p.state == ordered && p.step.Gang {
			s.stopRun(p, "a member's start has no answer")
		}
		return
	case err == nil:
		why = "refused: " + string(reply.Refusal)
	case kind == crank.KindUnavailable:
		why = "the worker is unhealthy"
		p.worker.shunned = time.Now().Add(time.Second)
	case kind == crank.KindInvalid:
		why = "the order is invalid"
	default:
		why = "the order failed"
	}
	s.Logger.Warn("sched: start refused", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "why", why, "clock", reply.Clock, "until", p.certain, "error", err)
	s.Scope.Tagged(map[string]string{"why": why}).Counter("starts_refused").Inc(1)
	if p.task != nil {
		p.task.avoid(p.worker.entry.ID)
	}
	s.abandonGang(p, "a member was refused")
	s.release(p, why)
}

// abandonGang stops the other members of a run whose gang can't be complete.
func (s *Scheduler) abandonGang(p *placement, why string) {
	if p.task == nil || !p.step.Gang {
		return
	}
	for _, m := range p.task.members() {
		if m.place != nil && m.place != p && m.place.run == p.run {
			s.stopRun(m.place, why)
		}
	}
}

// stopRun stops a run; its room stays booked until its end is listed. The
// members of a gang go together.
func (s *Scheduler) stopRun(p *placement, why string) {
	if p.state == stopping {
		return
	}
	p.state, p.reason = stopping, why
	s.Logger.Info("sched: run stopped", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "why", why,
		"percent", p.percent, "ran", time.Since(p.began).Round(time.Millisecond))
	s.sendStop(p)
	s.abandonGang(p, why)
}

func (s *Scheduler) sendStop(p *placement) {
	p.stopAt = time.Now().Add(stopTimeout + s.Bounds.StopTime + stopMargin)
	if !s.Holding.Valid() {
		return
	}
	client := p.worker.client
	order := crank.StopOrder{Task: p.id, Run: p.run, Fence: s.Term}
	go func() {
		call, cancel := context.WithTimeout(s.ctx, stopTimeout)
		defer cancel()
		reply, err := client.Stop(call, order)
		s.post(func() { s.takeStop(p, reply, err) })
	}()
}

// takeStop takes in the answer to a stop. A run that was not there yet is
// refused from then on.
func (s *Scheduler) takeStop(p *placement, reply crank.OrderReply, err error) {
	if p.worker.places[p.id] != p {
		return
	}
	switch {
	case err != nil:
		s.Logger.Warn("sched: stop without an answer", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "error", err)
	case reply.Refusal == crank.RefusalFence:
		s.Holding.Resign("worker " + p.worker.entry.ID + " has seen a higher fence")
	default:
		p.certain = min(p.certain, reply.Clock)
	}
}
