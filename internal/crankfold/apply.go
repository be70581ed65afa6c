package crankfold

import (
	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// BatchResult is what became of the batch of one entry.
type BatchResult struct {
	Writer   string
	Sequence int64
	Verdicts []Verdict // one for each record
}

// Apply returns the state after an entry of the event stream and what became
// of its batch. An entry that can't be decoded, and the second of two equal
// batches, leave the state as it is but for Next and give no result.
func (s State) Apply(e crank.Entry) (State, BatchResult) {
	b, err := crankrecord.Decode(e.Data)
	s.Next = e.Offset + 1
	if err != nil || s.Applied(b.Writer, b.Sequence) {
		return s, BatchResult{}
	}
	if b.At.After(s.Horizon) {
		s.Horizon = b.At
	}
	s.writers = s.writers.Set(b.Writer, Writer{Sequence: b.Sequence, At: s.Horizon})
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
	case r.Own != nil:
		return s.own(p, *r.Own)
	case r.Started != nil:
		return s.started(p, *r.Started)
	case r.Void != nil:
		return s.void(p, *r.Void)
	case r.Ended != nil:
		return s.partEnded(p, *r.Ended)
	case r.Lost != nil:
		return s.lost(p, *r.Lost)
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
	case r.Pulse != nil:
		return s.pulse(p, *r.Pulse)
	case r.Workers != nil:
		return s.setWorkers(p, *r.Workers)
	}
	return s, reject(p, crank.KindInvalid, "the record is of no known kind")
}

// checkTerm returns a reason when a record was proposed under an old term.
func (s State) checkTerm(term crank.Position) string {
	if term == 0 || term != s.Term.Number {
		return "the planner's term is over"
	}
	return ""
}
