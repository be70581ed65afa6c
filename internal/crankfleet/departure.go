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

// noteLeft notes whether a worker whose entry is removed has left: it was draining, and
// its last heartbeat is too recent for the entry to have expired. The caller holds the
// lock.
func (l *List) noteLeft(e crank.WorkerEntry, written, removed crank.Offset) {
	if e.Draining && l.Timeline.StoredWithin(written, removed, missedHeartbeats*l.Heartbeat-heartbeatMargin) {
		l.left[e.ID] = max(l.left[e.ID], e.StartTimeMs)
		l.Logger.Info("list: worker has left", "worker", e.ID, "born", e.StartTimeMs, "written", written, "removed", removed)
	}
}

// HasLeft reports whether an incarnation, or a later one of the same worker, has shut down
// in order.
func (l *List) HasLeft(id string, startTimeMs int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, ok := l.left[id]
	return ok && startTimeMs <= newest
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
		if len(r.Value) > 0 || !written || len(last.Value) == 0 {
			continue
		}
		if e, err := l.Decode(last); err == nil {
			l.noteLeft(e, last.Offset, r.Offset)
		}
	}
}
