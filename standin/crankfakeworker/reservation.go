package crankfakeworker

import (
	"context"
	"time"

	crank "cranberrycrank"
)

// Reserve implements crank.Worker.
func (w *Worker) Reserve(ctx context.Context, r crank.Reservation) error {
	return w.call(ctx, "worker reserve", func() error {
		if err := w.checkEpoch(r.Command); err != nil {
			return err
		}
		if w.leaving {
			return crank.Fail("worker reserve", crank.KindRefused, "the worker is leaving")
		}
		p, ok := w.parts[r.Attempt]
		if ok && (r.Token < p.token || r.Token <= p.fencedToken) {
			return staleTokenError("worker reserve")
		}
		if ok && p.status.State != crank.PartFenced {
			return w.repeatReserve(p, r)
		}
		if !w.free.Covers(r.Resources) {
			return crank.Fail("worker reserve", crank.KindUnavailable, "no room")
		}
		p = &part{status: crank.PartStatus{Attempt: r.Attempt, State: crank.PartReserved}, token: r.Token, tasks: r.Tasks, resources: r.Resources}
		w.parts[r.Attempt] = p
		w.free = w.free.Minus(r.Resources)
		w.startReservationTimer(p, r.Timeout)
		w.bumpRevision(p)
		w.observe(EventReserve, r.Attempt, p, nil)
		return nil
	})
}

// repeatReserve handles a repeated reservation. Only a newer token extends it.
func (w *Worker) repeatReserve(p *part, r crank.Reservation) error {
	newer := r.Token > p.token
	p.token = r.Token
	if newer && p.status.State == crank.PartReserved {
		p.stopTimers()
		w.startReservationTimer(p, r.Timeout)
	}
	switch p.status.State {
	case crank.PartReserved, crank.PartRunning, crank.PartDone:
		return nil
	}
	return crank.Fail("worker reserve", crank.KindRefused, "the part has ended as %s", p.status.State)
}

func (w *Worker) startReservationTimer(p *part, timeout time.Duration) {
	var timer *time.Timer
	timer = time.AfterFunc(timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if p.expiryTimer == timer && p.status.State == crank.PartReserved {
			w.endPart(p, crank.PartFenced, "the reservation lapsed")
		}
	})
	p.expiryTimer = timer
}
