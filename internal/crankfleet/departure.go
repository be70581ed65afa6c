package crankfleet

import (
	"time"

	crank "cranberrycrank"
)

// The platform removes the entry of a worker that has left at once, and that of a silent
// one after missedHeartbeats.
const (
	missedHeartbeats = 3
	heartbeatMargin  = 500 * time.Millisecond // of the platform's clock and the worker's writes
)

// departure is the removal of the entry of a worker that has left.
type departure struct {
	startTimeMs int64 // of the incarnation
	removed     crank.Offset
}

// noteLeft notes whether a worker whose entry is removed has left: it was draining, and
// its last heartbeat is too recent for the entry to have expired. The caller holds the
// lock.
func (l *List) noteLeft(e crank.WorkerEntry, written, removed crank.Offset) {
	if removed > l.left[e.ID].removed && e.Draining && l.Timeline.StoredWithin(written, removed, missedHeartbeats*l.Heartbeat-heartbeatMargin) {
		l.left[e.ID] = departure{e.StartTimeMs, removed}
		l.Logger.Info("list: worker has left", "worker", e.ID, "born", e.StartTimeMs, "written", written, "removed", removed)
	}
}

// noteListed forgets the departure of a worker that is listed again with no later start time,
// which shows that its time of day was set back. The caller holds the lock.
func (l *List) noteListed(e crank.WorkerEntry, written crank.Offset) {
	if d, ok := l.left[e.ID]; ok && written > d.removed && e.StartTimeMs <= d.startTimeMs {
		delete(l.left, e.ID)
	}
}

// HasLeft reports whether an incarnation, or a later one of the same worker, has shut down
// in order.
func (l *List) HasLeft(id string, startTimeMs int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, ok := l.left[id]
	return ok && startTimeMs <= newest.startTimeMs
}

// ReadHistory notes which workers have left according to consecutive records of the
// topic, which may be older than those that the list holds.
func (l *List) ReadHistory(records []crank.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make(map[string]crank.KeyedRecord)
	for _, r := range records {
		last, written := newest[r.Key]
		newest[r.Key] = r
		switch {
		case len(r.Value) > 0:
			if e, err := l.Decode(r); err == nil {
				l.noteListed(e, r.Offset)
			}
		case written && len(last.Value) > 0:
			if e, err := l.Decode(last); err == nil {
				l.noteLeft(e, last.Offset, r.Offset)
			}
		}
	}
}
