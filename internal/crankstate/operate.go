package crankstate

import (
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

func (s State) setZone(p crank.Position, r crankrecord.Zone) (State, Verdict) {
	if !s.Config.HasZone(r.Zone) {
		return s, reject(p, crank.KindNotFound, "availability zone "+r.Zone+" is not declared")
	}
	z := s.Zone(r.Zone)
	if !r.Force && r.Base != z.Changed {
		return s, reject(p, crank.KindConflict, "availability zone "+r.Zone+" was changed by another operator")
	}
	s.zones = s.zones.Set(r.Zone, Zone{Name: r.Zone, Out: r.Out, Changed: p})
	return s, accept(p)
}

func (s State) publish(p crank.Position, b crankrecord.Batch, r crankrecord.Publish) (State, Verdict) {
	if r.Base != s.Config.Version {
		return s, reject(p, crank.KindConflict, "another configuration was published first")
	}
	s.Config = r.Config.WithVersion(r.Base + 1)
	s.History = append(slices.Clone(s.History), Publication{Version: s.Config.Version, At: b.At, By: b.Writer})
	if len(s.History) > historyLength {
		s.History = s.History[len(s.History)-historyLength:]
	}
	return s, accept(p)
}

func (s State) setTerm(p crank.Position, r crankrecord.Term) (State, Verdict) {
	if r.PreviousTerm != s.Term.Number {
		return s, reject(p, crank.KindConflict, "another instance holds the term")
	}
	if r.Release && r.Instance != s.Term.Instance {
		return s, reject(p, crank.KindConflict, "only its holder can release a term")
	}
	s.Term = Term{Number: p, Instance: r.Instance}
	if r.Release {
		s.Term.Instance = ""
	}
	return s, accept(p)
}

func (s State) heartbeat(p crank.Position, r crankrecord.Heartbeat) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	s.Term.Heartbeats++
	return s.prune(), accept(p)
}

// prune drops ended jobs whose validity is over, with their idempotency keys, and
// writers without a batch for WriterRetention. submit rejects a request of a
// dropped job as expired.
func (s State) prune() State {
	for i := s.ended.Iterator(); !i.Done(); {
		position, id, _ := i.Next()
		j, _ := s.jobs.Get(id)
		if !j.ValidUntil.Before(s.LogTime) {
			continue
		}
		s.ended = s.ended.Delete(position)
		s.jobs = s.jobs.Delete(id)
		s.keys = s.keys.Delete(compositeKey(j.Workspace, j.Key))
	}
	for i := s.writers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		if s.LogTime.Sub(w.At) > crank.WriterRetention {
			s.writers = s.writers.Delete(id)
		}
	}
	return s
}

func (s State) setWorkers(p crank.Position, r crankrecord.Workers) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	for _, instance := range r.Update {
		w, _ := s.workers.Get(instance.ID)
		w.Instance = instance
		w.Gone = false
		w.Lost = false
		s.workers = s.workers.Set(w.ID, w)
	}
	for _, id := range r.Remove {
		w, ok := s.workers.Get(id)
		if !ok {
			continue
		}
		w.Gone = true
		s.workers = s.workers.Set(id, w)
		s = s.deleteGoneWorker(id)
	}
	return s, accept(p)
}

func (s State) deleteGoneWorker(id string) State {
	w, ok := s.workers.Get(id)
	if ok && w.Gone && len(w.Attempts) == 0 {
		s.workers = s.workers.Delete(id)
	}
	return s
}

// reserveBackoff is how long a worker that made the start of an attempt fail,
// usually by refusing a reservation, gets no new work.
const reserveBackoff = 3 * time.Second

func (s State) backOffWorker(id string) State {
	w, ok := s.workers.Get(id)
	if until := s.LogTime.Add(reserveBackoff); ok && until.After(w.QuarantinedUntil) {
		w.QuarantinedUntil = until
		s.workers = s.workers.Set(id, w)
	}
	return s
}

// Quarantine of failing workers. Its time doubles with each further failure.
const (
	quarantineThreshold    = 3 // consecutive failures
	quarantineBase         = 30 * time.Second
	quarantineMaxDoublings = 6
)

// withSuccess resets the failure count and ends the quarantine or backoff.
func (w Worker) withSuccess() Worker {
	w.Failures = 0
	w.LastFailed = ""
	w.QuarantinedUntil = time.Time{}
	return w
}

// withFailure counts a failure against the worker. Consecutive failures of one job
// count once. A job that has failed in several attempts doesn't count, because it
// is probably at fault itself.
func (w Worker) withFailure(j Job, now time.Time) Worker {
	if w.LastFailed == j.Job || j.FailedAttempts >= 2 {
		return w
	}
	w.LastFailed = j.Job
	w.Failures++
	if w.Failures >= quarantineThreshold {
		w.QuarantinedUntil = now.Add(quarantineBase << min(w.Failures-quarantineThreshold, quarantineMaxDoublings))
	}
	return w
}
