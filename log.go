package crank

import (
	"context"
	"time"
)

// Offset is the position of an entry in a stream or of a record in a topic.
type Offset int64

// Stream names a stream of the platform's log.
type Stream string

// Streams of the log.
const (
	EventStream    Stream = "events"    // all decisions, applied by every instance in log order
	SnapshotStream Stream = "snapshots" // of the state after the events, in chunks
)

// LogEntry is an entry of a log stream.
type LogEntry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// LogBatch is the result of a read.
type LogBatch struct {
	Entries []LogEntry `json:"entries"`
	First   Offset     `json:"first"` // oldest offset that is still retained
	End     Offset     `json:"end"`   // offset of the next append
}

// Log is the platform's append-only log.
//
// The project assumes that all readers see the same entries at the same offsets,
// that an entry is visible to every read that begins after its append returned,
// and that a read's End was the end of the stream at some moment during the call.
type Log interface {
	// Append appends data as one entry. KindUnavailable means that nothing was
	// appended; after any other error the entry may exist.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns at most limit entries from an offset on. If there are none,
	// it waits up to wait for one. KindExpired means that the offset is no
	// longer retained; First and End are set nevertheless.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (LogBatch, error)
}
