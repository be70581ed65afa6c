package cranklead

import (
	"encoding/json"
	"time"

	crank "cranberrycrank"
)

// Reset implements crankfeed.Sink.
func (e *Elector) Reset(records []crank.KeyedRecord) { e.Apply(records) }

// Apply implements crankfeed.Sink.
func (e *Elector) Apply(records []crank.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range records {
		switch r.Key {
		case termKey:
			e.applyTerm(r)
		case heartbeatKey:
			e.applyHeartbeat(r)
		case releaseKey:
			e.applyRelease(r)
		}
	}
}

func (e *Elector) applyTerm(r crank.KeyedRecord) {
	var t Term
	if err := json.Unmarshal(r.Value, &t); err != nil {
		e.Logger.Warn("lead: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if t.Number < e.term.Number {
		return
	}
	e.Logger.Info("lead: term claim read", "term", t.Number, "holder", t.Holder, "offset", r.Offset, "former", e.term.Number)
	if t.Number > e.term.Number {
		e.overlap = e.overlapAfter(e.term)
	}
	e.term, e.holderSeen = t, time.Now()
	e.notify()
}

func (e *Elector) applyRelease(r crank.KeyedRecord) {
	var rel releaseRecord
	if err := json.Unmarshal(r.Value, &rel); err != nil {
		e.Logger.Warn("lead: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	e.Logger.Info("lead: term release read", "term", rel.Term, "offset", r.Offset, "newest", e.term.Number)
	e.releasedTerm = max(e.releasedTerm, rel.Term)
	if rel.Yielded {
		e.yieldedAt = time.Now()
	}
	e.notify()
}

func (e *Elector) applyHeartbeat(r crank.KeyedRecord) {
	var h heartbeatRecord
	if err := json.Unmarshal(r.Value, &h); err != nil {
		e.Logger.Warn("lead: undecodable record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if h.Term < e.heartbeat.Term || (h.Term == e.heartbeat.Term && h.Count <= e.heartbeat.Count) {
		return // stored late or twice
	}
	e.heartbeat = h
	if h.Term == e.term.Number {
		e.holderSeen = time.Now()
	}
}

// CaughtUp implements crankfeed.Sink. HeartbeatTimeout starts anew if the topic
// could not be read, since the holder could not append heartbeats then either.
func (e *Elector) CaughtUp(at time.Time, end crank.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.loaded || at.Sub(e.lastRead) > maxReadGap {
		e.holderSeen = now
	}
	e.loaded, e.lastRead, e.currentAt, e.topicEnd, e.storeReached = true, now, at, end, e.Uptime()
	e.notify()
}
