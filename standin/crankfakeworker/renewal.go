package crankfakeworker

import (
	"context"
	"time"

	crank "cranberrycrank"
)

// Renew implements crank.Worker.
func (w *Worker) Renew(ctx context.Context, r crank.Renewal) (report crank.Report, err error) {
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	first := true
	for {
		var changed <-chan struct{}
		err = w.call(ctx, "worker renew", func() error {
			if err := w.checkID(r.Worker); err != nil {
				return err
			}
			if first {
				w.extendLeases(r)
			}
			report = w.report(r)
			changed = w.changed
			return nil
		})
		first = false
		if err != nil || len(report.Parts) > 0 || report.Epoch != r.Epoch || report.Revision != r.Since {
			return report, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return report, nil
		case <-ctx.Done():
			return report, crank.Wrap("worker renew", crank.KindUnknown, ctx.Err())
		}
	}
}

func (w *Worker) extendLeases(r crank.Renewal) {
	for _, id := range r.Attempts {
		if p, ok := w.parts[id]; ok && p.status.State == crank.PartRunning {
			w.startLeaseTimer(p, r.Lease)
		}
	}
}

func (w *Worker) report(r crank.Renewal) crank.Report {
	since := r.Since
	if r.Epoch != w.config.Epoch {
		since = 0
	}
	report := crank.Report{Epoch: w.config.Epoch, Revision: w.revision, Leaving: w.leaving}
	for _, p := range w.parts {
		if p.revision > since {
			report.Parts = append(report.Parts, p.status)
		}
	}
	return report
}

// Answer implements crank.Worker.
func (w *Worker) Answer(ctx context.Context, r crank.AnswerRequest) (answer []byte, err error) {
	err = w.call(ctx, "worker answer", func() error {
		if err := w.checkID(r.Worker); err != nil {
			return err
		}
		p, ok := w.parts[r.AttemptID]
		if !ok || p.status.State != crank.PartDone {
			return crank.Fail("worker answer", crank.KindNotFound, "no answer of this attempt is kept")
		}
		answer = p.answer
		if w.faults.TruncateAnswers {
			answer = answer[:len(answer)/2]
		}
		return nil
	})
	return answer, err
}

// Forget implements crank.Worker.
func (w *Worker) Forget(ctx context.Context, attempts []crank.AttemptID) error {
	return w.call(ctx, "worker forget", func() error {
		for _, id := range attempts {
			if p, ok := w.parts[id]; ok && p.status.State.Ended() {
				delete(w.parts, id)
			}
		}
		return nil
	})
}
