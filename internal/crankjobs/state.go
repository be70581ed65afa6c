package crankjobs

import (
	"encoding/json"
	"slices"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// noOffset stands for a record that was not read.
const noOffset crank.Offset = -1

// RecordedJob is the recorded state of one job.
type RecordedJob struct {
	Job            crank.StepJob
	Submitted      bool // false while only its progress or cancellation was read
	Progress       Progress
	Unreadable     bool         // the newest record of its progress can't be read, so that its tasks must not be started
	later          bool         // that record was written by a later version
	Revision       int64        // of the state in which the job last changed
	submitted      crank.Offset // of its record
	confirmed      bool         // see submission
	cancelOffset   crank.Offset // of the first cancellation that was read
	cancelKeys     []string     // of cancellations with a key of their own, without the prefix
	progressOffset crank.Offset
	endSeen        time.Time // when this instance first read that the job ended
	recordBytes    int64     // memory without tasks
	dueBytes       int64     // memory of the tasks of one occurrence
}

// Cancelled reports whether the job was cancelled before it ended.
func (j RecordedJob) Cancelled() bool {
	if j.cancelOffset == noOffset {
		return false
	}
	return j.Progress.Outcome == OutcomeNone || j.Progress.Outcome == OutcomeCancelled || j.cancelOffset < j.progressOffset
}

// Overruled reports whether the job was cancelled before the end that the planner has
// recorded for it.
func (j RecordedJob) Overruled() bool {
	return j.Cancelled() && j.Progress.Outcome != OutcomeNone && j.Progress.Outcome != OutcomeCancelled
}

// Ended reports whether the job is cancelled, completed or failed.
func (j RecordedJob) Ended() bool { return j.Progress.Outcome != OutcomeNone || j.Cancelled() }

// withCancellation returns the job with a cancellation, which has no key of its own if the
// key is "".
func (j RecordedJob) withCancellation(uniqueKey string, offset crank.Offset) RecordedJob {
	if j.cancelOffset == noOffset || offset < j.cancelOffset {
		j.cancelOffset = offset
	}
	if uniqueKey != "" && !slices.Contains(j.cancelKeys, uniqueKey) {
		j.cancelKeys = append(slices.Clone(j.cancelKeys), uniqueKey)
	}
	return j
}

// Phase returns the state reported to callers.
func (j RecordedJob) Phase() crank.Phase {
	switch {
	case j.Cancelled():
		return crank.PhaseCancelled
	case j.Progress.Outcome == OutcomeCompleted:
		return crank.PhaseCompleted
	case j.Progress.Outcome == OutcomeFailed:
		return crank.PhaseFailed
	case j.Progress.Outcome == OutcomeCancelled:
		return crank.PhaseCancelled
	case j.Progress.HasBegun():
		return crank.PhaseRunning
	}
	return crank.PhaseQueued
}

// State is an immutable snapshot of the job topic.
type State struct {
	Revision int64
	Term     int64 // of the planner that took over last, 0 if none has
	Roster   Roster
	// RosterSeen is when this instance read the roster.
	RosterSeen time.Time
	// Estimates is the newest record of learned run times, nil if there is none. Only a new
	// leader reads it, since all instances follow the topic.
	Estimates []byte

	rosterUnreadable bool  // the newest roster can't be read
	reserved         int64 // sum of the jobs'
	jobs             *immutable.Map[string, RecordedJob]
	withdrawals      withdrawals
	instances        *immutable.Map[string, seenAnnouncement]
	ends             *immutable.Map[string, seenEnds] // by key, without its prefix
}

// NewState returns the state of an empty topic.
func NewState() State {
	return State{
		jobs: immutable.NewMap[string, RecordedJob](nil), withdrawals: newWithdrawals(), instances: immutable.NewMap[string, seenAnnouncement](nil), ends: immutable.NewMap[string, seenEnds](nil),
	}
}

// Job returns the recorded state of a submitted job.
func (s State) Job(id string) (RecordedJob, bool) {
	j, ok := s.jobs.Get(id)
	return j, ok && j.Submitted
}

// ChangedSince returns the submitted jobs that changed after a revision.
func (s State) ChangedSince(revision int64) []RecordedJob {
	var jobs []RecordedJob
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Submitted && j.Revision > revision {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// Pending returns the number of a queue's submitted jobs that have neither begun
// nor ended.
func (s State) Pending(queue string) int {
	n := 0
	for i := s.jobs.Iterator(); !i.Done(); {
		_, j, _ := i.Next()
		if j.Submitted && j.Job.Queue == queue && !j.Progress.HasBegun() && !j.Ended() {
			n++
		}
	}
	return n
}

// Len returns the number of jobs, submitted or not.
func (s State) Len() int { return s.jobs.Len() }

// Leadable returns an error if the records don't tell a leader what may run: the roster
// can't be read, or a later version has written the progress of a job that has not ended.
func (s State) Leadable() error {
	const op = "fact decode"
	if s.rosterUnreadable {
		return crank.Fail(op, crank.KindInvalid, "the roster can't be read")
	}
	for i := s.jobs.Iterator(); !i.Done(); {
		if id, j, _ := i.Next(); j.later && !j.Ended() {
			return crank.Fail(op, crank.KindInvalid, "a later version has written the progress of job %s", id)
		}
	}
	return nil
}

// EndedBefore returns the IDs of jobs whose end or whose withdrawal this instance read
// before a time.
func (s State) EndedBefore(t time.Time) []string {
	ids := s.withdrawnBefore(t)
	for i := s.jobs.Iterator(); !i.Done(); {
		id, j, _ := i.Next()
		if !j.endSeen.IsZero() && j.endSeen.Before(t) && s.withdrawalsSeenBefore(id, t) {
			ids = append(ids, id)
		}
	}
	return ids
}

// RemovalRecords returns the records that remove all keys of a job.
func (s State) RemovalRecords(id string) []crank.KeyedRecord {
	records := []crank.KeyedRecord{{Key: cancelPrefix + id}, {Key: progressPrefix + id}, {Key: jobPrefix + id}}
	j, _ := s.jobs.Get(id)
	for _, key := range j.cancelKeys {
		records = append(records, crank.KeyedRecord{Key: cancelPrefix + key})
	}
	for _, w := range s.Withdrawals(id) {
		records = append(records, crank.KeyedRecord{Key: withdrawalPrefix + w.Key})
	}
	return records
}

// With returns the state after a record. A record that can't be decoded gives an
// error. It changes nothing but the revision, and that the progress of its job, or the
// roster, is unreadable.
func (s State) With(r crank.KeyedRecord, now time.Time) (State, error) {
	s.Revision++
	prefix, id := splitKey(r.Key)
	if prefix == rosterKey {
		var roster Roster // decoding into that of s would change its list in earlier states
		err := decodeVersioned(r.Value, &roster, &roster.Format)
		if s.rosterUnreadable = err != nil; err == nil {
			s.Roster, s.RosterSeen = roster, now
		}
		return s, err
	}
	if r.Key == estimatesKey {
		s.Estimates = r.Value
		return s, nil
	}
	if prefix == termKey {
		var term termRecord
		err := decode(r.Value, &term)
		if err == nil {
			s.Term = term.Term
		}
		return s, err
	}
	if id == "" {
		return s, crank.Fail("fact decode", crank.KindInvalid, "%q is no known key", r.Key)
	}
	if prefix == instancePrefix {
		return s.withInstance(id, r.Value, now)
	}
	if prefix == endsPrefix {
		return s.withWitnessedEnds(id, r.Value, now)
	}
	if prefix == withdrawalPrefix {
		return s.withWithdrawal(id, r, now)
	}
	uniqueKey := ""
	if prefix == cancelPrefix {
		if job := cancelledJob(r.Value); job != "" {
			uniqueKey, id = id, job
		}
	}
	j, known := s.jobs.Get(id)
	if !known {
		j = RecordedJob{cancelOffset: noOffset, progressOffset: noOffset}
	}
	before := j
	var failure error
	switch {
	case len(r.Value) == 0 && prefix == jobPrefix:
		s.jobs = s.jobs.Delete(id)
		s.reserved -= j.reserved()
		return s, nil
	case len(r.Value) == 0:
		return s, nil
	case prefix == jobPrefix && !j.Submitted:
		var job submission
		if err := decode(r.Value, &job); err != nil {
			return s, err
		}
		if err := job.Validate(); err != nil { // the planner relies on it
			return s, err
		}
		if job.Confirmed && s.Withdraws(job.StepJob, r.Offset) {
			return s, nil
		}
		j.Job, j.Submitted, j.submitted, j.confirmed = job.StepJob, true, r.Offset, job.Confirmed
		j.recordBytes, j.dueBytes = recordBytes(j.Job), OccurrenceBytes(j.Job)
		j = s.withLaterWithdrawals(j)
	case prefix == jobPrefix:
		return s, nil
	case prefix == cancelPrefix:
		j = j.withCancellation(uniqueKey, r.Offset)
	case prefix == progressPrefix:
		var p Progress
		failure = decodeVersioned(r.Value, &p, &p.Format)
		j.later = p.Format > recordFormat
		if j.Unreadable = failure != nil; failure == nil {
			j.Progress, j.progressOffset = p, r.Offset
		}
	}
	return s.withJob(id, before, j, now), failure
}

// withJob returns the state with a job changed.
func (s State) withJob(id string, before, after RecordedJob, now time.Time) State {
	after.Revision = s.Revision
	if after.Ended() && after.endSeen.IsZero() {
		after.endSeen = now
	}
	s.jobs = s.jobs.Set(id, after)
	s.reserved += after.reserved() - before.reserved()
	return s
}

func decode(value []byte, to any) error {
	return crank.Wrap("fact decode", crank.KindInvalid, json.Unmarshal(value, to))
}

// decodeVersioned decodes a record, whose format is in the given field of it, and refuses
// one of a later version.
func decodeVersioned(value []byte, to any, format *int) error {
	if err := decode(value, to); err != nil {
		return err
	}
	if *format > recordFormat {
		return crank.Fail("fact decode", crank.KindInvalid, "the record has format %d, this version reads %d", *format, recordFormat)
	}
	return nil
}
