package crank

import (
	"context"
	"time"
)

// Topic names a keyed topic of the platform's store.
type Topic string

// Topics that instances write.
const (
	JobTopic  Topic = "jobs"  // submissions, cancellations and progress of jobs
	TermTopic Topic = "terms" // terms of the planner and its signs of life
)

// Topics that others write.
const (
	OperatorTopic Topic = "operator" // configuration and orders of operators
	WorkerTopic   Topic = "workers"  // the workers' entries about themselves
)

// KeyedRecord is one record of a keyed topic. Without a value it removes the
// key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedBatch is the answer to a read of a keyed topic.
type KeyedBatch struct {
	Records []KeyedRecord
	First   Offset // oldest offset that is still kept
	End     Offset // offset that the next record gets
}

// AnyOffset as StoreAppend.At appends wherever the topic ends.
const AnyOffset Offset = -1

// StoreAppend is an append to a keyed topic: all of its records or none.
type StoreAppend struct {
	Topic   Topic
	Records []KeyedRecord // their offsets are ignored
	At      Offset        // appended only if the topic ends there, AnyOffset for anywhere

	// Producer, with a positive Epoch, makes the append exactly once: the same
	// Sequence repeated takes effect once, and a lower epoch is refused.
	Producer string
	Epoch    int64
	Sequence int64
}

// Store is the platform's durable store. It keeps the newest record of each
// key for good, and all records for a limited time.
//
// Errors of Append are of KindUnavailable when nothing was appended and never
// will be, of KindConflict when the topic ends elsewhere than At, of
// KindFenced when a higher epoch was seen, and otherwise of KindUnknown: the
// append may have taken effect or may do so later.
type Store interface {
	// Append returns the offset after the last record.
	Append(ctx context.Context, a StoreAppend) (Offset, error)
	// Read returns the records from an offset on. When there is none it waits
	// for one, at most wait. KindExpired means that the offset is gone.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key that is not removed. End is
	// an offset from which Read returns every later record.
	Newest(ctx context.Context, topic Topic) (KeyedBatch, error)
}

// SequenceError is the cause of an append that was refused because the
// producer's next sequence number is another one. Nothing was appended.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string { return "the producer's next sequence number is another one" }
