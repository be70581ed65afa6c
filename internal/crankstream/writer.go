package crankstream

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
)

// Priority orders the writer's queue.
type Priority int

// Priorities. High is for urgent jobs, operators' requests, cancellations and the
// planner's records other than the decisions of its rounds.
const (
	PriorityHigh Priority = iota
	PriorityNormal
	priorityCount
)

// WriterConfig holds the settings and dependencies of a Writer.
type WriterConfig struct {
	Log     crank.Log
	Cache   *crankcache.StateCache
	Logger  *slog.Logger
	ID      string                        // incarnation of this instance
	Results <-chan crankstate.BatchResult // of this writer's batches, from the Follower
}

// Writer appends proposals in batches, one batch at a time.
//
// Every append of a batch carries the same sequence number, so a batch whose append
// may have failed can be appended again: crankstate drops all copies but the first.
type Writer struct {
	WriterConfig
	proposals chan *proposal
	queues    [priorityCount][]*proposal
	sequence  int64 // of the newest batch
}

// proposal is a group of records that go into one batch, in order.
type proposal struct {
	ctx      context.Context
	priority Priority
	records  []crankrecord.Record
	reply    chan reply
	stage    atomic.Int32
}

// Stages of a proposal. A queued one is either sent or withdrawn, never both.
const (
	stageQueued int32 = iota
	stageSent
	stageWithdrawn
)

type reply struct {
	verdicts []crankstate.Verdict
	err      error
}

// NewWriter returns a writer; Run starts it.
func NewWriter(c WriterConfig) *Writer {
	return &Writer{WriterConfig: c, proposals: make(chan *proposal)}
}

// Propose appends records and returns a verdict for each once the state
// contains them. An error of KindUnavailable means that they were not
// appended, one of KindUnknown that they may have been.
func (w *Writer) Propose(ctx context.Context, priority Priority, records ...crankrecord.Record) ([]crankstate.Verdict, error) {
	p := &proposal{ctx: ctx, priority: priority, records: records, reply: make(chan reply, 1)}
	select {
	case w.proposals <- p:
	case <-ctx.Done():
		return nil, crank.Wrap("log propose", crank.KindUnavailable, ctx.Err())
	}
	select {
	case r := <-p.reply:
		return r.verdicts, r.err
	case <-ctx.Done():
		return p.withdraw()
	}
}

// withdraw gives up waiting for a proposal. One that is still queued is never sent;
// for one that is being appended, withdraw waits for its verdicts up to
// withdrawTimeout.
func (p *proposal) withdraw() ([]crankstate.Verdict, error) {
	if p.stage.CompareAndSwap(stageQueued, stageWithdrawn) {
		return nil, crank.Wrap("log propose", crank.KindUnavailable, p.ctx.Err())
	}
	select {
	case r := <-p.reply:
		return r.verdicts, r.err
	case <-time.After(withdrawTimeout):
		return nil, crank.Wrap("log propose", crank.KindUnknown, p.ctx.Err())
	}
}

// withdrawTimeout leaves time for an append that is in progress to finish.
const withdrawTimeout = 2 * crank.CallTimeout

// ProposeOne appends one record and returns its verdict.
func (w *Writer) ProposeOne(ctx context.Context, priority Priority, record crankrecord.Record) (crankstate.Verdict, error) {
	verdicts, err := w.Propose(ctx, priority, record)
	if err != nil {
		return crankstate.Verdict{}, err
	}
	return verdicts[0], nil
}

// Run appends batches until the context ends. Proposals that are queued then fail
// with KindUnavailable.
func (w *Writer) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !w.collect(ctx) {
			continue
		}
		batch := w.nextBatch()
		if len(batch) > 0 {
			w.send(ctx, batch)
		}
	}
	w.rejectQueued(crank.Wrap("log propose", crank.KindUnavailable, ctx.Err()))
	return nil
}

// collect moves all pending proposals into the queues, waiting for one if the
// queues are empty. It returns false when there is nothing to send.
func (w *Writer) collect(ctx context.Context) bool {
	if w.queueLength() == 0 {
		select {
		case p := <-w.proposals:
			w.enqueue(p)
		case <-w.Results:
			return false
		case <-ctx.Done():
			return false
		}
	}
	for {
		select {
		case p := <-w.proposals:
			w.enqueue(p)
		default:
			return true
		}
	}
}

func (w *Writer) enqueue(p *proposal) { w.queues[p.priority] = append(w.queues[p.priority], p) }

func (w *Writer) queueLength() int {
	n := 0
	for _, q := range w.queues {
		n += len(q)
	}
	return n
}

// maxBatchBytes limits the job payloads in one batch.
const maxBatchBytes = 512 << 10

// nextBatch takes the proposals of the next batch from the queues, by priority, and
// drops those that were withdrawn.
func (w *Writer) nextBatch() []*proposal {
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

// send appends one batch and returns once it is applied, requeued or abandoned.
func (w *Writer) send(ctx context.Context, batch []*proposal) {
	w.sequence++
	b := crankrecord.Batch{Writer: w.ID, Sequence: w.sequence, At: time.Now()}
	for _, p := range batch {
		b.Records = append(b.Records, p.records...)
	}
	data, err := crankrecord.Encode(b)
	if err != nil {
		replyAll(batch, reply{err: err})
		return
	}
	pending := &pendingBatch{proposals: batch, data: data}
	for !w.tryAppend(ctx, pending) {
		Sleep(ctx, retryDelay)
	}
}

// pendingBatch is a batch that is being appended.
type pendingBatch struct {
	proposals     []*proposal
	data          []byte
	maybeAppended bool // some append may have taken effect
}

// tryAppend appends the batch once and waits for its verdicts. It returns false
// when the batch must be appended again.
func (w *Writer) tryAppend(ctx context.Context, b *pendingBatch) bool {
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	_, err := w.Log.Append(call, crank.EventStream, b.data)
	cancel()
	if err == nil {
		b.maybeAppended = true
		return w.awaitVerdicts(ctx, b, verdictTimeout)
	}
	if crank.KindOf(err) != crank.KindUnavailable {
		b.maybeAppended = true
	}
	w.Logger.Warn("stream: append failed", "sequence", w.sequence, "error", err)
	if !b.maybeAppended {
		Sleep(ctx, retryDelay)
		w.requeue(b)
		return true
	}
	return w.awaitVerdicts(ctx, b, failedAppendTimeout) || w.abandon(ctx, b)
}

// requeue takes back a batch that was certainly not appended. Proposals whose
// context has ended fail with KindUnavailable, the others go to the front of their
// queues, and the sequence number is reused.
func (w *Writer) requeue(b *pendingBatch) {
	w.sequence--
	var requeued [priorityCount][]*proposal
	for _, p := range b.proposals {
		if p.ctx.Err() != nil {
			p.reply <- reply{err: crank.Wrap("log propose", crank.KindUnavailable, p.ctx.Err())}
			continue
		}
		p.stage.Store(stageQueued)
		requeued[p.priority] = append(requeued[p.priority], p)
	}
	for i := range w.queues {
		w.queues[i] = append(requeued[i], w.queues[i]...)
	}
}

const (
	verdictTimeout      = 2 * time.Second        // for the verdicts after an append
	failedAppendTimeout = 300 * time.Millisecond // after one that may have failed
)

// awaitVerdicts waits up to timeout for the verdicts and sends them to the proposals.
// It returns false when the batch must be appended again.
func (w *Writer) awaitVerdicts(ctx context.Context, b *pendingBatch, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case result := <-w.Results:
			if result.Sequence == w.sequence {
				distributeVerdicts(b.proposals, result.Verdicts)
				return true
			}
		case p := <-w.proposals:
			w.enqueue(p)
		case <-timer.C:
			return w.settleIfApplied(b)
		case <-ctx.Done():
			return w.abandon(ctx, b)
		}
	}
}

// settleIfApplied ends a batch that the state contains. If its verdicts never
// arrived, as when the state came from a snapshot, the proposals fail with
// KindUnknown.
func (w *Writer) settleIfApplied(b *pendingBatch) bool {
	if !w.Cache.View().State.Applied(w.ID, w.sequence) {
		return false
	}
	select {
	case result := <-w.Results:
		if result.Sequence == w.sequence {
			distributeVerdicts(b.proposals, result.Verdicts)
			return true
		}
	default:
	}
	replyAll(b.proposals, reply{err: crank.Fail("log propose", crank.KindUnknown, "the verdict was missed")})
	return true
}

// abandon gives up a batch that may have been appended, once the contexts of all its
// proposers or the writer's have ended. Otherwise it returns false. The sequence
// number is not reused, so a copy that reaches the log later is applied at most once.
func (w *Writer) abandon(ctx context.Context, b *pendingBatch) bool {
	waiting := false
	for _, p := range b.proposals {
		if p.ctx.Err() == nil && ctx.Err() == nil {
			waiting = true
		}
	}
	if waiting {
		return false
	}
	replyAll(b.proposals, reply{err: crank.Fail("log propose", crank.KindUnknown, "the log did not answer in time")})
	return true
}

func (w *Writer) rejectQueued(err error) {
	for _, q := range w.queues {
		replyAll(q, reply{err: err})
	}
}

func distributeVerdicts(batch []*proposal, verdicts []crankstate.Verdict) {
	for _, p := range batch {
		n := len(p.records)
		p.reply <- reply{verdicts: verdicts[:n:n]}
		verdicts = verdicts[n:]
	}
}

func replyAll(batch []*proposal, r reply) {
	for _, p := range batch {
		p.reply <- r
	}
}
