package cranksched

import (
	"cmp"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"
)

// writtenProgress is what one call of write stores, each job and the roster as a group
// of its own.
type writtenProgress struct {
	jobs    []*job
	records []crankjobs.Progress     // of the jobs
	places  map[*job][]recordedPlace // that are new in the records
	roster  *crankjobs.Roster        // the group after the jobs, nil if it did not change
	acks    map[*worker]int64

	estimates bool  // the last group are learned run times
	runs      int64 // that were learned by then
}

// recordedPlace is the place of a task in a record.
type recordedPlace struct {
	task  *task
	place int
}

// write stores changed progress and the roster, one append at a time. Ended runs are
// acknowledged only once their effects are stored, because the worker then forgets
// them.
func (s *Scheduler) write() {
	if s.writing || time.Now().Before(s.retryAt) {
		return
	}
	s.dropRecordedEnds()
	if len(s.dirty) == 0 && !s.roster.stale {
		s.acknowledge(s.acks)
		clear(s.acks)
		return
	}
	begun := time.Now()
	groups := make([][]crank.KeyedRecord, 0, len(s.dirty)+1)
	written := writtenProgress{acks: s.acks, places: make(map[*job][]recordedPlace)}
	for id, j := range s.dirty {
		r, err := s.progressRecord(j)
		if err != nil {
			s.Logger.Error("sched: progress not encoded", "job", id, "error", err)
			continue
		}
		groups = append(groups, []crank.KeyedRecord{r})
		written.jobs, written.records = append(written.jobs, j), append(written.records, j.progress)
		written.places[j] = j.takeUnrecorded()
	}
	clear(s.dirty)
	if s.roster.stale {
		r, stored, err := s.rosterRecord(begun)
		if err != nil {
			s.Logger.Error("sched: roster not encoded", "error", err)
		}
		groups = append(groups, []crank.KeyedRecord{r})
		written.roster, s.roster.stale = &stored, false
	}
	if r, due := s.dueEstimates(begun); due {
		groups = append(groups, []crank.KeyedRecord{r})
		written.estimates, written.runs = true, s.model.Runs()
	}
	s.acks = make(map[*worker]int64)
	s.writing, s.writeBegun = true, begun
	if s.unansweredSince.IsZero() {
		s.unansweredSince = begun
	}
	go func() {
		results := s.writer.AppendGroups(s.ctx, groups...)
		s.post(func() {
			s.writing = false
			s.Scope.Timer("progress_write").Record(time.Since(begun))
			s.handleWriteResults(written, results)
		})
	}()
}

// dropRecordedEnds leaves out jobs whose end is stored. Written again, it would come after a
// cancellation that it came before, and nothing else in the record counts any more.
func (s *Scheduler) dropRecordedEnds() {
	for id, j := range s.dirty {
		if j.storedOutcome == crankjobs.OutcomeNone || j.storedOutcome != j.progress.Outcome {
			continue
		}
		delete(s.dirty, id)
		if j.placed == 0 {
			s.dropEnded(j)
		}
	}
}

// recordSoon has the progress of a job written within recordDelay.
func (s *Scheduler) recordSoon(j *job) {
	if len(s.delayed) == 0 {
		s.delayedUntil = time.Now().Add(recordDelay)
	}
	s.delayed[j] = true
}

// recordDelayed has the jobs of recordSoon written that no record has held since.
func (s *Scheduler) recordDelayed(now time.Time) {
	if len(s.delayed) == 0 || now.Before(s.delayedUntil) {
		return
	}
	for j := range s.delayed {
		if (len(j.unrecorded) > 0 || j.startUnrecorded) && s.jobs[j.spec.ID] == j {
			s.markDirty(j)
		}
	}
	clear(s.delayed)
}

// takeUnrecorded returns the places that the next record is the first to hold. It also holds
// that a task has started.
func (j *job) takeUnrecorded() []recordedPlace {
	places := make([]recordedPlace, 0, len(j.unrecorded))
	for _, t := range j.unrecorded {
		t.recorded, t.placeStored = j.progress.Place(t.ordinal, j.spec.TasksPerOccurrence()), false
		places = append(places, recordedPlace{t, t.recorded})
	}
	j.unrecorded, j.startUnrecorded = nil, false
	return places
}

// progressRecord returns the record of a job's progress, or only of its end if the store
// has refused its progress.
func (s *Scheduler) progressRecord(j *job) (crank.KeyedRecord, error) {
	j.progress.Term = s.Term
	p := j.progress
	if j.refused {
		p.Tracked, p.Ordered, p.Places, p.Done, p.Failures, p.Checkpoints = false, nil, nil, nil, nil, nil
	}
	return crankjobs.FittingProgressRecord(j.spec, p, s.StoreLimits)
}

// rosterRecord returns the record of the roster, and what it holds. Workers for which it
// has no room get no orders.
func (s *Scheduler) rosterRecord(now time.Time) (crank.KeyedRecord, crankjobs.Roster, error) {
	left := s.leasesLeft(now)
	for most := len(s.roster.addrs); ; {
		roster := s.roster.record(s.Term, most)
		roster.LeaseLeft = left
		if len(left) > 0 {
			s.chooseClocks()
			roster.Clocks = s.readClocks()
		}
		r, err := crankjobs.RosterRecord(roster)
		if err != nil || most <= len(s.roster.stored) || s.StoreLimits.Check(r) == nil {
			return r, roster, err
		}
		most = max(len(s.roster.stored), most*9/10)
		s.Logger.Error("sched: roster has no room for all workers", "listed", most, "workers", len(s.workers))
	}
}

// leasesLeft returns how long the leases that are not extended may still last.
func (s *Scheduler) leasesLeft(now time.Time) map[string]int64 {
	left := make(map[string]int64)
	for incarnation, until := range s.unaccounted { // the limit holds until the worker answers
		if _, ok := s.roster.addrs[incarnation]; ok && s.roster.limited[incarnation] {
			left[incarnation] = max(0, until.Sub(now)).Milliseconds()
		}
	}
	for _, w := range s.workers {
		if _, ok := s.roster.addrs[w.incarnation]; !ok || !w.ending || !(w.entry.Draining || w.failedRenewals > 0) {
			continue
		}
		w.endingStored = true
		s.roster.limited[w.incarnation] = true
		left[w.incarnation] = s.leaseOf(w).Left(now).Milliseconds()
	}
	return left
}

// resumeStored extends the leases again that a stored roster does not limit.
func (s *Scheduler) resumeStored(stored crankjobs.Roster) {
	for _, w := range s.workers {
		if _, limited := stored.LeaseLeft[w.incarnation]; w.ending && !limited {
			w.endingStored = false
			s.roster.stale = s.roster.stale || w.entry.Draining || w.failedRenewals > 0
			s.resumeExtending(w)
		}
	}
}

// handleWriteResults queues everything again that was not stored, unless the store has
// refused it for good. Nothing is acknowledged before all is stored.
func (s *Scheduler) handleWriteResults(written writtenProgress, results []crankfeed.AppendResult) {
	var failure error
	for i, j := range written.jobs {
		switch r := results[i]; {
		case r.Err == nil:
			s.handleStoredProgress(j, written.records[i], r.Stored)
			s.startAllowed(j, written.places[j])
		case crankfeed.RefusedForGood(r.Err):
			s.handleRefusedProgress(j, r.Err)
			failure = cmp.Or(failure, r.Err)
		default:
			for _, r := range written.places[j] {
				j.unrecorded = append(j.unrecorded, r.task)
			}
			s.markDirty(j)
			failure = cmp.Or(failure, r.Err)
		}
	}
	if written.roster != nil {
		failure = cmp.Or(s.handleRosterResult(*written.roster, results[len(written.jobs)]), failure)
	}
	if written.estimates {
		s.handleEstimatesResult(written.runs, results[len(results)-1])
	}
	s.changed = true
	if failure == nil || crankfeed.RefusedForGood(failure) {
		s.unansweredSince = time.Time{}
	}
	if failure == nil {
		s.writeTime = max(time.Since(s.writeBegun), s.writeTime/2)
		s.acknowledge(written.acks)
		return
	}
	if crank.KindOf(failure) == crank.KindFenced {
		s.Leadership.Resign("the store has seen a higher epoch")
	}
	s.Logger.Warn("sched: progress not stored", "jobs", len(written.jobs), "ends", len(written.acks), "error", failure)
	for w, n := range written.acks {
		s.acks[w] = max(s.acks[w], n)
	}
	s.retryAt = time.Now().Add(writeRetry)
}

// writeOverdue reports whether the store takes so much longer than usual to answer a write
// that planned runs are not worth the capacity they hold.
//
// Load pattern: every write takes longer than storeAwayTime while small tasks come and go.
// Runs that were given up at each write would be planned at other workers every time, which
// takes another write.
func (s *Scheduler) writeOverdue(now time.Time) bool {
	limit := max(storeAwayTime, min(2*s.writeTime, maxStoreAwayTime))
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) > limit
}

func (s *Scheduler) handleStoredProgress(j *job, record crankjobs.Progress, stored crank.OffsetRange) {
	s.publishStoredEnd(j, record.Outcome, stored)
	j.claimed, j.storedOutcome = true, record.Outcome
	if j.ending() && j.placed == 0 {
		s.dropEnded(j)
	}
}

// handleRefusedProgress fails a job whose progress the store refuses for good, so that
// only its end is recorded. If the store refuses that too, it is not written again.
func (s *Scheduler) handleRefusedProgress(j *job, err error) {
	s.Logger.Error("sched: progress refused by the store", "job", j.spec.ID, "ended", j.ending(), "again", j.refused, "error", err)
	switch {
	case j.refused:
	case j.ending():
		j.refused = true
		s.markDirty(j)
	default:
		j.refused = true
		s.setOutcome(j, crankjobs.OutcomeFailed, "the store refuses its progress")
	}
}

// handleRosterResult lets the workers of a stored roster have orders. A roster that the
// store refuses for good is written again once it changes.
func (s *Scheduler) handleRosterResult(roster crankjobs.Roster, r crankfeed.AppendResult) error {
	switch {
	case crankfeed.RefusedForGood(r.Err):
		s.Logger.Error("sched: roster refused by the store", "incarnations", len(roster.Incarnations), "error", r.Err)
		return r.Err
	case r.Err != nil:
		s.roster.stale = true
		return r.Err
	}
	s.extendKnown(r.Stored)
	s.roster.confirm(roster)
	s.resumeStored(roster)
	return nil
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

// sweep removes jobs past their retention, expired announcements of instances and ends
// that were witnessed long ago from the store.
func (s *Scheduler) sweep() {
	now := time.Now()
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepPeriod)
	state := s.Jobs.View().State
	ids := state.EndedBefore(now.Add(-s.Retention))
	_, silent := state.Instances(now)
	witnessed := state.WitnessedBefore(now.Add(-witnessedTime))
	if len(ids)+len(silent)+len(witnessed) == 0 {
		return
	}
	var groups [][]crank.KeyedRecord // the records of a job are removed together
	for _, id := range ids {
		if s.jobs[id] == nil {
			delete(s.dropped, id)
			delete(s.endPhases, id)
			groups = append(groups, state.RemovalRecords(id))
		}
	}
	for _, id := range silent {
		groups = append(groups, []crank.KeyedRecord{crankjobs.InstanceRemovalRecord(id)})
	}
	for _, key := range witnessed {
		groups = append(groups, []crank.KeyedRecord{crankjobs.WitnessedEndsRemovalRecord(key)})
	}
	go func() {
		var failure error
		for _, r := range s.writer.AppendGroups(s.ctx, groups...) {
			failure = cmp.Or(failure, r.Err)
		}
		if failure != nil {
			s.Logger.Warn("sched: old records not removed", "jobs", len(ids), "instances", len(silent), "witnessed", len(witnessed), "error", failure)
			return
		}
		s.Logger.Info("sched: old records removed", "jobs", len(ids), "instances", len(silent), "witnessed", len(witnessed))
	}()
}
