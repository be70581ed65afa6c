package crankfold

import crank "cranberrycrank"

// Verdict is what became of one record.
type Verdict struct {
	Position crank.Position `json:"position"`
	Accepted bool           `json:"accepted"`
	Kind     crank.Kind     `json:"kind,omitempty"`   // why it is void
	Reason   string         `json:"reason,omitempty"` // why it is void
	Job      string         `json:"job,omitempty"`    // of an accepted or repeated submission
	Repeated bool           `json:"repeated,omitempty"`
}

func accept(p crank.Position) Verdict { return Verdict{Position: p, Accepted: true} }

func reject(p crank.Position, kind crank.Kind, reason string) Verdict {
	return Verdict{Position: p, Kind: kind, Reason: reason}
}

// Err returns nil for an accepted record and an Error otherwise.
func (v Verdict) Err(op string) error {
	if v.Accepted {
		return nil
	}
	return crank.Fail(op, v.Kind, "%s", v.Reason)
}
