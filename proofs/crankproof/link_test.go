package crankproof

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeworker"
)

// link connects one instance to the log or to the workers. A frozen link holds
// calls and responses back until it thaws, as for a suspended process.
type link struct {
	mu     sync.Mutex
	down   bool
	delay  time.Duration // of each call and of each response
	frozen chan struct{} // closed by thaw, nil when not frozen
}

func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *link) setDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

func (l *link) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen == nil {
		l.frozen = make(chan struct{})
	}
}

func (l *link) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		close(l.frozen)
		l.frozen = nil
	}
}

// transmit carries a call or a response over the link: it waits until the link
// thaws, then for the delay, and fails when the link is down.
func (l *link) transmit() error {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return crank.Fail("call", crank.KindUnavailable, "cut off")
	}
	return nil
}

// call calls f over the link. If the link is down for the response, the effect of
// f is unknown to the caller.
func (l *link) call(f func() error) error {
	if err := l.transmit(); err != nil {
		return err
	}
	err := f()
	if linkErr := l.transmit(); linkErr != nil {
		return crank.Wrap("call", crank.KindUnknown, context.Canceled)
	}
	return err
}

// remoteLog is the log as one instance reaches it over its link.
type remoteLog struct {
	link *link
	log  crank.Log
}

// Append implements crank.Log.
func (l *remoteLog) Append(ctx context.Context, s crank.Stream, data []byte) (offset crank.Offset, err error) {
	err = l.link.call(func() error {
		offset, err = l.log.Append(ctx, s, data)
		return err
	})
	return offset, err
}

// Read implements crank.Log.
func (l *remoteLog) Read(ctx context.Context, s crank.Stream, from crank.Offset, limit int, wait time.Duration) (b crank.LogBatch, err error) {
	err = l.link.call(func() error {
		b, err = l.log.Read(ctx, s, from, limit, wait)
		return err
	})
	if err != nil && crank.KindOf(err) == crank.KindUnknown {
		err = crank.Fail("log read", crank.KindUnavailable, "cut off")
	}
	return b, err
}

// remoteWorkers dials workers over the link of one instance.
type remoteWorkers struct {
	link    *link
	workers crankfakeworker.Set
}

// Worker implements crank.WorkerDialer.
func (w *remoteWorkers) Worker(addr string) crank.Worker {
	return &remoteWorker{link: w.link, worker: w.workers.Worker(addr)}
}

type remoteWorker struct {
	link   *link
	worker crank.Worker
}

func (w *remoteWorker) Reserve(ctx context.Context, r crank.Reservation) error {
	return w.link.call(func() error { return w.worker.Reserve(ctx, r) })
}

func (w *remoteWorker) Start(ctx context.Context, s crank.Start) error {
	return w.link.call(func() error { return w.worker.Start(ctx, s) })
}

func (w *remoteWorker) Fence(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.link.call(func() error {
		status, err = w.worker.Fence(ctx, c)
		return err
	})
	return status, err
}

func (w *remoteWorker) Stop(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.link.call(func() error {
		status, err = w.worker.Stop(ctx, c)
		return err
	})
	return status, err
}

func (w *remoteWorker) Renew(ctx context.Context, r crank.Renewal) (report crank.Report, err error) {
	err = w.link.call(func() error {
		report, err = w.worker.Renew(ctx, r)
		return err
	})
	return report, err
}

func (w *remoteWorker) Answer(ctx context.Context, r crank.AnswerRequest) (data []byte, err error) {
	err = w.link.call(func() error {
		data, err = w.worker.Answer(ctx, r)
		return err
	})
	return data, err
}

func (w *remoteWorker) Forget(ctx context.Context, attempts []crank.AttemptID) error {
	return w.link.call(func() error { return w.worker.Forget(ctx, attempts) })
}
