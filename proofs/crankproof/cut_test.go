package crankproof

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeworker"
)

// gate is one instance's way to the outside, which can be cut or frozen. A
// frozen way holds calls and answers back and lets them go when it thaws, as
// for a process that was stopped for a while.
type gate struct {
	mu     sync.Mutex
	cut    bool
	delay  time.Duration // of each call
	frozen chan struct{} // closed at the thaw, nil when not frozen
}

func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *gate) setDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = delay
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// pass waits out a freeze and fails when the way is cut.
func (g *gate) pass() error {
	g.mu.Lock()
	frozen := g.frozen
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	time.Sleep(delay)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		return crank.Fail("call", crank.KindUnavailable, "cut off")
	}
	return nil
}

// through makes a call through the gate. A call that took effect before its
// answer was cut off is of unknown effect.
func (g *gate) through(call func() error) error {
	if err := g.pass(); err != nil {
		return err
	}
	err := call()
	if late := g.pass(); late != nil {
		return crank.Wrap("call", crank.KindUnknown, context.Canceled)
	}
	return err
}

// gatedLog is one instance's way to the log.
type gatedLog struct {
	gate *gate
	log  crank.Log
}

// Append implements crank.Log.
func (l *gatedLog) Append(ctx context.Context, s crank.Stream, data []byte) (offset crank.Offset, err error) {
	err = l.gate.through(func() error {
		offset, err = l.log.Append(ctx, s, data)
		return err
	})
	return offset, err
}

// Read implements crank.Log.
func (l *gatedLog) Read(ctx context.Context, s crank.Stream, from crank.Offset, limit int, wait time.Duration) (b crank.Batch, err error) {
	err = l.gate.through(func() error {
		b, err = l.log.Read(ctx, s, from, limit, wait)
		return err
	})
	if err != nil && crank.KindOf(err) == crank.KindUnknown {
		err = crank.Fail("log read", crank.KindUnavailable, "cut off")
	}
	return b, err
}

// gatedWorkers is one instance's way to the workers.
type gatedWorkers struct {
	gate    *gate
	workers crankfakeworker.Set
}

// Worker implements crank.WorkerDialer.
func (w *gatedWorkers) Worker(addr string) crank.Worker {
	return &gatedWorker{gate: w.gate, worker: w.workers.Worker(addr)}
}

type gatedWorker struct {
	gate   *gate
	worker crank.Worker
}

func (w *gatedWorker) Reserve(ctx context.Context, r crank.Reservation) error {
	return w.gate.through(func() error { return w.worker.Reserve(ctx, r) })
}

func (w *gatedWorker) Start(ctx context.Context, s crank.Start) error {
	return w.gate.through(func() error { return w.worker.Start(ctx, s) })
}

func (w *gatedWorker) Fence(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.gate.through(func() error {
		status, err = w.worker.Fence(ctx, c)
		return err
	})
	return status, err
}

func (w *gatedWorker) Stop(ctx context.Context, c crank.Command) (status crank.PartStatus, err error) {
	err = w.gate.through(func() error {
		status, err = w.worker.Stop(ctx, c)
		return err
	})
	return status, err
}

func (w *gatedWorker) Renew(ctx context.Context, r crank.Renewal) (report crank.Report, err error) {
	err = w.gate.through(func() error {
		report, err = w.worker.Renew(ctx, r)
		return err
	})
	return report, err
}

func (w *gatedWorker) Answer(ctx context.Context, a crank.AttemptID) (data []byte, err error) {
	err = w.gate.through(func() error {
		data, err = w.worker.Answer(ctx, a)
		return err
	})
	return data, err
}

func (w *gatedWorker) Forget(ctx context.Context, attempts []crank.AttemptID) error {
	return w.gate.through(func() error { return w.worker.Forget(ctx, attempts) })
}
