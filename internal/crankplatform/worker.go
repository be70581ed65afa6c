package crankplatform

import (
	"context"
	"net/http"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// Dialer keeps one client for each worker address.
type Dialer struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

// NewDialer returns a dialer without clients.
func NewDialer() *Dialer { return &Dialer{workers: make(map[string]*Worker)} }

// Worker implements crank.WorkerDialer.
func (d *Dialer) Worker(addr string) crank.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	w, ok := d.workers[addr]
	if !ok {
		w = &Worker{client: crankwire.NewClient(crankwire.ClientConfig{Addr: addr})}
		d.workers[addr] = w
	}
	return w
}

// Worker is a client of one worker.
type Worker struct {
	client *crankwire.Client
}

func (w *Worker) post(ctx context.Context, op, path string, in, out any) error {
	return w.client.Call(ctx, op, http.MethodPost, path, in, out)
}

// Reserve implements crank.Worker.
func (w *Worker) Reserve(ctx context.Context, r crank.Reservation) error {
	return w.post(ctx, "worker reserve", "/parts/reserve", r, nil)
}

// Start implements crank.Worker.
func (w *Worker) Start(ctx context.Context, s crank.Start) error {
	return w.post(ctx, "worker start", "/parts/start", s, nil)
}

// Fence implements crank.Worker.
func (w *Worker) Fence(ctx context.Context, c crank.Command) (crank.PartStatus, error) {
	var status crank.PartStatus
	err := w.post(ctx, "worker fence", "/parts/fence", c, &status)
	return status, err
}

// Stop implements crank.Worker.
func (w *Worker) Stop(ctx context.Context, c crank.Command) (crank.PartStatus, error) {
	var status crank.PartStatus
	err := w.post(ctx, "worker stop", "/parts/stop", c, &status)
	return status, err
}

// Renew implements crank.Worker. An answer that does not show the incarnation may be
// another program's and proves nothing.
func (w *Worker) Renew(ctx context.Context, r crank.Renewal) (crank.Report, error) {
	const op = "worker renew"
	var report crank.Report
	err := w.post(ctx, op, "/renew", r, &report)
	if err == nil && report.Epoch == "" {
		return crank.Report{}, crank.Fail(op, crank.KindUnknown, "the answer does not show the worker's incarnation")
	}
	return report, err
}

// Answer implements crank.Worker.
func (w *Worker) Answer(ctx context.Context, r crank.AnswerRequest) ([]byte, error) {
	var answer []byte
	err := w.post(ctx, "worker answer", "/answer", r, &answer)
	return answer, err
}

// Forget implements crank.Worker.
func (w *Worker) Forget(ctx context.Context, attempts []crank.AttemptID) error {
	return w.post(ctx, "worker forget", "/forget", attempts, nil)
}
