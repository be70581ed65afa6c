package crankfeed

import (
	"context"
	"errors"
	"log/slog"
	"time"

	crank "cranberrycrank"
)

// WriterConfig sets up a Writer.
type WriterConfig struct {
	Store    crank.Store
	Topic    crank.Topic
	Logger   *slog.Logger
	Producer string // unique among the writers of an epoch
	Epoch    int64
}

// Writer appends records in batches, one batch at a time. A batch without an
// answer is repeated under its sequence number until its fate is known.
type Writer struct {
	WriterConfig
	requests chan *request
	queue    []*request
	sequence int64
	down     bool // the last append failed
}

// request is one call of Append.
type request struct {
	ctx     context.Context
	records []crank.KeyedRecord
	answer  chan answer // buffered
}

type answer struct {
	end crank.Offset
	err error
}

// NewWriter returns a writer. It works while Run runs.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{WriterConfig: c, requests: make(chan *request)}
}

const (
	appendTimeout   = 1 * time.Second        // of one append
	maxBatchRecords = 256                    // records of one append
	maxBatchBytes   = 1 << 20                // values of one append; the store takes 2 MiB
	refusedPause    = 30 * time.Millisecond  // before a refused append is tried once more
	unknownPause    = 100 * time.Millisecond // before an append without an answer is repeated
	queueLimit      = 150 * time.Millisecond // a request that is not sent by then is refused
	seizeTimeout    = 3 * time.Second        // of raising the epoch
)

// Append adds records and returns the offset after the batch. An error of
// KindUnavailable means that they were not added and never will be, one of
// KindUnknown that they may have been.
func (w *Writer) Append(ctx context.Context, records ...crank.KeyedRecord) (crank.Offset, error) {
	const op = "store append"
	r := &request{ctx: ctx, records: records, answer: make(chan answer, 1)}
	timer := time.NewTimer(queueLimit)
	defer timer.Stop()
	select {
	case w.requests <- r:
	case <-timer.C:
		return 0, crank.Fail(op, crank.KindUnavailable, "the store has not answered the append before")
	case <-ctx.Done():
		return 0, crank.Wrap(op, crank.KindUnavailable, ctx.Err())
	}
	select {
	case a := <-r.answer:
		return a.end, a.err
	case <-ctx.Done():
		return 0, crank.Wrap(op, crank.KindUnknown, ctx.Err())
	}
}

// Seize raises the epoch with a first record, so that producers of lower
// epochs are refused, and returns the offset after it.
func (w *Writer) Seize(ctx context.Context, first crank.KeyedRecord) (crank.Offset, error) {
	call, cancel := context.WithTimeout(ctx, seizeTimeout)
	defer cancel()
	for {
		end, err := w.append(call, []crank.KeyedRecord{first})
		if err == nil || crank.KindOf(err) == crank.KindFenced || call.Err() != nil {
			return end, err
		}
		w.Logger.Warn("feed: epoch not raised", "topic", w.Topic, "epoch", w.Epoch, "error", err)
		Pause(call, unknownPause)
	}
}

// Run sends batches until the context ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case r := <-w.requests:
			w.queue = append(w.queue, r)
		case <-ctx.Done():
			return nil
		}
		w.drain()
		w.send(ctx, w.queue)
		w.queue = nil
	}
}

// drain takes the requests that wait already, as far as a batch reaches.
func (w *Writer) drain() {
	records, size := 0, 0
	for _, r := range w.queue {
		records, size = records+len(r.records), size+valueBytes(r.records)
	}
	for records < maxBatchRecords && size < maxBatchBytes {
		select {
		case r := <-w.requests:
			w.queue = append(w.queue, r)
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

// send appends a batch and answers its requests once its fate is known.
func (w *Writer) send(ctx context.Context, batch []*request) {
	var records []crank.KeyedRecord
	for _, r := range batch {
		records = append(records, r.records...)
	}
	uncertain, refused := false, 0
	for {
		end, err := w.append(ctx, records)
		w.note(err)
		switch {
		case err == nil:
			answerAll(batch, answer{end: end})
			return
		case crank.KindOf(err) == crank.KindFenced, ctx.Err() != nil:
			answerAll(batch, answer{err: uncertainError(err, uncertain)})
			return
		case crank.KindOf(err) == crank.KindUnavailable && !uncertain:
			if refused++; refused > 1 {
				answerAll(batch, answer{err: err})
				return
			}
			Pause(ctx, refusedPause)
		case crank.KindOf(err) == crank.KindUnavailable:
			Pause(ctx, unknownPause)
		default:
			uncertain = true
			Pause(ctx, unknownPause)
		}
	}
}

// uncertainError returns an error of KindUnknown when an earlier try of the
// same batch may have taken effect.
func uncertainError(err error, uncertain bool) error {
	if !uncertain {
		return err
	}
	return &crank.Error{Op: "store append", Kind: crank.KindUnknown, Cause: err}
}

// append makes one try. The sequence number moves on once it is used up.
func (w *Writer) append(ctx context.Context, records []crank.KeyedRecord) (crank.Offset, error) {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a := crank.StoreAppend{Topic: w.Topic, Records: records, At: crank.AnyOffset, Producer: w.Producer, Epoch: w.Epoch, Sequence: w.sequence}
	end, err := w.Store.Append(call, a)
	var wrong *crank.SequenceError
	if errors.As(err, &wrong) && wrong.Expected != w.sequence {
		w.Logger.Warn("feed: sequence number corrected", "topic", w.Topic, "had", w.sequence, "expected", wrong.Expected)
		w.sequence = wrong.Expected
		a.Sequence = w.sequence
		end, err = w.Store.Append(call, a)
	}
	if err == nil {
		w.sequence++
	}
	return end, err
}

// note logs when appends fail and when they work again.
func (w *Writer) note(err error) {
	switch {
	case err != nil && !w.down:
		w.down = true
		w.Logger.Warn("feed: appends fail", "topic", w.Topic, "sequence", w.sequence, "error", err)
	case err == nil && w.down:
		w.down = false
		w.Logger.Info("feed: appends work again", "topic", w.Topic, "sequence", w.sequence)
	}
}

func answerAll(batch []*request, a answer) {
	for _, r := range batch {
		r.answer <- a
	}
}
