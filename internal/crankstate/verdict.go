package crankstate

import crank "cranberrycrank"

// Verdict says whether a record was accepted, and if not, why.
type Verdict struct {
	Position crank.Position `json:"position"`
	Accepted bool           `json:"accepted"`
	Kind     crank.Kind     `json:"kind,omitempty"`     // of the rejection
	Reason   string         `json:"reason,omitempty"`   // of the rejection
	Job      string         `json:"job,omitempty"`      // of an accepted submission
	Repeated bool           `json:"repeated,omitempty"` // accepted before
}

func accept(p crank.Position) Verdict { return Verdict{Position: p, Accepted: true} }

func reject(p crank.Position, kind crank.Kind, reason string) Verdict {
	return Verdict{Position: p, Kind: kind, Reason: reason}
}

// Err returns nil for an accepted record and the rejection as an Error otherwise.
func (v Verdict) Err(op string) error {
	if v.Accepted {
		return nil
	}
	return crank.Fail(op, v.Kind, "%s", v.Reason)
}
