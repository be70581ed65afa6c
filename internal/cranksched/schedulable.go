package cranksched

import "time"

// Reasons why a worker gets no new tasks.
const (
	unschedulableSilent      = "silent"
	unschedulableEnding      = "lease not extended"
	unschedulableDraining    = "draining"
	unschedulableEvacuated   = "evacuated"
	unschedulableNotStored   = "not stored"
	unschedulableUnlisted    = "unlisted"
	unschedulableQuarantined = "quarantined"
)

// unschedulableWhy returns why no tasks may be started on a worker, or "" if they may.
func (s *Scheduler) unschedulableWhy(w *worker, evacuatedZones map[string]bool, now time.Time) string {
	switch {
	case !w.answered || w.ended || w.failedRenewals > 0:
		return unschedulableSilent
	case w.entry.Draining:
		return unschedulableDraining
	case w.ending:
		return unschedulableEnding
	case evacuatedZones[w.entry.Zone]:
		return unschedulableEvacuated
	case !s.roster.numbered[w.incarnation]:
		return unschedulableNotStored
	case !w.unlistedSince.IsZero() && now.Sub(w.unlistedSince) >= unlistedGrace:
		return unschedulableUnlisted
	case now.Before(w.quarantinedUntil):
		return unschedulableQuarantined
	}
	return ""
}

// countUnschedulable counts the workers that get no new tasks, by reason.
func (s *Scheduler) countUnschedulable(now time.Time) map[string]int {
	evacuated := s.Operator.View().EvacuatedZones
	count := make(map[string]int)
	for _, w := range s.workers {
		if why := s.unschedulableWhy(w, evacuated, now); why != "" {
			count[why]++
		}
	}
	return count
}
