package cranksched

import (
	"time"

	"cranberrycrank/internal/crankevidence"
	"cranberrycrank/internal/crankfleet"
)

// judge tells whether runs may be at work at an incarnation.
func (s *Scheduler) judge(w *worker, now time.Time) crankevidence.Verdict {
	lease := s.leaseOf(w)
	known := crankevidence.Incarnation{
		StartTimeMs: w.entry.StartTimeMs, Answers: w.failedRenewals == 0, Silent: w.failedRenewals >= crankfleet.SilentRenewals, Readable: !w.unreadable,
		LaterMs: w.laterMs, ListedMs: w.listedMs,
		Departed: s.list.HasLeft(w.entry.ID, w.entry.StartTimeMs), Lease: lease,
	}
	return known.Judge(now, s.Leadership.ConfirmedAfter(lease.End()))
}

// mayEnd reports whether an incarnation that is over may be ended now. Other instances may
// have seen ends that the last answer to this one did not bring, and need witnessTime to
// store them.
func (w *worker) mayEnd(v crankevidence.Verdict, now time.Time) bool {
	return v.Over() && (v.Evidence() != crankevidence.Departed || len(w.placements) == 0 || now.Sub(w.silentSince) >= witnessTime)
}

// judgeInherited is judge for an incarnation of the inherited roster that is not accounted
// for. The leases of earlier terms there are over by a time.
func (s *Scheduler) judgeInherited(incarnation string, until, now time.Time) crankevidence.Verdict {
	id, started, _ := crankfleet.ParseIncarnation(incarnation)
	if w := s.workers[id]; w != nil && w.incarnation == incarnation {
		return s.judge(w, now)
	}
	return crankevidence.Incarnation{StartTimeMs: started, Lease: crankevidence.Lease{Former: until}}.Judge(now, s.Leadership.ConfirmedAfter(until))
}

// leaseOf returns what is known of the leases of an incarnation. By the time of its first
// answer in this term, earlier terms grant none any more.
func (s *Scheduler) leaseOf(w *worker) crankevidence.Lease {
	if w.answered {
		return crankevidence.Lease{Granted: w.keeper.LeaseExpiry()}
	}
	return crankevidence.Lease{Former: s.unaccounted[w.incarnation]}
}

// known returns what is known of a run.
func (p *placement) known() crankevidence.Run {
	return crankevidence.Run{Task: p.id, Number: p.run, Sent: p.state != statePlanned, ConclusiveAfter: p.conclusiveAfter, AnsweredAt: p.answeredAt}
}

// endIncarnation releases all runs of an incarnation that is over.
func (s *Scheduler) endIncarnation(w *worker, v crankevidence.Verdict) {
	w.stop()
	w.ended = true
	s.Logger.Info("sched: worker incarnation ended", "worker", w.entry.ID, "born", w.entry.StartTimeMs, "reason", v.Evidence(), "lost", len(w.placements),
		"listed", w.unlistedSince.IsZero(), "draining", w.entry.Draining, "answered", w.answered, "failed-holds", w.failedRenewals, "lease-left", v.LeaseLeft().Round(time.Millisecond))
	s.markOver(w.incarnation, v)
	s.accountForFormer(w)
	for _, p := range w.placements {
		s.loseRun(p, "worker incarnation ended", v)
	}
	delete(s.acks, w)
	if s.Planning.Adaptive {
		delete(s.health, w.incarnation) // of every worker there; else only of those that failed
	}
	s.changed = true
}

// accountFor handles the first complete report of an incarnation. The worker refuses the
// orders of earlier terms by now, and the report shows what their orders started.
func (s *Scheduler) accountFor(w *worker) {
	s.markAccounted(w.incarnation)
	s.accountForFormer(w)
}

// accountForFormer accounts for the incarnations of a worker before one that has answered, or
// that is listed while nobody answers. No order for them takes effect at that one.
func (s *Scheduler) accountForFormer(w *worker) {
	for _, former := range s.roster.formerOf(w) {
		_, started, _ := crankfleet.ParseIncarnation(former)
		known := crankevidence.Incarnation{StartTimeMs: started, Silent: !w.contradicted}.WithListed(w.entry.StartTimeMs)
		if w.answered {
			known = known.WithOther(w.entry.StartTimeMs)
		}
		if v := known.Judge(time.Now(), false); v.Over() {
			s.markOver(former, v)
		}
	}
}

// markOver takes an incarnation that is over out of the roster.
func (s *Scheduler) markOver(incarnation string, v crankevidence.Verdict) {
	if !v.Over() {
		s.Logger.Error("sched: incarnation kept, nothing shows its end", "incarnation", incarnation)
		return
	}
	s.markAccounted(incarnation)
	s.roster.remove(incarnation)
}

// markAccounted records that the runs of an inherited incarnation are known, or can
// no longer exist.
func (s *Scheduler) markAccounted(incarnation string) {
	if _, ok := s.unaccounted[incarnation]; !ok {
		return
	}
	delete(s.unaccounted, incarnation)
	if len(s.unaccounted) == 0 {
		s.Logger.Info("sched: all workers accounted for", "term", s.Term)
		s.withdrawBegun()
	}
	s.changed = true
}

// checkTimeouts releases runs whose worker's lease has expired without an answer,
// stops waiting for unaccounted workers whose lease has expired, and repeats stop
// orders without effect.
func (s *Scheduler) checkTimeouts(now time.Time) {
	for incarnation, until := range s.unaccounted {
		v := s.judgeInherited(incarnation, until, now)
		if v.Evidence() != crankevidence.LeaseOver {
			continue
		}
		s.Logger.Warn("sched: worker not accounted for, its lease has expired", "incarnation", incarnation)
		if id, _, _ := crankfleet.ParseIncarnation(incarnation); s.workers[id] == nil {
			s.markOver(incarnation, v)
		} else {
			s.markAccounted(incarnation)
		}
	}
	s.recordDelayed(now)
	s.moveFromLeaving(now)
	for _, w := range s.workers {
		if w.ended {
			continue
		}
		if v := s.judge(w, now); len(w.placements) > 0 && v.Evidence() == crankevidence.LeaseOver {
			s.Scope.Counter("leases_lapsed").Inc(1)
			s.Logger.Warn("sched: lease expired without an answer", "worker", w.entry.ID, "born", w.entry.StartTimeMs, "lost", len(w.placements))
			for _, p := range w.placements {
				s.loseRun(p, "lease expired", v)
			}
		}
		for _, p := range w.placements {
			if p.state == stateStopping && now.After(p.stopRetryAt) {
				s.sendStop(p)
			}
			if p.state == statePlanned && s.writeOverdue(now) {
				s.release(p, "the store has not answered", p.known().JudgePlanned())
			}
		}
	}
}

// release frees the capacity of a run that no longer exists. Its task waits again
// unless it is done. The other members of a gang that is planned are released with it.
func (s *Scheduler) release(p *placement, why string, v crankevidence.Verdict) {
	w, now := p.worker, time.Now()
	if !v.Over() {
		s.Logger.Error("sched: run kept, nothing shows its end", "task", p.id, "run", p.run, "worker", w.entry.ID, "why", why)
		return
	}
	delete(w.placements, p.id)
	s.changed = true
	if p.task == nil || p.task.placement != p {
		return
	}
	p.task.placement = nil
	if p.state != statePlanned {
		p.task.waitingSince = now
	}
	p.task.job.placed--
	if why != "" {
		s.Logger.Info("sched: run released", "task", p.id, "run", p.run, "worker", w.entry.ID, "born", w.entry.StartTimeMs, "state", p.state, "why", why,
			"evidence", v.Evidence(), "failed-holds", w.failedRenewals, "listed", w.unlistedSince.IsZero(), "lease-left", v.WithLease(s.leaseOf(w).Left(now)).LeaseLeft().Round(time.Millisecond))
	}
	if p.state == statePlanned {
		s.abandonGang(p, why)
	}
}
