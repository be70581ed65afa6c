package cranksched

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankestimate"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
)

// Parameters of the record of what was learned.
const (
	estimatesPeriod = 5 * time.Second // least time between two records
	estimatesRetry  = 1 * time.Minute // after one that the store refused for good, which holds up the records beside it
	minNewRuns      = 16              // that a record is worth
	newRunsShare    = 4               // or one of so many that are remembered, if that is more
	rememberedRuns  = 4096            // runs before these have faded
)

// estimatesRecord is the state of the record of what was learned.
type estimatesRecord struct {
	runs   int64     // learned by the newest record that is stored
	dueAt  time.Time // the earliest time of the next one
	failed bool      // the store refused the last one for good, or it could not be made
}

// loadEstimates loads what earlier leaders learned. Without a record that can be read, the
// callers' estimates are used.
func (s *Scheduler) loadEstimates(state crankjobs.State) {
	if !s.Planning.Adaptive {
		return
	}
	var m crankestimate.Model
	if len(state.Estimates) > 0 {
		var err error
		if m, err = crankestimate.Decode(state.Estimates); err != nil {
			s.Logger.Warn("sched: learned run times not loaded", "bytes", len(state.Estimates), "error", err)
			return
		}
	}
	s.model, s.estimates.runs = m, m.Runs()
	s.Logger.Info("sched: learned run times loaded", "classes", m.Classes(), "workers", m.Workers(), "runs", m.Runs(), "bytes", len(state.Estimates))
}

// dueEstimates returns the record of what was learned if it is to be stored with the next
// records. It forgets workers that have left.
func (s *Scheduler) dueEstimates(now time.Time) (crank.KeyedRecord, bool) {
	e := &s.estimates
	fresh := s.model.Runs() - e.runs
	if !s.Planning.Adaptive || now.Before(e.dueAt) || fresh < max(minNewRuns, min(s.model.Runs(), rememberedRuns)/newRunsShare) {
		return crank.KeyedRecord{}, false
	}
	e.dueAt = now.Add(estimatesPeriod)
	if _, read := s.list.Version(); read {
		listed := make(map[string]bool, len(s.workers))
		for _, w := range s.workers {
			listed[w.incarnation] = true
		}
		s.model = s.model.WithWorkers(func(incarnation string) bool { return listed[incarnation] })
	}
	limit := crankjobs.MaxEstimatesBytes
	for _, most := range []int{s.StoreLimits.RecordBytes, s.StoreLimits.CallBytes} {
		if most > 0 {
			limit = min(limit, most-crankjobs.EstimatesRecord(nil).EncodedBytes())
		}
	}
	value, err := s.model.Encode(limit)
	if err != nil {
		s.failEstimates(err)
		return crank.KeyedRecord{}, false
	}
	return crankjobs.EstimatesRecord(value), true
}

// handleEstimatesResult handles what the store said of the record. One that was not stored
// is made anew when it is due again; nothing else waits for it.
func (s *Scheduler) handleEstimatesResult(runs int64, r crankfeed.AppendResult) {
	switch {
	case r.Err == nil:
		s.estimates.runs, s.estimates.failed = runs, false
		s.extendKnown(r.Stored)
	case crankfeed.RefusedForGood(r.Err):
		s.failEstimates(r.Err)
	}
}

// failEstimates logs the first of several records that can't be stored.
func (s *Scheduler) failEstimates(err error) {
	if !s.estimates.failed {
		s.Logger.Error("sched: learned run times can't be stored", "classes", s.model.Classes(), "workers", s.model.Workers(), "error", err)
	}
	s.estimates.failed, s.estimates.dueAt = true, time.Now().Add(estimatesRetry)
}
