package crankjobs

import (
	"encoding/json"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// Phase is the state of a job that is reported to callers.
type Phase string

// Phases of jobs.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// noOffset is the offset of a record that was not read.
const noOffset crank.Offset = -1

// RecordedJob is the recorded state of one job.
type RecordedJob struct {
	Job            crank.StepJob
	Submitted      bool // false while only its progress or cancellation was read
	Progress       Progress
	Revision       int64 // of the state in which the entry last changed
	cancelOffset   crank.Offset
	progressOffset crank.Offset
	endSeen        time.Time // when this instance read its end
}

// Cancelled reports whether the job was cancelled before it ended.
func (e RecordedJob) Cancelled() bool {
	if e.cancelOffset == noOffset {
		return false
	}
	return e.Progress.Outcome == OutcomeNone || e.Progress.Outcome == OutcomeCancelled || e.cancelOffset < e.progressOffset
}

// Ended reports whether the job is cancelled, completed or failed.
func (e RecordedJob) Ended() bool { return e.Progress.Outcome != OutcomeNone || e.Cancelled() }

// Phase returns the state that is reported to callers.
func (e RecordedJob) Phase() Phase {
	switch {
	case e.Cancelled():
		return PhaseCancelled
	case e.Progress.Outcome == OutcomeCompleted:
		return PhaseCompleted
	case e.Progress.Outcome == OutcomeFailed:
		return PhaseFailed
	case e.Progress.Outcome == OutcomeCancelled:
		return PhaseCancelled
	case e.Progress.Begun:
		return PhaseRunning
	}
	return PhaseQueued
}

// State is an immutable snapshot of the job topic.
type State struct {
	Revision int64
	Roster   Roster

	jobs      *immutable.Map[string, RecordedJob]
	instances *immutable.Map[string, seenAnnouncement]
}

// NewState returns the state of an empty topic.
func NewState() State {
	return State{jobs: immutable.NewMap[string, RecordedJob](nil), instances: immutable.NewMap[string, seenAnnouncement](nil)}
}

// Job returns the recorded state of a submitted job.
func (s State) Job(id string) (RecordedJob, bool) {
	e, ok := s.jobs.Get(id)
	return e, ok && e.Submitted
}

// ChangedSince returns the submitted jobs that changed after a revision.
func (s State) ChangedSince(revision int64) []RecordedJob {
	var entries []RecordedJob
	for i := s.jobs.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		if e.Submitted && e.Revision > revision {
			entries = append(entries, e)
		}
	}
	return entries
}

// Pending returns the number of a queue's submitted jobs that have not begun
// and have not ended.
func (s State) Pending(queue string) int {
	n := 0
	for i := s.jobs.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		if e.Submitted && e.Job.Queue == queue && !e.Progress.Begun && !e.Ended() {
			n++
		}
	}
	return n
}

// Len returns the number of recorded jobs, submitted or not.
func (s State) Len() int { return s.jobs.Len() }

// EndedBefore returns the IDs of jobs whose end this instance read before a time.
func (s State) EndedBefore(t time.Time) []string {
	var ids []string
	for i := s.jobs.Iterator(); !i.Done(); {
		id, e, _ := i.Next()
		if !e.endSeen.IsZero() && e.endSeen.Before(t) {
			ids = append(ids, id)
		}
	}
	return ids
}

// With returns the state after a record, and an error when the record can't be
// decoded. Such a record changes no job and no announcement.
func (s State) With(r crank.KeyedRecord, now time.Time) (State, error) {
	s.Revision++
	prefix, id := splitKey(r.Key)
	if prefix == rosterKey {
		return s, decode(r.Value, &s.Roster)
	}
	if prefix == termKey {
		return s, nil
	}
	if id == "" {
		return s, crank.Fail("fact decode", crank.KindInvalid, "%q is no known key", r.Key)
	}
	if prefix == instancePrefix {
		return s.withInstance(id, r.Value, now)
	}
	e, known := s.jobs.Get(id)
	if !known {
		e = RecordedJob{cancelOffset: noOffset, progressOffset: noOffset}
	}
	e.Revision = s.Revision
	switch {
	case len(r.Value) == 0 && prefix == jobPrefix:
		s.jobs = s.jobs.Delete(id)
		return s, nil
	case len(r.Value) == 0:
		return s, nil
	case prefix == jobPrefix && !e.Submitted:
		if err := decode(r.Value, &e.Job); err != nil {
			return s, err
		}
		e.Submitted = true
	case prefix == jobPrefix:
		return s, nil
	case prefix == cancelPrefix && e.cancelOffset == noOffset:
		e.cancelOffset = r.Offset
	case prefix == progressPrefix:
		var p Progress
		if err := decode(r.Value, &p); err != nil {
			return s, err
		}
		e.Progress, e.progressOffset = p, r.Offset
	}
	if e.Ended() && e.endSeen.IsZero() {
		e.endSeen = now
	}
	s.jobs = s.jobs.Set(id, e)
	return s, nil
}

func decode(value []byte, to any) error {
	return crank.Wrap("fact decode", crank.KindInvalid, json.Unmarshal(value, to))
}
