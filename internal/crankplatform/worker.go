package crankplatform

import (
	"context"
	"net/http"
	"sync"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
)

// Dialer creates the clients of workers and reuses one for each address. It
// implements crank.WorkerDialer.
type Dialer struct {
	mu      sync.Mutex
	workers map[string]*Worker
}

// NewDialer returns an empty dialer.
func NewDialer() *Dialer { return &Dialer{workers: make(map[string]*Worker)} }

// Worker returns the client of the worker at an address.
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

// Worker calls one worker. It implements crank.Worker.
type Worker struct {
	client *crankwire.Client
}

func (w *Worker) post(ctx context.Context, op, path string, in, out any) error {
	return w.client.Call(ctx, op, http.MethodPost, path, in, out)
}

// Reserve holds resources for a part until the reservation expires.
func (w *Worker) Reserve(ctx context.Context, r crank.Reservation) error {
	return w.post(ctx, "worker reserve", "/parts/reserve", r, nil)
}

// Start runs a reserved part. Starting a part twice has no effect.
func (w *Worker) Start(ctx context.Context, s crank.Start) error {
	return w.post(ctx, "worker start", "/parts/start", s, nil)
}

// Fence raises the fencing token of a part and releases its reservation. A part
// that was not started cannot be started afterwards.
func (w *Worker) Fence(ctx context.Context, c crank.Command) (crank.PartStatus, error) {
	var status crank.PartStatus
	err := w.post(ctx, "worker fence", "/parts/fence", c, &status)
	return status, err
}

// Stop ends a running part, after a checkpoint if it supports them.
func (w *Worker) Stop(ctx context.Context, c crank.Command) (crank.PartStatus, error) {
	var status crank.PartStatus
	err := w.post(ctx, "worker stop", "/parts/stop", c, &status)
	return status, err
}

// Renew extends leases and returns the changes at the worker.
func (w *Worker) Renew(ctx context.Context, r crank.Renewal) (crank.Report, error) {
	var report crank.Report
	err := w.post(ctx, "worker renew", "/renew", r, &report)
	return report, err
}

// Answer returns the answer of a finished part.
func (w *Worker) Answer(ctx context.Context, a crank.AttemptID) ([]byte, error) {
	var answer []byte
	err := w.post(ctx, "worker answer", "/answer", a, &answer)
	return answer, err
}

// Forget lets the worker discard the records of ended attempts.
func (w *Worker) Forget(ctx context.Context, attempts []crank.AttemptID) error {
	return w.post(ctx, "worker forget", "/forget", attempts, nil)
}
