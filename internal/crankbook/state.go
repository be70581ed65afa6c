package crankbook

import (
	"encoding/json"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// Phase is the state of a job as callers see it.
type Phase string

// Phases.
const (
	PhaseQueued    Phase = "queued"
	PhaseRunning   Phase = "running"
	PhaseCompleted Phase = "completed"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// noOffset marks a fact that is not recorded.
const noOffset crank.Offset = -1

// Entry is what is recorded of one job.
type Entry struct {
	Job        crank.StepJob
	Submitted  bool // false while only its progress or cancellation was read
	Progress   Progress
	Revision   int64 // of the state in which the entry last changed
	cancelled  crank.Offset
	progressed crank.Offset
	ended      time.Time // when this instance learned of its end
}

// Cancelled reports whether the job was cancelled before it had ended.
func (e Entry) Cancelled() bool {
	if e.cancelled == noOffset {
		return false
	}
	return e.Progress.Outcome == OutcomeNone || e.Progress.Outcome == OutcomeCancelled || e.cancelled < e.progressed
}

// Ended reports whether the job is cancelled, completed or failed.
func (e Entry) Ended() bool { return e.Progress.Outcome != OutcomeNone || e.Cancelled() }

// Phase returns the state that callers see.
func (e Entry) Phase() Phase {
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

	jobs      *immutable.Map[string, Entry]
	instances *immutable.Map[string, announced]
}

// NewState returns the state of an empty topic.
func NewState() State {
	return State{jobs: immutable.NewMap[string, Entry](nil), instances: immutable.NewMap[string, announced](nil)}
}

// Job returns the entry of a submitted job.
func (s State) Job(id string) (Entry, bool) {
	e, ok := s.jobs.Get(id)
	return e, ok && e.Submitted
}

// Since returns the submitted jobs that changed after a revision.
func (s State) Since(revision int64) []Entry {
	var entries []Entry
	for i := s.jobs.Iterator(); !i.Done(); {
		_, e, _ := i.Next()
		if e.Submitted && e.Revision > revision {
			entries = append(entries, e)
		}
	}
	return entries
}

// Pending returns the number of a queue's accepted jobs that have not begun.
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

// Len returns the number of jobs.
func (s State) Len() int { return s.jobs.Len() }

// EndedBefore returns jobs whose end this instance learned of before a time.
func (s State) EndedBefore(t time.Time) []string {
	var ids []string
	for i := s.jobs.Iterator(); !i.Done(); {
		id, e, _ := i.Next()
		if !e.ended.IsZero() && e.ended.Before(t) {
			ids = append(ids, id)
		}
	}
	return ids
}

// With returns the state after a record and the reason when it can't be read;
// such a record changes nothing.
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
		e = Entry{cancelled: noOffset, progressed: noOffset}
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
	case prefix == cancelPrefix && e.cancelled == noOffset:
		e.cancelled = r.Offset
	case prefix == progressPrefix:
		var p Progress
		if err := decode(r.Value, &p); err != nil {
			return s, err
		}
		e.Progress, e.progressed = p, r.Offset
	}
	if e.Ended() && e.ended.IsZero() {
		e.ended = now
	}
	s.jobs = s.jobs.Set(id, e)
	return s, nil
}

func decode(value []byte, to any) error {
	return crank.Wrap("fact decode", crank.KindInvalid, json.Unmarshal(value, to))
}
