package crankstate

import (
	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// BatchResult holds the verdicts on the records of one batch.
type BatchResult struct {
	Writer   string
	Sequence int64
	Verdicts []Verdict
}

// Apply returns the state after an entry of the event stream, and the verdicts on
// its batch. An entry that can't be decoded, or whose batch was already applied,
// only advances Next and has an empty result.
func (s State) Apply(e crank.LogEntry) (State, BatchResult) {
	b, err := crankrecord.Decode(e.Data)
	s.Next = e.Offset + 1
	if err != nil || s.Applied(b.Writer, b.Sequence) {
		return s, BatchResult{}
	}
	if b.At.After(s.LogTime) {
		s.LogTime = b.At
	}
	s.writers = s.writers.Set(b.Writer, Writer{Sequence: b.Sequence, At: s.LogTime})
	verdicts := make([]Verdict, len(b.Records))
	for i, r := range b.Records {
		s, verdicts[i] = s.applyRecord(crank.NewPosition(e.Offset, i), b, r)
	}
	return s, BatchResult{Writer: b.Writer, Sequence: b.Sequence, Verdicts: verdicts}
}

func (s State) applyRecord(p crank.Position, b crankrecord.Batch, r crankrecord.Record) (State, Verdict) {
	switch {
	case r.Submit != nil:
		return s.submit(p, b.At, *r.Submit)
	case r.Cancel != nil:
		return s.cancel(p, *r.Cancel)
	case r.Place != nil:
		return s.place(p, *r.Place)
	case r.Reassign != nil:
		return s.reassign(p, *r.Reassign)
	case r.Started != nil:
		return s.markStarted(p, *r.Started)
	case r.Void != nil:
		return s.voidAttempt(p, *r.Void)
	case r.Ended != nil:
		return s.partEnded(p, *r.Ended)
	case r.Lost != nil:
		return s.markLost(p, *r.Lost)
	case r.Evict != nil:
		return s.evict(p, *r.Evict)
	case r.Refuse != nil:
		return s.refuse(p, *r.Refuse)
	case r.Zone != nil:
		return s.setZone(p, *r.Zone)
	case r.Publish != nil:
		return s.publish(p, b, *r.Publish)
	case r.Term != nil:
		return s.setTerm(p, *r.Term)
	case r.Heartbeat != nil:
		return s.heartbeat(p, *r.Heartbeat)
	case r.Workers != nil:
		return s.setWorkers(p, *r.Workers)
	}
	return s, reject(p, crank.KindInvalid, "the record is of no known kind")
}

// checkTerm returns why a record's term is not the current one, or "".
func (s State) checkTerm(term crank.Position) string {
	if term == 0 || term != s.Term.Number {
		return "the planner's term is over"
	}
	return ""
}
