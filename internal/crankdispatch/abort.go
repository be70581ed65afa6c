package crankdispatch

import (
	"context"
	"errors"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
)

type viewOf = crankbox.View

// abortWait bounds one try to fence and stop all parts.
const abortWait = 2 * time.Second

// abort makes sure that no part of the attempt runs, and records what is
// known of each. A part that can't be asked stays open until its worker
// answers or counts as lost.
func (s *starter) abort(ctx context.Context, j crankfold.Job) {
	call, cancel := context.WithTimeout(ctx, abortWait)
	defer cancel()
	statuses := make([]crank.PartStatus, len(j.Attempt.Parts))
	known := make([]bool, len(j.Attempt.Parts))
	_, _ = s.each(j, func(p crankfold.Part) error {
		i := j.PartAt(p.Worker)
		statuses[i], known[i] = s.end(call, j, p)
		return nil
	})
	if s.untouched(j, statuses, known) {
		s.Logger.Info("dispatch: attempt is void", "job", s.id.Job, "attempt", s.id.Number, "reason", s.reason)
		s.record(ctx, j, crankrecord.Record{Void: &crankrecord.Void{Attempt: s.id, Token: s.token, Reason: s.reason, Worker: s.culprit}})
		return
	}
	for i, p := range j.Attempt.Parts {
		if known[i] && !p.Over() {
			s.record(ctx, j, crankrecord.Record{Ended: &crankrecord.Ended{
				Worker:  p.Worker,
				Status:  statuses[i],
				Culprit: p.Worker == s.culprit,
			}})
		}
	}
}

// end fences and stops one part. A part is known to be fenced without an
// answer when this instance is the only owner there was and never sent a start.
func (s *starter) end(ctx context.Context, j crankfold.Job, p crankfold.Part) (crank.PartStatus, bool) {
	if p.Over() {
		return crank.PartStatus{Attempt: s.id, State: p.State}, true
	}
	fenced := crank.PartStatus{Attempt: s.id, State: crank.PartFenced}
	_, sent := s.sent.Load(p.Worker)
	if !sent && j.Attempt.HadOneOwner() {
		once, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		defer cancel()
		_, _ = s.worker(p.Worker).Fence(once, s.command(p))
		return fenced, true
	}
	status, err := s.stopUntilEnded(ctx, p.Worker, s.command(p))
	if err != nil && crank.KindOf(err) == crank.KindNotFound {
		return crank.PartStatus{Attempt: s.id, State: crank.PartStopped, Detail: "the worker restarted"}, true
	}
	return status, err == nil
}

// untouched reports whether it is certain that no part was started.
func (s *starter) untouched(j crankfold.Job, statuses []crank.PartStatus, known []bool) bool {
	for i, p := range j.Attempt.Parts {
		if !known[i] || statuses[i].State != crank.PartFenced || p.Lost {
			return false
		}
	}
	return true
}

func message(err error) string {
	var e *crank.Error
	if errors.As(err, &e) {
		return e.Message()
	}
	return err.Error()
}
