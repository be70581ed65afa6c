package cranksched

import (
	"time"

	crank "cranberrycrank"
)

// maxClocks is how many workers' clocks heartbeats carry.
const maxClocks = 4

// chooseClocks chooses workers that answer, of different zones if possible.
func (s *Scheduler) chooseClocks() {
	var chosen, others []*worker
	zones := make(map[string]bool)
	for _, w := range s.workers {
		if !w.answered || w.ended || w.ending || w.failedRenewals > 0 {
			continue
		}
		if zones[w.entry.Zone] {
			others = append(others, w)
			continue
		}
		zones[w.entry.Zone] = true
		chosen = append(chosen, w)
	}
	chosen = append(chosen, others...)
	chosen = chosen[:min(len(chosen), maxClocks)]
	s.clocks.Store(&chosen)
}

// readClocks is called by any goroutine.
func (s *Scheduler) readClocks() []crank.WorkerClock {
	chosen := s.clocks.Load()
	if chosen == nil {
		return nil
	}
	var clocks []crank.WorkerClock
	for _, w := range *chosen {
		if ms, ok := w.keeper.Clock(); ok {
			clocks = append(clocks, crank.WorkerClock{Incarnation: w.incarnation, Ms: ms})
		}
	}
	return clocks
}

// dateFormer brings forward when the leases of earlier terms are over, if a worker's clock
// shows how long ago their planner was last in contact with the store.
func (s *Scheduler) dateFormer(r crank.WorkerClock, at time.Time) {
	if len(s.unaccounted) == 0 {
		return
	}
	former := s.Former.WithReading(r, at)
	if !former.End.Before(s.Former.End) {
		return
	}
	s.Logger.Info("sched: leases of earlier terms dated", "term", s.Term, "worker", r.Incarnation, "left", max(0, time.Until(former.End)).Round(time.Millisecond), "before", time.Until(s.Former.End).Round(time.Millisecond))
	s.Former = former
	for incarnation, until := range s.unaccounted {
		if until.After(former.End) {
			s.unaccounted[incarnation] = former.End
		}
	}
	s.changed = true
}
