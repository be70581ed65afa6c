// Package crankfleet tracks the leased workers. List is an in-memory replica of
// the worker topic. At the holder of the planner's term, a LeaseKeeper for each
// worker renews the lease and reports the running and ended runs.
package crankfleet

import (
	"log/slog"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Decoder decodes a record of the worker topic.
type Decoder func(crank.KeyedRecord) (crank.WorkerEntry, error)

// ListPeriod is the time between reads of the worker topic. A draining worker
// must be noticed within two seconds.
const ListPeriod = 400 * time.Millisecond

// ListConfig holds the settings and dependencies of a List.
type ListConfig struct {
	Decode    Decoder
	Heartbeat time.Duration // between two writes of a worker's entry, 0 if it is not known
	Timeline  *Timeline     // of the worker topic; may be nil
	Logger    *slog.Logger
}

// List holds the entries of the worker topic. It implements crankfeed.Sink.
type List struct {
	ListConfig
	mu      sync.Mutex
	entries map[string]crank.WorkerEntry // by worker ID
	started map[string]int64             // start time of the last listed incarnation by key, until the key is removed
	earlier map[string]int64             // start time of an ignored entry by key, until another entry is listed
	asOf    time.Time                    // all entries published by then are listed; zero before the first load
	version int64                        // see Version

	offsets map[string]crank.Offset // of the newest entry by worker ID
	left    map[string]departure    // the newest one by worker ID
}

// NewList returns an empty list.
func NewList(c ListConfig) *List {
	return &List{
		ListConfig: c, entries: make(map[string]crank.WorkerEntry), started: make(map[string]int64), earlier: make(map[string]int64),
		offsets: make(map[string]crank.Offset), left: make(map[string]departure),
	}
}

// Incarnation names a worker's incarnation by its ID and start time.
func Incarnation(e crank.WorkerEntry) string {
	return e.ID + "/" + strconv.FormatInt(e.StartTimeMs, 10)
}

// ParseIncarnation returns the worker's ID and start time in a name that Incarnation
// returned.
func ParseIncarnation(name string) (id string, startTimeMs int64, ok bool) {
	i := strings.LastIndex(name, "/")
	if i < 0 {
		return "", 0, false
	}
	startTimeMs, err := strconv.ParseInt(name[i+1:], 10, 64)
	return name[:i], startTimeMs, err == nil
}

// Reset implements crankfeed.Sink.
func (l *List) Reset(records []crank.KeyedRecord) {
	l.mu.Lock()
	l.entries = make(map[string]crank.WorkerEntry)
	clear(l.offsets)
	started := make(map[string]int64)
	for _, r := range records {
		if at, ok := l.started[r.Key]; ok {
			started[r.Key] = at
		}
	}
	l.started, l.earlier = started, make(map[string]int64)
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
			if e, ok := l.entries[r.Key]; ok {
				l.noteLeft(e, l.offsets[r.Key], r.Offset)
			}
			l.remove(r)
			delete(l.started, r.Key)
			delete(l.earlier, r.Key)
			continue
		}
		e, err := l.Decode(r)
		if err != nil {
			l.Logger.Warn("list: invalid worker entry", "key", r.Key, "offset", r.Offset, "error", err)
			l.remove(r)
			continue
		}
		l.put(e, r)
	}
}

func (l *List) remove(r crank.KeyedRecord) {
	if _, ok := l.entries[r.Key]; ok {
		l.Logger.Info("list: worker removed", "worker", r.Key, "offset", r.Offset)
		delete(l.entries, r.Key)
		l.version++
	}
}

func (l *List) put(e crank.WorkerEntry, r crank.KeyedRecord) {
	started := l.started[r.Key]
	switch {
	case e.StartTimeMs == 0 && started != 0:
		l.Logger.Warn("list: worker entry without a start time", "key", r.Key, "offset", r.Offset)
		l.remove(r)
		return
	case e.StartTimeMs < started && e.StartTimeMs != l.earlier[r.Key]:
		// It may have been stored late. A second one in a row shows that this
		// incarnation is the one that writes.
		l.earlier[r.Key] = e.StartTimeMs
		l.Logger.Info("list: entry of an earlier incarnation ignored", "worker", e.ID, "born", e.StartTimeMs, "listed", started, "offset", r.Offset)
		return
	}
	delete(l.earlier, r.Key)
	l.noteListed(e, r.Offset)
	l.started[r.Key] = e.StartTimeMs
	old, known := l.entries[e.ID]
	if !known || old.StartTimeMs != e.StartTimeMs || old.Addr != e.Addr || old.Draining != e.Draining || old.Capacity != e.Capacity {
		l.version++
		l.Logger.Info("list: worker added or changed", "worker", e.ID, "born", e.StartTimeMs, "addr", e.Addr, "zone", e.Zone, "draining", e.Draining, "offset", r.Offset)
	}
	l.entries[e.ID], l.offsets[e.ID] = e, r.Offset
}

// CaughtUp implements crankfeed.Sink.
func (l *List) CaughtUp(at time.Time, _ crank.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asOf = at
}

// Version returns a number that increases with every change that affects
// planning, and whether the topic was read.
func (l *List) Version() (version int64, read bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, !l.asOf.IsZero()
}

// Entries returns a copy of the entries by worker ID.
func (l *List) Entries() map[string]crank.WorkerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.entries)
}
