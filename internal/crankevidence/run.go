package crankevidence

import (
	"time"

	crank "cranberrycrank"
)

// Run is what a planner knows of one run of a task.
type Run struct {
	Task   crank.TaskID
	Number int64
	Sent   bool // a start order, or it was found at its worker
	// ConclusiveAfter is a time on the worker's clock, in ms, after which it starts the run no
	// more. AnsweredAt is when the planner got an answer that showed it, zero for none.
	ConclusiveAfter int64
	AnsweredAt      time.Time
}

// Report is what a worker's report of its runs shows.
type Report struct {
	Active    map[crank.TaskID]int64 // number of the run of each task that is listed
	Complete  bool
	Sent      time.Time // the renewal
	SentClock int64     // newest reading of the worker's clock then, in ms
}

// NewReport returns what the answer to a renewal shows that was sent at some time, when the
// newest reading of the worker's clock was sentClock.
func NewReport(r crank.RenewReport, sent time.Time, sentClock int64) Report {
	active := make(map[crank.TaskID]int64, len(r.Active))
	for _, a := range r.Active {
		active[a.Task] = a.Run
	}
	return Report{Active: active, Complete: !r.Incomplete && !r.Unreadable, Sent: sent, SentClock: sentClock}
}

// JudgeReport tells whether a report of its worker shows that a run is not there. A worker may
// take its lists before it reads its clock, so that the time of the report proves nothing: the
// renewal must have been sent once the run was there or could not come any more.
func (r Run) JudgeReport(report Report) Verdict {
	if listed, ok := report.Active[r.Task]; !report.Complete || (ok && listed == r.Number) {
		return Verdict{}
	}
	if report.SentClock > r.ConclusiveAfter || (!r.AnsweredAt.IsZero() && report.Sent.After(r.AnsweredAt)) {
		return Verdict{evidence: Unlisted}
	}
	return Verdict{}
}

// JudgePlanned tells whether a run has no start order yet.
func (r Run) JudgePlanned() Verdict {
	if r.Sent {
		return Verdict{}
	}
	return Verdict{evidence: NotSent}
}

// JudgeEnd tells whether an end that the worker lists is one of the run, or of a later one.
func (r Run) JudgeEnd(e crank.EndedRun) Verdict {
	if e.Task != r.Task || e.Run < r.Number {
		return Verdict{}
	}
	return Verdict{evidence: Listed}
}

// JudgeReply tells whether the reply to a start order shows that the run does not exist.
// Uncertain means that an earlier try of the order got no answer: it may take effect, whatever
// the last one shows.
func (r Run) JudgeReply(reply crank.OrderReply, uncertain bool, err error) Verdict {
	if uncertain || (err == nil && reply.Refusal == crank.RefusalNone) {
		return Verdict{}
	}
	if kind := crank.KindOf(err); err != nil && (kind == crank.KindUnknown || kind == crank.KindFenced) {
		return Verdict{}
	}
	return Verdict{evidence: Refused}
}

// JudgeWitnessed tells whether an end that another instance saw stands for a task, or its
// gang, whose newest known run has a number.
func JudgeWitnessed(ended, newest int64) Verdict {
	if newest > ended {
		return Verdict{}
	}
	return Verdict{evidence: Listed}
}
