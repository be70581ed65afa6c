package cranksched

import (
	"time"

	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankstall"
)

// checkStalled stops a run that makes no progress and quarantines its worker, unless
// other tasks may have left it no processor time.
func (s *Scheduler) checkStalled(p *placement, r crankfleet.RenewResult) {
	now := r.Received
	if p.state != stateRunning || p.task == nil || p.task.step.LongRunning || p.worker.failedRenewals > 0 || p.progressedAt.IsZero() {
		return
	}
	run := s.stallRun(p, r)
	if !run.Stalled() && !(s.Planning.Adaptive && run.StalledEarly()) {
		return
	}
	if s.Planning.Adaptive {
		p = p.leastProgress()
	}
	if !p.step.BestEffort {
		h := s.healthOf(p.worker)
		h.stalledRuns++
		if s.mayQuarantine(p.worker) {
			s.quarantine(p.worker, "stalled run", h.stalledRuns)
		}
	}
	s.Logger.Warn("sched: run stalled", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "percent", p.percent, "since", now.Sub(p.progressedAt))
	p.task.avoidWorker(p.worker.entry.ID)
	p.task.countStall()
	s.stopRun(p, "no progress")
}

// countStall takes note that a run of the task, or its gang, stood still.
func (t *task) countStall() {
	if !t.step.Gang {
		t.stalls++
		return
	}
	for _, m := range t.members() {
		m.stalls++
	}
}

// stallRun returns what is known of a run's progress.
func (s *Scheduler) stallRun(p *placement, report crankfleet.RenewResult) crankstall.Run {
	r := crankstall.Run{
		Urgent: p.task.job.spec.Priority == 0, Expected: s.expectedLongest(p), Waited: report.Received.Sub(p.lastProgress()),
		Still: report.Sent.Sub(p.progressedAt), GangStill: report.Sent.Sub(p.lastProgress()), Stalls: p.task.stalls,
	}
	if !p.step.Gang {
		return r
	}
	for _, m := range p.task.members() {
		switch q := m.placement; {
		case q == nil || q.run != p.run || q.state != stateRunning:
			r.Still, r.GangStill = 0, 0 // the gang is not at work before all members are there
			return r
		case q.progressedAt.After(p.progressedAt):
			r.PeersAhead = max(r.PeersAhead, q.percent-p.percent)
		}
	}
	return r
}

// leastProgress returns the member of a run's gang that has progressed least, since the
// others may wait for it.
func (p *placement) leastProgress() *placement {
	least := p
	if !p.step.Gang {
		return least
	}
	for _, m := range p.task.members() {
		if q := m.placement; q != nil && q.run == p.run && q.state == stateRunning && q.percent < least.percent {
			least = q
		}
	}
	return least
}

// needsWatch reports whether a worker is to report sooner than usual, since an urgent run
// or a gang member has shown no progress in its last report.
func (w *worker) needsWatch() bool {
	for _, p := range w.placements {
		if p.task == nil || (p.state != stateOrdered && p.state != stateRunning) || p.step.LongRunning {
			continue
		}
		urgent := p.task.job.spec.Priority == 0
		if (urgent && p.percent == 0) || (p.unchanged && (urgent || p.step.Gang)) {
			return true
		}
	}
	return false
}

// lastProgress returns when a run last made progress; for a gang, when any member
// did, because members wait for each other.
func (p *placement) lastProgress() time.Time {
	latest := p.progressedAt
	if !p.step.Gang {
		return latest
	}
	for _, m := range p.task.members() {
		if m.placement != nil && m.placement.progressedAt.After(latest) {
			latest = m.placement.progressedAt
		}
	}
	return latest
}
