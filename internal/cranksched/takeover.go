package cranksched

import (
	"context"
	"time"

	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankjobs"
)

// takeOver fences out the planners of earlier terms in the store and loads what they
// recorded.
func (s *Scheduler) takeOver(ctx context.Context) bool {
	begun := time.Now()
	record, err := crankjobs.TermRecord(s.Term)
	if err != nil {
		s.Leadership.Resign(err.Error())
		return false
	}
	end, err := s.writer.RaiseEpoch(ctx, record)
	if err != nil {
		if ctx.Err() == nil {
			s.Leadership.Resign("the epoch was not raised: " + err.Error())
		}
		return false
	}
	view, err := s.Jobs.Wait(ctx, func(v crankjobs.View) bool { return v.End >= end })
	if err != nil {
		return false
	}
	if err := view.State.Leadable(); err != nil {
		s.Logger.Error("sched: term not taken over", "term", s.Term, "error", err)
		s.Leadership.Decline()
		if !s.Leadership.Yield(err.Error()) {
			crankfeed.Sleep(ctx, unreadableRetry)
			s.Leadership.Resign(err.Error())
		}
		return false
	}
	s.roster.load(view.State.Roster)
	s.placesKnown = view.State.Roster.HasNumbers()
	for incarnation := range s.roster.addrs {
		s.unaccounted[incarnation] = s.Former.End
		if left, ok := view.State.Roster.LeaseLeft[incarnation]; ok {
			bound := time.Duration(left)*time.Millisecond + storedLeaseMargin
			s.limits[incarnation] = crankfleet.FormerLeases{}.WithContact(view.State.RosterSeen, bound, view.State.Roster.Clocks)
			s.endBy(incarnation, s.limits[incarnation].End)
		}
	}
	s.loadEstimates(view.State)
	s.syncJobs(view.State, true)
	if len(s.unaccounted) == 0 {
		s.withdrawBegun()
	}
	s.Logger.Info("sched: term taken over", "term", s.Term, "jobs", len(s.jobs), "roster", len(s.roster.addrs), "book-end", view.End, "took", time.Since(begun))
	return true
}
