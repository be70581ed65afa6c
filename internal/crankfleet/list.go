// Package crankfleet follows the leased workers: which there are, and, for the
// holder of the planner's term, what runs and what ended at each.
package crankfleet

import (
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Decoder reads a record of the workers' topic.
type Decoder func(crank.KeyedRecord) (crank.WorkerEntry, error)

// ListPeriod is the time between two reads of the list. An entry that says
// that its worker leaves must be seen within two seconds.
const ListPeriod = 400 * time.Millisecond

// List holds the workers' entries. It implements crankfeed.Sink.
type List struct {
	decode  Decoder
	logger  *slog.Logger
	mu      sync.Mutex
	entries map[string]crank.WorkerEntry // by identity
	fresh   time.Time
	version int64 // grows with every change that matters to a planner
}

// NewList returns an empty list.
func NewList(decode Decoder, logger *slog.Logger) *List {
	return &List{decode: decode, logger: logger, entries: make(map[string]crank.WorkerEntry)}
}

// Life names one life of a worker.
func Life(e crank.WorkerEntry) string { return e.ID + "/" + strconv.FormatInt(e.Born, 10) }

// Reset implements crankfeed.Sink.
func (l *List) Reset(records []crank.KeyedRecord) {
	l.mu.Lock()
	l.entries = make(map[string]crank.WorkerEntry)
	l.version++
	l.mu.Unlock()
	l.Apply(records)
}

// Apply implements crankfeed.Sink.
func (l *List) Apply(records []crank.KeyedRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if len(r.Value) == 0 {
			l.remove(r)
			continue
		}
		e, err := l.decode(r)
		if err != nil {
			l.logger.Warn("list: entry names no worker", "key", r.Key, "offset", r.Offset, "error", err)
			l.remove(r)
			continue
		}
		l.put(e, r)
	}
}

func (l *List) remove(r crank.KeyedRecord) {
	if _, ok := l.entries[r.Key]; ok {
		l.logger.Info("list: worker gone", "worker", r.Key, "offset", r.Offset)
		delete(l.entries, r.Key)
		l.version++
	}
}

func (l *List) put(e crank.WorkerEntry, r crank.KeyedRecord) {
	old, known := l.entries[e.ID]
	if !known || old.Born != e.Born || old.Addr != e.Addr || old.Draining != e.Draining || old.Capacity != e.Capacity {
		l.version++
		l.logger.Info("list: worker seen", "worker", e.ID, "born", e.Born, "addr", e.Addr, "zone", e.Zone, "draining", e.Draining, "offset", r.Offset)
	}
	l.entries[e.ID] = e
}

// Reached implements crankfeed.Sink.
func (l *List) Reached(at time.Time, _ crank.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fresh = at
}

// Version returns a number that grows with the list, and whether the list was
// ever read.
func (l *List) Version() (version int64, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, !l.fresh.IsZero()
}

// Entries returns the listed workers by identity.
func (l *List) Entries() map[string]crank.WorkerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.entries)
}
