package cranksched

import (
	"time"

	"cranberrycrank/internal/crankdrain"
)

// moveFromLeaving stops the runs that would be lost with workers that leave, so that they
// start elsewhere.
func (s *Scheduler) moveFromLeaving(now time.Time) {
	if !s.Planning.Adaptive {
		return
	}
	for _, w := range s.workers {
		if w.leavesAt.IsZero() || !w.entry.Draining || w.ended || w.failedRenewals > 0 {
			continue
		}
		leaves := w.leavesAt.Sub(now)
		for _, p := range w.placements {
			if p.state != stateRunning || p.task == nil || !s.drainingRun(p, now).Move(leaves, s.Bounds.StopTime) {
				continue
			}
			s.Scope.Counter("runs_moved").Inc(1)
			s.Logger.Info("sched: run moved", "task", p.id, "run", p.run, "worker", w.entry.ID, "leaves-in", leaves.Round(time.Millisecond), "left", s.expectedLeft(p).usual.Round(time.Millisecond))
			s.stopRun(p, "its worker leaves")
		}
	}
}

func (s *Scheduler) drainingRun(p *placement, now time.Time) crankdrain.Run {
	left := s.left(p, now)
	return crankdrain.Run{
		Urgent: p.task.job.spec.Priority == 0, Checkpoints: p.step.Checkpoints, LongRunning: p.step.LongRunning,
		Left: usual(left), LeftAtMost: late(left),
	}
}
