package cranksched

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankjobs"
)

// write stores changed progress and the roster, one append at a time. Ended runs are
// acknowledged only once their effects are stored, because the worker then forgets
// them.
func (s *Scheduler) write() {
	if s.writing || time.Now().Before(s.retryAt) {
		return
	}
	if len(s.dirty) == 0 && !s.rosterStale {
		s.acknowledge(s.acks)
		clear(s.acks)
		return
	}
	records := make([]crank.KeyedRecord, 0, len(s.dirty)+1)
	jobs := make([]*job, 0, len(s.dirty))
	for id, j := range s.dirty {
		j.progress.Term = s.Term
		r, err := crankjobs.ProgressRecord(id, j.progress)
		if err != nil {
			s.Logger.Error("sched: progress not encoded", "job", id, "error", err)
			continue
		}
		records = append(records, r)
		jobs = append(jobs, j)
	}
	clear(s.dirty)
	incarnations := s.incarnations()
	rosterChanged := s.rosterStale
	if rosterChanged {
		r, err := crankjobs.RosterRecord(crankjobs.Roster{Term: s.Term, Incarnations: incarnations})
		if err != nil {
			s.Logger.Error("sched: roster not encoded", "error", err)
		}
		records = append(records, r)
		s.rosterStale = false
	}
	acks := s.acks
	s.acks = make(map[*worker]int64)
	s.writing = true
	begun := time.Now()
	go func() {
		stored, err := s.writer.Append(s.ctx, records...)
		s.post(func() {
			s.writing = false
			s.Scope.Timer("progress_write").Record(time.Since(begun))
			s.handleWriteResult(jobs, incarnations, rosterChanged, acks, stored, err)
		})
	}()
}

// incarnations returns the roster to store: incarnations that may have received
// orders, or may from now on.
func (s *Scheduler) incarnations() []string {
	var incarnations []string
	for incarnation := range s.roster {
		incarnations = append(incarnations, incarnation)
	}
	for _, w := range s.workers {
		if !w.ended && !s.roster[w.incarnation] {
			incarnations = append(incarnations, w.incarnation)
		}
	}
	return incarnations
}

// handleWriteResult queues everything again after a failed append.
func (s *Scheduler) handleWriteResult(jobs []*job, incarnations []string, rosterChanged bool, acks map[*worker]int64, stored crank.OffsetRange, err error) {
	if err != nil {
		if crank.KindOf(err) == crank.KindFenced {
			s.Leadership.Resign("the store has seen a higher epoch")
		}
		s.Logger.Warn("sched: progress not stored", "jobs", len(jobs), "ends", len(acks), "error", err)
		for _, j := range jobs {
			s.markDirty(j)
		}
		for w, n := range acks {
			s.acks[w] = max(s.acks[w], n)
		}
		s.rosterStale = s.rosterStale || rosterChanged
		s.retryAt = time.Now().Add(writeRetry)
		return
	}
	s.publishStoredEnds(jobs, stored)
	for _, j := range jobs {
		j.claimed = true
		if j.ending() && j.placed == 0 {
			s.dropEnded(j)
		}
	}
	if rosterChanged {
		for _, incarnation := range incarnations {
			s.roster[incarnation] = true
		}
	}
	s.acknowledge(acks)
	s.changed = true
}

func (s *Scheduler) acknowledge(acks map[*worker]int64) {
	for w, n := range acks {
		w.keeper.Ack(n)
	}
}

// dropEnded removes an ended job without placements once its progress is stored.
func (s *Scheduler) dropEnded(j *job) {
	if s.dirty[j.spec.ID] == nil && (j.cancelled || j.claimed) {
		delete(s.jobs, j.spec.ID)
		s.dropped[j.spec.ID] = true
	}
}

// sweep removes jobs past their retention and expired announcements of instances
// from the store.
func (s *Scheduler) sweep() {
	now := time.Now()
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepPeriod)
	state := s.Jobs.View().State
	ids := state.EndedBefore(now.Add(-s.Retention))
	_, silent := state.Instances(now)
	if len(ids)+len(silent) == 0 {
		return
	}
	var records []crank.KeyedRecord
	for _, id := range ids {
		if s.jobs[id] == nil {
			delete(s.dropped, id)
			delete(s.endPhases, id)
			records = append(records, crankjobs.JobRemovalRecords(id)...)
		}
	}
	for _, id := range silent {
		records = append(records, crankjobs.InstanceRemovalRecord(id))
	}
	go func() {
		if _, err := s.writer.Append(s.ctx, records...); err != nil {
			s.Logger.Warn("sched: old records not removed", "jobs", len(ids), "instances", len(silent), "error", err)
			return
		}
		s.Logger.Info("sched: old records removed", "jobs", len(ids), "instances", len(silent))
	}()
}
