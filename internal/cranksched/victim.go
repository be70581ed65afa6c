package cranksched

import (
	"time"

	"cranberrycrank/internal/crankorder"
	"cranberrycrank/internal/crankpack"
)

// preemptions caches what is known about preemption during one planning round, in which
// what can be freed only shrinks.
type preemptions struct {
	victims map[victimScope]victimSet      // of the standard policy, until work is preempted
	failed  map[preemptClass]int           // fewest tasks for which too little could be freed
	unmoved map[crankpack.RequestClass]int // fewest tasks of guaranteed units for which no work could be moved
	blocked map[crankpack.RequestClass]int // the same of guaranteed gangs, for work moved in turn

	kept     map[*placement]bool // runs whose ends other units wait for
	awaiting map[string]bool     // step keys of units that wait instead of preempting
	judged   victimChoice        // of the last unit that does not wait, until it preempts
}

// victimChoice is work to be stopped, with one run of each victim of the set it is from.
type victimChoice struct {
	victims []crankpack.Victim
	runs    []*placement
}

// victimScope is all of a unit that decides what it may preempt.
type victimScope struct {
	pool          string
	priority      int
	guaranteed    bool
	includeUrgent bool
}

// preemptClass is a group of requests that fail together.
type preemptClass struct {
	victimScope
	crankpack.RequestClass
}

// victimSet is the work that units of one scope may preempt, and one run of each
// victim.
type victimSet struct {
	index crankpack.VictimIndex
	runs  []*placement
}

func newPreemptions() *preemptions {
	return &preemptions{victims: make(map[victimScope]victimSet), failed: make(map[preemptClass]int), unmoved: make(map[crankpack.RequestClass]int), blocked: make(map[crankpack.RequestClass]int), awaiting: make(map[string]bool), kept: make(map[*placement]bool)}
}

// preempt stops the cheapest work that frees enough for a request, and reports
// whether there was any. A guaranteed unit also preempts urgent work of workspaces
// beyond their guarantee, but only where lower priorities don't free enough. An overdue
// long-running unit with a latency target has best-effort tasks make way, of patient jobs
// only these.
func (s *Scheduler) preempt(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions) bool {
	if u.rank == rankOverdueLongRunning {
		return s.evict(u, pool, q, known)
	}
	chosen, runs := known.judged.victims, known.judged.runs
	if known.judged = (victimChoice{}); chosen == nil {
		chosen, runs = s.cheapestVictims(u, pool, q, known)
	}
	if chosen == nil {
		return (u.isOverdueLatency(time.Now()) && s.evict(u, pool, q, known)) || s.move(u, pool, q, known)
	}
	workers := workersByID(pool)
	pool.ClearUnplaceable()
	if !s.Planning.Adaptive {
		clear(known.victims)
	}
	for _, v := range chosen {
		for _, part := range v.Parts {
			workers[part.Worker].Future = workers[part.Worker].Future.Plus(part.Demand)
		}
		p := runs[v.ID]
		s.Logger.Info("sched: work preempted", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "for", u.job.spec.ID,
			"rank", int(u.rank), "waited", time.Since(u.waitingSince).Round(time.Millisecond), "cost-core-seconds", int(v.Lost))
		s.Scope.Counter("preemptions").Inc(1)
		s.stopRun(p, "preempted")
	}
	known.removeVictims()
	return true
}

func workersByID(pool *crankpack.Pool) map[string]*crankpack.WorkerCapacity {
	workers := make(map[string]*crankpack.WorkerCapacity, len(pool.Workers))
	for _, c := range pool.Workers {
		workers[c.Worker] = c
	}
	return workers
}

// keepRuns has runs, and the gangs that they are of, go on until they end by themselves.
func (k *preemptions) keepRuns(runs []any) {
	for _, r := range runs {
		p := r.(*placement)
		if k.kept[p] = true; p.task == nil || !p.step.Gang {
			continue
		}
		for _, m := range p.task.members() {
			if m.placement != nil {
				k.kept[m.placement] = true
			}
		}
	}
	k.removeVictims()
}

// removeVictims takes work that is being stopped, or kept, out of the known victims.
func (k *preemptions) removeVictims() {
	for _, set := range k.victims {
		for i, p := range set.runs {
			if k.kept[p] || p.state != stateRunning {
				set.index.Remove(i)
			}
		}
	}
}

// awaits reports whether a unit that could preempt waits instead for capacity that becomes
// free by itself, which it then keeps from others for the round. It is judged again in each
// round.
func (s *Scheduler) awaits(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions) bool {
	if !s.Planning.Adaptive || (u.rank != rankGuaranteed && u.rank != rankUrgent) || u.step.LongRunning {
		return false
	}
	now := time.Now()
	expected := usual(s.expectedRun(u.job, u.step))
	c := crankorder.Contention{
		Slack: s.slack(u, late, now), Waited: now.Sub(u.waitingSince), Guaranteed: u.rank == rankGuaranteed, StopTime: s.Bounds.StopTime,
		Work: expected.Seconds() * q.Step.ReservedCapacity().Times(q.Tasks).Cores(),
	}
	if !u.job.progress.Started {
		c.Waited = now.Sub(u.job.firstSeen) // the guarantee counts from then
	}
	if expected == 0 || c.MaxWait() == 0 {
		return false
	}
	workers, in := pool.SoonestFree(q, c.MaxWait())
	if workers == nil {
		return false
	}
	victims, victimRuns := s.cheapestVictims(u, pool, q, known)
	if victims == nil {
		return false
	}
	c.FreeIn, c.VictimCost = in, crankpack.TotalCost(victims)
	if !c.Waits() {
		known.judged = victimChoice{victims, victimRuns}
		return false
	}
	var runs []any
	for _, w := range workers {
		runs = w.Await(q, runs)
	}
	known.keepRuns(runs)
	if key := q.StepKey; !known.awaiting[key] {
		known.awaiting[key] = true
		if !s.awaiting[key] {
			s.Logger.Info("sched: urgent work waits", "job", u.job.spec.ID, "tasks", q.Tasks, "rank", int(u.rank), "slack", c.Slack.Round(time.Millisecond),
				"waited", c.Waited.Round(time.Millisecond), "free-in", c.FreeIn.Round(time.Millisecond), "victim-cost", int(c.VictimCost), "work", int(c.Work))
			s.Scope.Counter("waits_for_capacity").Inc(1)
		}
	}
	return true
}

// cheapestVictims returns the work to stop for a request, and one run of each victim.
func (s *Scheduler) cheapestVictims(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions) ([]crankpack.Victim, []*placement) {
	scope := victimScope{pool: u.job.spec.Pool, priority: u.job.spec.Priority, guaranteed: u.rank == rankGuaranteed}
	chosen, runs := s.chooseVictims(u, pool, q, known, scope)
	if chosen == nil && scope.guaranteed {
		scope.includeUrgent = true
		chosen, runs = s.chooseVictims(u, pool, q, known, scope)
	}
	return chosen, runs
}

// chooseVictims returns the victims of one scope for a request, and one run of each.
func (s *Scheduler) chooseVictims(u unit, pool *crankpack.Pool, q crankpack.Request, known *preemptions, scope victimScope) ([]crankpack.Victim, []*placement) {
	class, cacheable := crankpack.ClassOf(q)
	key := preemptClass{scope, class}
	if fewest, ok := known.failed[key]; ok && cacheable && q.Tasks >= fewest {
		return nil, nil
	}
	set, ok := known.victims[scope]
	if !ok {
		victims, runs := s.victims(u, scope.includeUrgent, known.kept, make(stopBudgets))
		set = victimSet{crankpack.NewVictimIndex(victims), runs}
		known.victims[scope] = set
	}
	var chosen []crankpack.Victim
	if s.Planning.Adaptive {
		chosen = pool.PreemptLeastTotal(q, set.index)
	} else {
		chosen = pool.Preempt(q, set.index)
	}
	if chosen == nil && cacheable {
		known.failed[key] = q.Tasks
	}
	return chosen, set.runs
}

// victims returns the work that a unit may preempt within the budgets, and one run of each
// victim. With includeUrgent, that includes priority 0 work of workspaces beyond their guarantee.
func (s *Scheduler) victims(u unit, includeUrgent bool, kept map[*placement]bool, budgets stopBudgets) ([]crankpack.Victim, []*placement) {
	var victims []crankpack.Victim
	var runs []*placement
	gangs := make(map[string]int)
	for _, w := range s.workers {
		if w.entry.Pool != u.job.spec.Pool {
			continue
		}
		for _, p := range w.placements {
			if kept[p] || !s.mayPreemptRun(u, p, includeUrgent) || !budgets.allows(p) {
				continue
			}
			part := crankpack.VictimPart{Worker: w.entry.ID, Demand: p.demand}
			if i, ok := gangs[p.stepKey]; ok && p.step.Gang {
				victims[i].Parts = append(victims[i].Parts, part)
				if !s.Planning.Adaptive { // else the whole gang is counted already
					victims[i].Cost += p.cost()
					victims[i].Lost = victims[i].Cost
				}
				continue
			}
			gangs[p.stepKey] = len(victims)
			loss := crankorder.Loss{CoreSeconds: p.cost(), Cost: p.cost()}
			if s.Planning.Adaptive {
				loss = s.lossOf(p)
			}
			victims = append(victims, crankpack.Victim{ID: len(victims), Parts: []crankpack.VictimPart{part}, Cost: loss.Cost, Lost: loss.CoreSeconds})
			runs = append(runs, p)
		}
	}
	return victims, runs
}

// mayPreemptRun reports whether a unit may preempt a run. Only guaranteed units
// preempt long-running tasks.
func (s *Scheduler) mayPreemptRun(u unit, p *placement, includeUrgent bool) bool {
	if p.state != stateRunning || p.task == nil {
		return false
	}
	if p.step.LongRunning && u.rank != rankGuaranteed {
		return false
	}
	spec := p.task.job.spec
	return spec.Priority > u.job.spec.Priority || (includeUrgent && u.rank == rankGuaranteed && !s.guaranteed[spec.Workspace])
}

// stopBudgets are the long-running tasks that may still be stopped, by step key. A nil map
// leaves MaxUnavailable out of account.
type stopBudgets map[string]int

// allows reports whether the step's MaxUnavailable allows stopping a run, and counts it as
// stopped.
func (b stopBudgets) allows(p *placement) bool {
	if !p.hasStopBudget() {
		return true
	}
	if b == nil {
		return p.isAtWork()
	}
	budget, ok := b[p.stepKey]
	if !ok {
		budget = p.step.MaxUnavailable
		for _, t := range p.task.members() {
			if t.placement == nil || !t.placement.isAtWork() {
				budget--
			}
		}
	}
	b[p.stepKey] = budget - 1
	return budget > 0 && p.isAtWork()
}

// hasStopBudget reports whether only some tasks of the run's step may be stopped at a time.
func (p *placement) hasStopBudget() bool { return p.step.LongRunning && p.step.MaxUnavailable > 0 }

// isAtWork reports whether a long-running task has started up at a worker that answers.
func (p *placement) isAtWork() bool {
	return p.state == stateRunning && p.percent >= startedUpPercent && p.worker.failedRenewals == 0
}

// lossOf returns what stopping a run loses, for a member of a gang with all other members.
func (s *Scheduler) lossOf(p *placement) crankorder.Loss {
	now := time.Now()
	v := crankorder.Victim{Restore: s.Planning.RestoreTime, SlackKnown: !p.step.LongRunning && p.step.RunTime > 0}
	v.Slack = p.task.job.firstSeen.Add(p.task.job.spec.CompletionTarget()).Sub(now)
	add := func(p *placement) {
		r := crankorder.Run{Demand: p.demand, Checkpoints: p.step.Checkpoints, Ran: p.ran(), LeftKnown: s.isExpected(p)}
		if r.LeftKnown {
			r.Left = s.expectedLeft(p).usual
		}
		v.Runs = append(v.Runs, r)
	}
	if !p.step.Gang {
		add(p)
		return v.Loss()
	}
	for _, m := range p.task.members() {
		if m.placement != nil && m.placement.run == p.run {
			add(m.placement)
		}
	}
	return v.Loss()
}

// cost returns the core-seconds of work that a stop loses.
func (p *placement) cost() float64 {
	seconds := time.Since(p.startedAt).Seconds()
	if p.step.Checkpoints {
		seconds = min(seconds, restoreSeconds)
	}
	return seconds * p.demand.Cores()
}
