package crankdispatch

import (
	"context"
	"errors"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
)

type stateView = crankcache.View

// abortTimeout bounds one pass that fences and stops all parts.
const abortTimeout = 2 * time.Second

// abort fences or stops every part of the attempt and records how each ended, or
// that the attempt is void. A part whose worker can't be reached is left to later
// passes, until the worker answers or is lost.
func (s *starter) abort(ctx context.Context, j crankstate.Job) {
	call, cancel := context.WithTimeout(ctx, abortTimeout)
	defer cancel()
	statuses := make([]crank.PartStatus, len(j.Attempt.Parts))
	known := make([]bool, len(j.Attempt.Parts))
	_, _ = s.forEachPart(j, func(p crankstate.Part) error {
		i := j.PartAt(p.Worker)
		statuses[i], known[i] = s.endPart(call, j, p)
		return nil
	})
	if s.neverStarted(j, statuses, known) {
		s.Logger.Info("dispatch: attempt is void", "job", s.id.Job, "attempt", s.id.Number, "reason", s.reason)
		s.propose(ctx, j, crankrecord.Record{Void: &crankrecord.Void{Attempt: s.id, Token: s.token, Reason: s.reason, Worker: s.causedBy}})
		return
	}
	for i, p := range j.Attempt.Parts {
		if known[i] && !p.EndedOrLost() {
			s.propose(ctx, j, crankrecord.Record{Ended: &crankrecord.Ended{
				Worker:             p.Worker,
				Status:             statuses[i],
				CausedStartFailure: p.Worker == s.causedBy,
			}})
		}
	}
}

// endPart fences or stops one part and reports whether its final state is known.
// If the attempt was never reassigned and no start was sent to the worker, the
// part counts as fenced even without an answer.
func (s *starter) endPart(ctx context.Context, j crankstate.Job, p crankstate.Part) (crank.PartStatus, bool) {
	if p.EndedOrLost() {
		return crank.PartStatus{Attempt: s.id, State: p.State}, true
	}
	fenced := crank.PartStatus{Attempt: s.id, State: crank.PartFenced}
	_, sent := s.sent.Load(p.Worker)
	if !sent && j.Attempt.HadOneOwner() {
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		defer cancel()
		_, _ = s.workerClient(p.Worker).Fence(call, s.command(p))
		return fenced, true
	}
	status, err := s.stopUntilEnded(ctx, p.Worker, s.command(p))
	if err != nil && crank.KindOf(err) == crank.KindNotFound {
		return crank.PartStatus{Attempt: s.id, State: crank.PartStopped, Detail: "the worker restarted"}, true
	}
	return status, err == nil
}

// neverStarted reports whether every part is known to be fenced.
func (s *starter) neverStarted(j crankstate.Job, statuses []crank.PartStatus, known []bool) bool {
	for i, p := range j.Attempt.Parts {
		if !known[i] || statuses[i].State != crank.PartFenced || p.Lost {
			return false
		}
	}
	return true
}

// errorMessage returns the message of an Error without its operation.
func errorMessage(err error) string {
	var e *crank.Error
	if errors.As(err, &e) {
		return e.Message()
	}
	return err.Error()
}
