package crankfold

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
	if r.After != s.Term.Number {
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

func (s State) pulse(p crank.Position, r crankrecord.Pulse) (State, Verdict) {
	if reason := s.checkTerm(r.Term); reason != "" {
		return s, reject(p, crank.KindConflict, reason)
	}
	s.Term.Pulses++
	return s.prune(), accept(p)
}

// prune drops what is past its time: identities of requests, writers that are
// silent, burn buckets. Only a request whose validity ended before the horizon
// is forgotten, and the fold refuses any later sending of it.
func (s State) prune() State {
	for i := s.ended.Iterator(); !i.Done(); {
		position, id, _ := i.Next()
		j, _ := s.jobs.Get(id)
		if !j.ValidUntil.Before(s.Horizon) {
			continue
		}
		s.ended = s.ended.Delete(position)
		s.jobs = s.jobs.Delete(id)
		s.keys = s.keys.Delete(identity(j.Workspace, j.Key))
	}
	for i := s.writers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		if s.Horizon.Sub(w.At) > crank.WriterRetention {
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
		s = s.dropWorker(id)
	}
	return s, accept(p)
}

// dropWorker deletes a worker that is gone and holds no attempt.
func (s State) dropWorker(id string) State {
	w, ok := s.workers.Get(id)
	if ok && w.Gone && len(w.Attempts) == 0 {
		s.workers = s.workers.Delete(id)
	}
	return s
}

// avoidTime is how long a worker that could not be reserved is passed over.
const avoidTime = 3 * time.Second

// avoid passes over a worker for a moment.
func (s State) avoid(id string) State {
	w, ok := s.workers.Get(id)
	if until := s.Horizon.Add(avoidTime); ok && until.After(w.AsideUntil) {
		w.AsideUntil = until
		s.workers = s.workers.Set(id, w)
	}
	return s
}

// Failing workers are set aside for a time that doubles with each failure.
const (
	asideFailures = 3
	asideTime     = 30 * time.Second
	asideDoubling = 6
)

// noteSuccess and noteFailure keep the record of a worker. A job counts once
// in a row against the same worker, and not at all once it has failed in
// several attempts, since then the fault is likely its own.
func (w Worker) noteSuccess() Worker {
	w.Failures = 0
	w.LastFailed = ""
	w.AsideUntil = time.Time{}
	return w
}

func (w Worker) noteFailure(j Job, now time.Time) Worker {
	if w.LastFailed == j.Job || j.Failed >= 2 {
		return w
	}
	w.LastFailed = j.Job
	w.Failures++
	if w.Failures >= asideFailures {
		w.AsideUntil = now.Add(asideTime << min(w.Failures-asideFailures, asideDoubling))
	}
	return w
}
