package cranksched

import "cranberrycrank/internal/crankevidence"

// abandonGang stops the other members of a run whose gang can't be complete.
func (s *Scheduler) abandonGang(p *placement, why string) {
	if p.task == nil || !p.step.Gang {
		return
	}
	for _, m := range p.task.members() {
		if m.placement != nil && m.placement != p && m.placement.run == p.run {
			s.stopRun(m.placement, why)
		}
	}
}

// loseRun releases a run that ended without a result. Members of its gang that have started
// would wait for one that has not.
func (s *Scheduler) loseRun(p *placement, why string, v crankevidence.Verdict) {
	if p.state == stateOrdered {
		s.abandonGang(p, "a gang member's start had no effect")
	}
	s.release(p, why, v)
}

// endParts stops the adopted members of gangs that an earlier term started in part. Such a
// gang begins no work, and its members would wait for the others.
func (s *Scheduler) endParts() {
	for p := range s.adopted {
		switch {
		case p.task.placement != p || p.state != stateRunning || p.task.done || p.isWhole():
			delete(s.adopted, p)
		case s.lacksMember(p):
			delete(s.adopted, p)
			s.stopRun(p, "only a part of its gang was started")
		}
	}
}

// isWhole reports whether all members of a run's gang are known to have started.
func (p *placement) isWhole() bool {
	for _, m := range p.task.members() {
		if m.placement == nil || m.placement.run != p.run {
			return false
		}
	}
	return true
}

// lacksMember reports whether a member of a run's gang is known not to run with it: the
// worker at its place refuses orders of earlier terms by now, and has not reported it.
func (s *Scheduler) lacksMember(p *placement) bool {
	for _, m := range p.task.members() {
		if (m.placement != nil && m.placement.run != p.run) || (m.placement == nil && !s.isHeld(m)) {
			return true
		}
	}
	return false
}
