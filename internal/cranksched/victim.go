package cranksched

import (
	"time"

	"cranberrycrank/internal/crankpack"
)

// preempt stops the cheapest work of lower rank that makes room for a request.
// Other workspaces' urgent work is stopped only where patient work does not
// make enough.
func (s *Scheduler) preempt(u unit, floor *crankpack.Floor, q crankpack.Request) bool {
	victims, places := s.victims(u, false)
	chosen := floor.Preempt(q, victims)
	if chosen == nil && u.rank == rankGuaranteed {
		victims, places = s.victims(u, true)
		chosen = floor.Preempt(q, victims)
	}
	if chosen == nil {
		return false
	}
	rooms := make(map[string]*crankpack.Room, len(floor.Rooms))
	for _, r := range floor.Rooms {
		rooms[r.Worker] = r
	}
	floor.Freed()
	for _, v := range chosen {
		for _, part := range v.Parts {
			rooms[part.Worker].Soon = rooms[part.Worker].Soon.Plus(part.Holds)
		}
		p := places[v.ID]
		s.Logger.Info("sched: work preempted", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "for", u.job.spec.ID,
			"rank", int(u.rank), "waited", time.Since(u.since).Round(time.Millisecond), "cost-core-seconds", int(v.Cost))
		s.Scope.Counter("preemptions").Inc(1)
		s.stopRun(p, "preempted")
	}
	return true
}

// victims returns the work that a unit may stop, and one run of each. With
// urgent, that is also work as urgent beyond its workspace's guarantee.
func (s *Scheduler) victims(u unit, urgent bool) ([]crankpack.Victim, []*placement) {
	var victims []crankpack.Victim
	var places []*placement
	gangs := make(map[string]int)
	spared := make(map[string]int) // lasting tasks that may still be stopped, by step
	for _, w := range s.workers {
		if w.entry.Pool != u.job.spec.Pool {
			continue
		}
		for _, p := range w.places {
			if !s.mayStop(u, p, urgent) || !p.maySpare(spared) {
				continue
			}
			part := crankpack.VictimPart{Worker: w.entry.ID, Holds: p.room}
			cost := p.cost()
			if i, ok := gangs[p.key]; ok && p.step.Gang {
				victims[i].Parts = append(victims[i].Parts, part)
				victims[i].Cost += cost
				continue
			}
			gangs[p.key] = len(victims)
			victims = append(victims, crankpack.Victim{ID: len(victims), Parts: []crankpack.VictimPart{part}, Cost: cost})
			places = append(places, p)
		}
	}
	return victims, places
}

// mayStop reports whether a unit may stop a run.
func (s *Scheduler) mayStop(u unit, p *placement, urgent bool) bool {
	if p.state != running || p.task == nil {
		return false
	}
	if p.step.Lasting && u.rank != rankGuaranteed {
		return false
	}
	spec := p.task.job.spec
	return spec.Priority > u.job.spec.Priority || (urgent && u.rank == rankGuaranteed && !s.within[spec.Workspace])
}

// maySpare reports whether a run may be stopped as far as its step limits how
// many of its lasting tasks are away, and counts it.
func (p *placement) maySpare(spared map[string]int) bool {
	if !p.step.Lasting || p.step.MaxAway == 0 {
		return true
	}
	left, ok := spared[p.key]
	if !ok {
		left = p.step.MaxAway
		for _, t := range p.task.members() {
			if t.place == nil || t.place.state != running || t.place.percent < atWork {
				left--
			}
		}
	}
	spared[p.key] = left - 1
	return left > 0 && p.percent >= atWork
}

// cost returns the core-seconds that a stop throws away.
func (p *placement) cost() float64 {
	seconds := time.Since(p.began).Seconds()
	if p.step.Checkpoints {
		seconds = min(seconds, restoreCost)
	}
	return seconds * p.room.Cores()
}
