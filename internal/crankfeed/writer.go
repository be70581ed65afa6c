package crankfeed

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"time"

	crank "cranberrycrank"
)

// WriterConfig holds the settings and dependencies of a Writer.
type WriterConfig struct {
	Store    crank.Store
	Topic    crank.Topic
	Logger   *slog.Logger
	Producer string // unique among the writers of an epoch
	Epoch    int64
	// MaxQueueTime is how long a request may wait for the batch before it; 0 means
	// defaultQueueTime.
	MaxQueueTime time.Duration
}

// Writer appends records in batches, one batch at a time. A batch without an
// answer is retried under its sequence number until its outcome is known.
type Writer struct {
	WriterConfig
	requests chan *request
	batch    []*request
	sequence int64
	failing  bool // the last append failed
}

// request is a call of Append.
type request struct {
	ctx     context.Context
	records []crank.KeyedRecord
	result  chan appendResult // buffered
}

type appendResult struct {
	stored crank.OffsetRange
	err    error
}

// NewWriter returns a writer. It works while Run runs.
func NewWriter(c WriterConfig) *Writer {
	c.MaxQueueTime = cmp.Or(c.MaxQueueTime, defaultQueueTime)
	return &Writer{WriterConfig: c, requests: make(chan *request)}
}

const (
	appendTimeout     = 1 * time.Second        // of one append
	maxBatchRecords   = 256                    // records of one append
	maxBatchBytes     = 1 << 20                // values of one append; the store takes 2 MiB
	refusedRetryDelay = 30 * time.Millisecond  // before the only retry of a refused append
	unknownRetryDelay = 100 * time.Millisecond // before the next retry of an append without an answer
	defaultQueueTime  = 150 * time.Millisecond // a request that is not in a batch by then is refused
	raiseEpochTimeout = 3 * time.Second        // of all attempts to raise the epoch
)

// Append adds records and returns the offsets of the batch that holds them, in which
// all records are this writer's. An error of
// KindUnavailable means that they were not added and never will be, one of
// KindUnknown that they may have been.
func (w *Writer) Append(ctx context.Context, records ...crank.KeyedRecord) (crank.OffsetRange, error) {
	const op = "store append"
	r := &request{ctx: ctx, records: records, result: make(chan appendResult, 1)}
	timer := time.NewTimer(w.MaxQueueTime)
	defer timer.Stop()
	select {
	case w.requests <- r:
	case <-timer.C:
		return crank.OffsetRange{}, crank.Fail(op, crank.KindUnavailable, "the store has not answered the append before")
	case <-ctx.Done():
		return crank.OffsetRange{}, crank.Wrap(op, crank.KindUnavailable, ctx.Err())
	}
	select {
	case result := <-r.result:
		return result.stored, result.err
	case <-ctx.Done():
		return crank.OffsetRange{}, crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
}

// RaiseEpoch appends a first record, so that the store refuses producers of
// lower epochs, and returns the offset after it.
func (w *Writer) RaiseEpoch(ctx context.Context, first crank.KeyedRecord) (crank.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, raiseEpochTimeout)
	defer cancel()
	for {
		end, err := w.append(callCtx, []crank.KeyedRecord{first})
		if err == nil || crank.KindOf(err) == crank.KindFenced || callCtx.Err() != nil {
			return end, err
		}
		w.Logger.Warn("feed: raising the epoch failed", "topic", w.Topic, "epoch", w.Epoch, "error", err)
		Sleep(callCtx, unknownRetryDelay)
	}
}

// Run sends batches until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case r := <-w.requests:
			w.batch = append(w.batch, r)
		case <-ctx.Done():
			return nil
		}
		w.fillBatch()
		w.send(ctx, w.batch)
		w.batch = nil
	}
}

// fillBatch adds the waiting requests to the batch until it is full.
func (w *Writer) fillBatch() {
	records, size := 0, 0
	for _, r := range w.batch {
		records, size = records+len(r.records), size+valueBytes(r.records)
	}
	for records < maxBatchRecords && size < maxBatchBytes {
		select {
		case r := <-w.requests:
			w.batch = append(w.batch, r)
			records, size = records+len(r.records), size+valueBytes(r.records)
		default:
			return
		}
	}
}

func valueBytes(records []crank.KeyedRecord) int {
	n := 0
	for _, r := range records {
		n += len(r.Value)
	}
	return n
}

// send appends a batch and answers its requests once its outcome is known or
// the context ends.
func (w *Writer) send(ctx context.Context, batch []*request) {
	var records []crank.KeyedRecord
	for _, r := range batch {
		records = append(records, r.records...)
	}
	uncertain, refused := false, 0
	for {
		end, err := w.append(ctx, records)
		w.logTransition(err)
		switch {
		case err == nil:
			replyAll(batch, appendResult{stored: crank.OffsetRange{First: end - crank.Offset(len(records)), End: end}})
			return
		case crank.KindOf(err) == crank.KindFenced, ctx.Err() != nil:
			replyAll(batch, appendResult{err: uncertainError(err, uncertain)})
			return
		case crank.KindOf(err) == crank.KindUnavailable && !uncertain:
			if refused++; refused > 1 {
				replyAll(batch, appendResult{err: err})
				return
			}
			Sleep(ctx, refusedRetryDelay)
		case crank.KindOf(err) == crank.KindUnavailable:
			Sleep(ctx, unknownRetryDelay)
		default:
			uncertain = true
			Sleep(ctx, unknownRetryDelay)
		}
	}
}

// uncertainError returns an error of KindUnknown when an earlier attempt at the
// same batch may have taken effect.
func uncertainError(err error, uncertain bool) error {
	if !uncertain {
		return err
	}
	return &crank.Error{Op: "store append", Kind: crank.KindUnknown, Cause: err}
}

// append makes one attempt, and a second one when the store expects another
// sequence number. The number advances once a batch is stored.
func (w *Writer) append(ctx context.Context, records []crank.KeyedRecord) (crank.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a := crank.StoreAppend{Topic: w.Topic, Records: records, ExpectedEnd: crank.AnyOffset, Producer: w.Producer, Epoch: w.Epoch, Sequence: w.sequence}
	end, err := w.Store.Append(callCtx, a)
	var sequenceErr *crank.SequenceError
	if errors.As(err, &sequenceErr) && sequenceErr.Expected != w.sequence {
		w.Logger.Warn("feed: sequence number corrected", "topic", w.Topic, "had", w.sequence, "expected", sequenceErr.Expected)
		w.sequence = sequenceErr.Expected
		a.Sequence = w.sequence
		end, err = w.Store.Append(callCtx, a)
	}
	if err == nil {
		w.sequence++
	}
	return end, err
}

// logTransition logs when appends start to fail and when they recover.
func (w *Writer) logTransition(err error) {
	switch {
	case err != nil && !w.failing:
		w.failing = true
		w.Logger.Warn("feed: append failed", "topic", w.Topic, "sequence", w.sequence, "error", err)
	case err == nil && w.failing:
		w.failing = false
		w.Logger.Info("feed: append succeeded again", "topic", w.Topic, "sequence", w.sequence)
	}
}

func replyAll(batch []*request, result appendResult) {
	for _, r := range batch {
		r.result <- result
	}
}
