package crank

import (
	"context"
	"time"
)

// Topic names a topic of the platform's store. Topics are compacted by key.
type Topic string

// Topics written by entry instances.
const (
	JobTopic  Topic = "jobs"  // submissions, cancellations and progress of jobs
	TermTopic Topic = "terms" // the planner's terms and their heartbeats
)

// Topics written by operators and workers.
const (
	OperatorTopic Topic = "operator" // configuration and commands of operators
	WorkerTopic   Topic = "workers"  // a WorkerEntry of each worker
)

// KeyedRecord is a record of a topic. An empty value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Encoding of a record in the store.
const (
	MaxRecordKeyBytes = 255 // the length of a key is stored in one byte
	recordHeaderBytes = 5   // lengths of the record and of its key
)

// EncodedBytes returns the size of the record in an append.
func (r KeyedRecord) EncodedBytes() int { return recordHeaderBytes + len(r.Key) + len(r.Value) }

// StoreLimits are the store's limits on the size of an append. Zero means no limit.
type StoreLimits struct {
	RecordBytes int // of one encoded record
	CallBytes   int // of all records of one append
}

// Check returns an error of KindTooLarge that names the limit if the records cannot be
// stored in one append.
func (l StoreLimits) Check(records ...KeyedRecord) error {
	const op = "store limits"
	total := 0
	for _, r := range records {
		n := r.EncodedBytes()
		switch total += n; {
		case len(r.Key) > MaxRecordKeyBytes:
			return Fail(op, KindTooLarge, "the key %.40q... has %d bytes, the limit is %d", r.Key, len(r.Key), MaxRecordKeyBytes)
		case l.RecordBytes > 0 && n > l.RecordBytes:
			return Fail(op, KindTooLarge, "the record %q has %d bytes, the store's limit for a record is %d", r.Key, n, l.RecordBytes)
		}
	}
	if l.CallBytes > 0 && total > l.CallBytes {
		return Fail(op, KindTooLarge, "%d records have %d bytes, the store's limit for an append is %d", len(records), total, l.CallBytes)
	}
	return nil
}

// KeyedBatch is the result of reading a topic.
type KeyedBatch struct {
	Records []KeyedRecord
	First   Offset // oldest offset that is still retained
	End     Offset // offset of the next record
}

// OffsetRange is a range of consecutive records.
type OffsetRange struct {
	First Offset
	End   Offset // offset after the last record
}

// AnyOffset as StoreAppend.ExpectedEnd makes the append unconditional.
const AnyOffset Offset = -1

// StoreAppend is an atomic append of records to a topic.
type StoreAppend struct {
	Topic       Topic
	Records     []KeyedRecord // offsets are ignored
	ExpectedEnd Offset        // append only if the topic ends here

	// Producer, with a positive Epoch, makes the append idempotent: repeating a
	// Sequence has no further effect, and a lower epoch is rejected.
	Producer string
	Epoch    int64
	Sequence int64
}

// Store is the platform's durable store. It retains the newest record of each
// key for good and all records for a limited time.
//
// Append fails with KindUnavailable if nothing was appended and never will be,
// KindTooLarge or KindInvalid if the store refuses the append for good, whatever
// state it is in: no copy of the append ever takes effect. It fails with
// KindConflict if the topic does not end at ExpectedEnd, KindFenced if the store
// has seen a higher epoch, and otherwise KindUnknown: the append may have taken
// effect or may still do so.
type Store interface {
	// Append returns the offset after the last record.
	Append(ctx context.Context, a StoreAppend) (Offset, error)
	// Read returns the records from an offset on. If there are none, it waits
	// up to wait for one. KindExpired means that the offset is no longer
	// retained.
	Read(ctx context.Context, topic Topic, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key that is not deleted. A Read
	// from End misses no later record.
	Newest(ctx context.Context, topic Topic) (KeyedBatch, error)
}

// TopicEnds tells where topics of the platform's store end.
type TopicEnds interface {
	// End returns the offset of the next record of a topic. From is any offset up to
	// there; the store does least work for a late one.
	End(ctx context.Context, topic Topic, from Offset) (Offset, error)
}

// SequenceError is the cause of a rejected append if the store expects another
// sequence number from the producer. Nothing was appended.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string { return "the producer's next sequence number is another one" }
