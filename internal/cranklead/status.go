package cranklead

import "time"

// Term returns the newest term that was read.
func (e *Elector) Term() Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Workers returns the number of workers according to the newest heartbeat, 0 if there are
// few or its holder's version does not tell.
func (e *Elector) Workers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heartbeat.Workers
}

// StatedInstances returns the number of instances according to the newest heartbeat, 0 if it
// does not tell.
func (e *Elector) StatedInstances() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heartbeat.Instances
}

// Loaded reports whether the topic was read.
func (e *Elector) Loaded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// NewestHeartbeat returns the term of the newest heartbeat and its count in the term.
func (e *Elector) NewestHeartbeat() (term, count int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heartbeat.Term, e.heartbeat.Count
}

// Silent reports whether the newest term was released or its heartbeats are late.
func (e *Elector) Silent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Number <= e.releasedTerm || time.Since(e.holderSeen) > silentTime
}

// newestAt returns a time at which a term was the newest one, or the zero time if a later
// one was read.
func (e *Elector) newestAt(number int64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term.Number != number {
		return time.Time{}
	}
	return e.currentAt
}

// holdsTerm returns the newest term and whether this instance holds it.
func (e *Elector) holdsTerm() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Number, e.loaded && e.term.Holder == e.Incarnation && e.term.Number > e.releasedTerm && e.term.Number > e.resignedTerm
}
