package crank

import (
	"context"
	"time"
)

// Offset is the place of an entry in a stream of the platform's log.
type Offset int64

// Stream names a stream of the platform's log.
type Stream string

// Streams that the project uses.
const (
	EventStream    Stream = "events"    // every decision, in the order that all instances apply
	SnapshotStream Stream = "snapshots" // the state of the event stream, in chunks
)

// Entry is one appended value.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Entries []Entry `json:"entries"`
	First   Offset  `json:"first"` // oldest offset that is still kept
	End     Offset  `json:"end"`   // offset that the next append gets
}

// Log is the platform's append-only log.
//
// The project assumes that all readers see the same entries at the same
// offsets, that an appended entry is visible to every read that begins after
// the append was answered, and that a read's End is the end of the stream at a
// moment between the start and the end of the call.
type Log interface {
	// Append adds data as one entry. An error of KindUnavailable means that
	// nothing was appended, any other error that it may have been.
	Append(ctx context.Context, stream Stream, data []byte) (Offset, error)
	// Read returns the entries from an offset on, at most limit of them. When
	// there is none it waits for one, at most wait. KindExpired means that
	// the offset is no longer kept; the batch then still has First and End.
	Read(ctx context.Context, stream Stream, from Offset, limit int, wait time.Duration) (Batch, error)
}
