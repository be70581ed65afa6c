package crankfeed

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
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
	Limits   crank.StoreLimits
	// MaxQueueTime is how long a call of Append may wait for the batches before it; 0
	// means defaultQueueTime.
	MaxQueueTime time.Duration
	// Withdraw has groups that are not in a batch yet taken back when their caller gives up, so
	// that it knows that they are not stored.
	Withdraw bool
}

// Writer appends groups of records in batches, one batch at a time. A batch without an
// answer is retried under its sequence number until its outcome is known. From a batch
// that the store refuses for good, it takes out the groups that the store refuses.
type Writer struct {
	WriterConfig
	submitted chan []*group
	waiting   []*group // not in a batch yet
	sequence  int64
	failing   bool // the last append failed
}

// group is a number of records that are stored together or not at all.
type group struct {
	records []crank.KeyedRecord
	result  chan AppendResult // buffered
	taken   atomic.Bool       // by a batch, or back by the caller
}

// take reports whether nobody has taken the group before.
func (g *group) take() bool { return g.taken.CompareAndSwap(false, true) }

// AppendResult is the outcome of one group of records.
type AppendResult struct {
	Stored crank.OffsetRange // of the batch that holds the group; all its records are the writer's
	Err    error
}

// NewWriter returns a writer. It works while Run runs.
func NewWriter(c WriterConfig) *Writer {
	c.MaxQueueTime = cmp.Or(c.MaxQueueTime, defaultQueueTime)
	return &Writer{WriterConfig: c, submitted: make(chan []*group)}
}

const (
	appendTimeout        = 1 * time.Second        // of one append
	maxBatchRecords      = 256                    // records of one append, unless one group has more
	maxBatchBytes        = 1 << 20                // records of one append, unless one group has more
	refusedRetryDelay    = 30 * time.Millisecond  // before the only retry of a refused append
	unknownRetryDelay    = 100 * time.Millisecond // before the first retry of an append without an answer
	maxUnknownRetryDelay = 400 * time.Millisecond // the delay doubles up to this
	defaultQueueTime     = 150 * time.Millisecond // a call that the writer has not accepted by then is refused
	raiseEpochTimeout    = 3 * time.Second        // of all attempts to raise the epoch
)

// RefusedForGood reports whether a failed append can never be stored, so that repeating
// it does not help.
func RefusedForGood(err error) bool {
	kind := crank.KindOf(err)
	return err != nil && (kind == crank.KindTooLarge || kind == crank.KindInvalid)
}

// Append adds records in one append, all or none, and returns the offsets of the batch
// that holds them, in which all records are this writer's. An error of KindUnavailable,
// KindTooLarge or KindInvalid means that they were not added and never will be, one of
// KindUnknown that they may have been.
func (w *Writer) Append(ctx context.Context, records ...crank.KeyedRecord) (crank.OffsetRange, error) {
	r := w.AppendGroups(ctx, records)[0]
	return r.Stored, r.Err
}

// AppendGroups adds each group of records as Append does, and returns their results in
// the same order. Groups may be stored in different batches, earlier groups first.
func (w *Writer) AppendGroups(ctx context.Context, groups ...[]crank.KeyedRecord) []AppendResult {
	return w.appendGroups(ctx, nil, groups)
}

// AppendWithin is Append that fails with KindUnavailable if the records are not in a batch
// after a time. Without Withdraw the time has no effect.
func (w *Writer) AppendWithin(ctx context.Context, queueTime time.Duration, records ...crank.KeyedRecord) (crank.OffsetRange, error) {
	timer := time.NewTimer(queueTime)
	defer timer.Stop()
	r := w.appendGroups(ctx, timer.C, [][]crank.KeyedRecord{records})[0]
	return r.Stored, r.Err
}

func (w *Writer) appendGroups(ctx context.Context, queueEnd <-chan time.Time, groups [][]crank.KeyedRecord) []AppendResult {
	const op = "store append"
	results := make([]AppendResult, len(groups))
	accepted := make([]*group, 0, len(groups))
	numbers := make([]int, 0, len(groups)) // of the accepted groups in results
	for i, records := range groups {
		if err := w.Limits.Check(records...); err != nil {
			w.Logger.Error("feed: records exceed a limit of the store", "topic", w.Topic, "records", len(records), "first", firstKey(records), "error", err)
			results[i].Err = crank.Wrap(op, crank.KindTooLarge, err)
			continue
		}
		accepted = append(accepted, &group{records: records, result: make(chan AppendResult, 1)})
		numbers = append(numbers, i)
	}
	if len(accepted) == 0 {
		return results
	}
	if err := w.submit(ctx, queueEnd, accepted); err != nil {
		for _, i := range numbers {
			results[i].Err = crank.Wrap(op, crank.KindUnavailable, err)
		}
		return results
	}
	for n, g := range accepted {
		results[numbers[n]] = w.awaitResult(ctx, queueEnd, g)
	}
	return results
}

// awaitResult waits for the result of a group that Run has received.
func (w *Writer) awaitResult(ctx context.Context, queueEnd <-chan time.Time, g *group) AppendResult {
	const op = "store append"
	if !w.Withdraw {
		queueEnd = nil
	}
	for {
		select {
		case r := <-g.result:
			return r
		case <-queueEnd:
			if g.take() {
				return AppendResult{Err: crank.Fail(op, crank.KindUnavailable, "the store has not answered the append before")}
			}
			queueEnd = nil // it is under way
		case <-ctx.Done():
			kind := crank.KindUnknown
			if w.Withdraw && g.take() {
				kind = crank.KindUnavailable
			}
			return AppendResult{Err: crank.Wrap(op, kind, ctx.Err())}
		}
	}
}

// submit hands groups to Run. After an error, none of them is appended.
func (w *Writer) submit(ctx context.Context, queueEnd <-chan time.Time, groups []*group) error {
	if !w.Withdraw {
		queueEnd = nil
	}
	timer := time.NewTimer(w.MaxQueueTime)
	defer timer.Stop()
	select {
	case w.submitted <- groups:
		return nil
	case <-queueEnd:
		return crank.Fail("store append", crank.KindUnavailable, "the store has not answered the append before")
	case <-timer.C:
		return crank.Fail("store append", crank.KindUnavailable, "the store has not answered the append before")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RaiseEpoch appends a first record, so that the store refuses producers of
// lower epochs, and returns the offset after it.
func (w *Writer) RaiseEpoch(ctx context.Context, first crank.KeyedRecord) (crank.Offset, error) {
	callCtx, cancel := context.WithTimeout(ctx, raiseEpochTimeout)
	defer cancel()
	for delay := unknownRetryDelay; ; delay = nextDelay(delay) {
		end, err := w.append(callCtx, []crank.KeyedRecord{first})
		if err == nil || crank.KindOf(err) == crank.KindFenced || RefusedForGood(err) || callCtx.Err() != nil {
			return end, err
		}
		w.Logger.Warn("feed: raising the epoch failed", "topic", w.Topic, "epoch", w.Epoch, "error", err)
		Sleep(callCtx, delay)
	}
}

// nextDelay returns the delay after the next append without an answer.
func nextDelay(delay time.Duration) time.Duration { return min(2*delay, maxUnknownRetryDelay) }

// Run sends batches until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		if len(w.waiting) == 0 {
			select {
			case groups := <-w.submitted:
				w.waiting = groups
			case <-ctx.Done():
				return nil
			}
		}
		w.send(ctx, takeAll(w.nextBatch()))
	}
}

// nextBatch takes waiting groups up to the limits of a batch, at least one.
func (w *Writer) nextBatch() []*group {
	count, records, size := 0, 0, 0
	for {
		if count == len(w.waiting) && !w.receive() {
			break
		}
		g := w.waiting[count]
		records, size = records+len(g.records), size+encodedBytes(g.records)
		if count > 0 && (records > maxBatchRecords || size > w.batchBytes()) {
			break
		}
		count++
	}
	batch := w.waiting[:count:count]
	w.waiting = w.waiting[count:]
	return batch
}

// takeAll returns the groups of a batch that were not withdrawn.
func takeAll(batch []*group) []*group {
	return slices.DeleteFunc(batch, func(g *group) bool { return !g.take() })
}

// receive adds groups that a caller submits at this moment, if any.
func (w *Writer) receive() bool {
	select {
	case groups := <-w.submitted:
		w.waiting = append(w.waiting, groups...)
		return true
	default:
		return false
	}
}

func (w *Writer) batchBytes() int {
	if limit := w.Limits.CallBytes; limit > 0 {
		return min(limit, maxBatchBytes)
	}
	return maxBatchBytes
}

func encodedBytes(records []crank.KeyedRecord) int {
	n := 0
	for _, r := range records {
		n += r.EncodedBytes()
	}
	return n
}

func firstKey(records []crank.KeyedRecord) string {
	if len(records) == 0 {
		return ""
	}
	return records[0].Key
}

// send appends a batch and answers its groups once their outcome is known or the
// context ends. The store refuses an append as a whole and does not name the record, so
// a refused batch is sent again in halves.
func (w *Writer) send(ctx context.Context, batch []*group) {
	if len(batch) == 0 {
		return // all were withdrawn
	}
	if ctx.Err() != nil {
		replyAll(batch, AppendResult{Err: crank.Wrap("store append", crank.KindUnavailable, ctx.Err())})
		return
	}
	var records []crank.KeyedRecord
	for _, g := range batch {
		records = append(records, g.records...)
	}
	stored, err := w.appendUntilKnown(ctx, records)
	if RefusedForGood(err) && len(batch) > 1 {
		half := len(batch) / 2
		w.send(ctx, batch[:half])
		w.send(ctx, batch[half:])
		return
	}
	if RefusedForGood(err) {
		w.Logger.Error("feed: records refused by the store", "topic", w.Topic, "records", len(records), "first", firstKey(records), "bytes", encodedBytes(records), "error", err)
	}
	replyAll(batch, AppendResult{Stored: stored, Err: err})
}

// appendUntilKnown repeats an append until its outcome is known or the context ends. A
// refusal for good holds for earlier attempts without an answer too, so it is an outcome,
// and the sequence number is free for other records.
func (w *Writer) appendUntilKnown(ctx context.Context, records []crank.KeyedRecord) (crank.OffsetRange, error) {
	uncertain, refused, delay := false, 0, unknownRetryDelay
	for {
		end, err := w.append(ctx, records)
		w.logTransition(err)
		switch {
		case err == nil:
			return crank.OffsetRange{First: end - crank.Offset(len(records)), End: end}, nil
		case RefusedForGood(err):
			return crank.OffsetRange{}, err
		case crank.KindOf(err) == crank.KindFenced, ctx.Err() != nil:
			return crank.OffsetRange{}, uncertainError(err, uncertain)
		case crank.KindOf(err) == crank.KindUnavailable && !uncertain:
			if refused++; refused > 1 {
				return crank.OffsetRange{}, err
			}
			Sleep(ctx, refusedRetryDelay)
		default:
			uncertain = uncertain || crank.KindOf(err) != crank.KindUnavailable
			Sleep(ctx, delay)
			delay = nextDelay(delay)
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

func replyAll(batch []*group, result AppendResult) {
	for _, g := range batch {
		g.result <- result
	}
}
