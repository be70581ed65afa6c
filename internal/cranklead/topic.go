package cranklead

import (
	"encoding/json"
	"maps"
	"strings"
	"time"

	crank "cranberrycrank"
)

// Reset implements crankfeed.Sink. The newest records of the keys don't show which was
// stored first, so none of them is a contact of this holder.
func (e *Elector) Reset(records []crank.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	contact, grace := e.contact, e.grace
	e.loading = true
	others := e.leases().Others
	isHeartbeat := func(r crank.KeyedRecord) bool { return r.Key == heartbeatKey || strings.HasPrefix(r.Key, slotPrefix) }
	for _, heartbeats := range []bool{true, false} { // a claim is judged by the heartbeats beside it
		for _, r := range records {
			if isHeartbeat(r) == heartbeats {
				e.apply(r)
			}
		}
	}
	e.former = e.former.WithOther(others)
	e.loading, e.contact, e.grace = false, contact, grace
}

// Apply implements crankfeed.Sink.
func (e *Elector) Apply(records []crank.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range records {
		e.apply(r)
	}
}

func (e *Elector) apply(r crank.KeyedRecord) {
	switch {
	case r.Key == termKey:
		e.applyTerm(r)
	case r.Key == heartbeatKey || strings.HasPrefix(r.Key, slotPrefix):
		e.applyHeartbeat(r)
	case r.Key == releaseKey:
		e.applyRelease(r)
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
	now := time.Now()
	if t.Number > e.term.Number {
		if e.loading {
			e.former = e.loadedLeases(t, now)
		} else {
			e.former = e.leases()
		}
		clear(e.sentAt)
		if t.Holder == e.Incarnation {
			e.contact, e.grace = e.claimSent, claimGrace
		}
	}
	e.term, e.holderSeen, e.recordSeen = t, now, now
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
	if r.Key == heartbeatKey && h.LeaseBound > 0 {
		return // its slot holds all of it
	}
	if h.Term < e.heartbeat.Term || (h.Term == e.heartbeat.Term && h.Count <= e.heartbeat.Count) {
		return // stored late or twice
	}
	e.heartbeat = h
	if h.Term != e.term.Number {
		return
	}
	now := time.Now()
	e.holderSeen, e.recordSeen = now, now
	if sent, ok := e.sentAt[h.Count]; ok && e.term.Holder == e.Incarnation {
		e.contact, e.grace = max(e.contact, sent), GracePeriod
		maps.DeleteFunc(e.sentAt, func(count int64, _ time.Duration) bool { return count <= h.Count })
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
	e.loaded, e.lastRead, e.currentAt, e.topicEnd = true, now, at, end
	e.notify()
}
