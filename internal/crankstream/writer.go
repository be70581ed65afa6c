package crankstream

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
)

// Priority orders the writer's queue.
type Priority int

// Priorities. Operators and urgent work go first.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	priorities
)

// WriterConfig sets up a Writer.
type WriterConfig struct {
	Log     crank.Log
	Box     *crankbox.Box
	Logger  *slog.Logger
	ID      string                       // one life of one instance
	Results <-chan crankfold.BatchResult // what became of this writer's batches
}

// Writer appends proposals in batches, one batch at a time.
//
// A batch keeps its sequence number until it is known to be applied, so a
// batch whose answer was lost can be sent again: the fold drops the second.
type Writer struct {
	WriterConfig
	proposals chan *proposal
	queues    [priorities][]*proposal
	sequence  int64
}

// proposal is a group of records that go into one batch in order.
type proposal struct {
	ctx      context.Context
	priority Priority
	records  []crankrecord.Record
	answer   chan reply
	stage    atomic.Int32
}

// Stages of a proposal.
const (
	stageQueued int32 = iota
	stageSent
	stageWithdrawn
)

type reply struct {
	verdicts []crankfold.Verdict
	err      error
}

// NewWriter returns a writer. It works while Run runs.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{WriterConfig: c, proposals: make(chan *proposal)}
}

// Propose appends records and returns a verdict for each once the state
// contains them. An error of KindUnavailable means that they were not
// appended, one of KindUnknown that they may have been.
func (w *Writer) Propose(ctx context.Context, priority Priority, records ...crankrecord.Record) ([]crankfold.Verdict, error) {
	p := &proposal{ctx: ctx, priority: priority, records: records, answer: make(chan reply, 1)}
	select {
	case w.proposals <- p:
	case <-ctx.Done():
		return nil, crank.Wrap("log propose", crank.KindUnavailable, ctx.Err())
	}
	select {
	case r := <-p.answer:
		return r.verdicts, r.err
	case <-ctx.Done():
		return p.withdraw()
	}
}

// withdraw gives up waiting for a proposal. One that is still queued is never
// sent; one that is being appended may get a definite answer in a moment.
func (p *proposal) withdraw() ([]crankfold.Verdict, error) {
	if p.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
		return nil, crank.Wrap("log propose", crank.KindUnavailable, p.ctx.Err())
	}
	select {
	case r := <-p.answer:
		return r.verdicts, r.err
	case <-time.After(withdrawWait):
		return nil, crank.Wrap("log propose", crank.KindUnknown, p.ctx.Err())
	}
}

// withdrawWait is how long a proposal that is being appended still waits for a
// definite answer.
const withdrawWait = 2 * crank.CallTimeout

// ProposeOne appends one record and returns its verdict.
func (w *Writer) ProposeOne(ctx context.Context, priority Priority, record crankrecord.Record) (crankfold.Verdict, error) {
	verdicts, err := w.Propose(ctx, priority, record)
	if err != nil {
		return crankfold.Verdict{}, err
	}
	return verdicts[0], nil
}

// Run sends batches until the context ends. Proposals that were not sent by
// then are answered with KindUnavailable.
func (w *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.collect(ctx) {
			continue
		}
		batch := w.take()
		if len(batch) > 0 {
			w.send(ctx, batch)
		}
	}
	w.refuseAll(crank.Wrap("log propose", crank.KindUnavailable, ctx.Err()))
	return nil
}

// collect waits for a proposal and takes all that are there.
func (w *Writer) collect(ctx context.Context) bool {
	if w.queued() == 0 {
		select {
		case p := <-w.proposals:
			w.queue(p)
		case <-w.Results:
			return false
		case <-ctx.Done():
			return false
		}
	}
	for {
		select {
		case p := <-w.proposals:
			w.queue(p)
		default:
			return true
		}
	}
}

func (w *Writer) queue(p *proposal) { w.queues[p.priority] = append(w.queues[p.priority], p) }

func (w *Writer) queued() int {
	n := 0
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

// maxBatchBytes bounds the payloads of one batch.
const maxBatchBytes = 512 << 10

// take removes the proposals of the next batch from the queues and passes over
// those that were withdrawn.
func (w *Writer) take() []*proposal {
	var batch []*proposal
	records, size := 0, 0
	for i, q := range w.queues {
		for len(q) > 0 {
			p := q[0]
			n := payloadBytes(p.records)
			if len(batch) > 0 && (records+len(p.records) > crank.MaxBatchRecords || size+n > maxBatchBytes) {
				w.queues[i] = q
				return batch
			}
			if !p.stage.CompareAndSwap(stageQueued, stageSent) {
				q = q[1:]
				continue
			}
			batch = append(batch, p)
			records += len(p.records)
			size += n
			q = q[1:]
		}
		w.queues[i] = nil
	}
	return batch
}

func payloadBytes(records []crankrecord.Record) int {
	n := 0
	for _, r := range records {
		if r.Submit != nil {
			n += len(r.Submit.Payload)
		}
	}
	return n
}

// send appends one batch and waits until it is applied or certainly is not.
func (w *Writer) send(ctx context.Context, batch []*proposal) {
	w.sequence++
	b := crankrecord.Batch{Writer: w.ID, Sequence: w.sequence, At: time.Now()}
	for _, p := range batch {
		b.Records = append(b.Records, p.records...)
	}
	data, err := crankrecord.Encode(b)
	if err != nil {
		answerAll(batch, reply{err: err})
		return
	}
	delivery := &delivery{batch: batch, data: data}
	for !w.deliver(ctx, delivery) {
		Pause(ctx, retryDelay)
	}
}

// delivery is a batch on its way into the log.
type delivery struct {
	batch     []*proposal
	data      []byte
	uncertain bool // some append of it may have taken effect
}

// deliver tries once. It returns true when the batch needs no more tries.
func (w *Writer) deliver(ctx context.Context, d *delivery) bool {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	_, err := w.Log.Append(call, crank.EventStream, d.data)
	cancel()
	if err == nil {
		d.uncertain = true
		return w.await(ctx, d, awaitApplied)
	}
	if crank.KindOf(err) != crank.KindUnavailable {
		d.uncertain = true
	}
	w.Logger.Warn("stream: append failed", "sequence", w.sequence, "error", err)
	if !d.uncertain {
		Pause(ctx, retryDelay)
		w.requeue(d)
		return true
	}
	return w.await(ctx, d, awaitAfterFailure) || w.abandon(ctx, d)
}

// requeue takes back a batch that was certainly not appended. Proposals that
// nobody waits for any more are answered as not appended, the others go to the
// front of their queues, and the sequence number is free again.
func (w *Writer) requeue(d *delivery) {
	w.sequence--
	var again [priorities][]*proposal
	for _, p := range d.batch {
		if p.ctx.Err() != nil {
			p.answer <- reply{err: crank.Wrap("log propose", crank.KindUnavailable, p.ctx.Err())}
			continue
		}
		p.stage.Store(stageQueued)
		again[p.priority] = append(again[p.priority], p)
	}
	for i := range w.queues {
		w.queues[i] = append(again[i], w.queues[i]...)
	}
}

const (
	awaitApplied      = 2 * time.Second
	awaitAfterFailure = 300 * time.Millisecond
)

// await waits for the batch to be applied and hands out the verdicts.
func (w *Writer) await(ctx context.Context, d *delivery, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		select {
		case result := <-w.Results:
			if result.Sequence == w.sequence {
				share(d.batch, result.Verdicts)
				return true
			}
		case p := <-w.proposals:
			w.queue(p)
		case <-timer.C:
			return w.appliedBySnapshot(d)
		case <-ctx.Done():
			return w.abandon(ctx, d)
		}
	}
}

// appliedBySnapshot settles a batch that the state contains though its
// verdicts were never seen, as after a start from a snapshot.
func (w *Writer) appliedBySnapshot(d *delivery) bool {
	if !w.Box.View().State.Applied(w.ID, w.sequence) {
		return false
	}
	select {
	case result := <-w.Results:
		if result.Sequence == w.sequence {
			share(d.batch, result.Verdicts)
			return true
		}
	default:
	}
	answerAll(d.batch, reply{err: crank.Fail("log propose", crank.KindUnknown, "the verdict was missed")})
	return true
}

// abandon gives up a batch that may have been appended, when nobody waits for
// it any more or the writer ends. Its sequence number is not used again, so a
// copy that is still under way counts at most once.
func (w *Writer) abandon(ctx context.Context, d *delivery) bool {
	waiting := false
	for _, p := range d.batch {
		if p.ctx.Err() == nil && ctx.Err() == nil {
			waiting = true
		}
	}
	if waiting {
		return false
	}
	answerAll(d.batch, reply{err: crank.Fail("log propose", crank.KindUnknown, "the log did not answer in time")})
	return true
}

func (w *Writer) refuseAll(err error) {
	for _, q := range w.queues {
		answerAll(q, reply{err: err})
	}
}

// share hands each proposal its part of the verdicts.
func share(batch []*proposal, verdicts []crankfold.Verdict) {
	for _, p := range batch {
		n := len(p.records)
		p.answer <- reply{verdicts: verdicts[:n:n]}
		verdicts = verdicts[n:]
	}
}

func answerAll(batch []*proposal, r reply) {
	for _, p := range batch {
		p.answer <- r
	}
}
