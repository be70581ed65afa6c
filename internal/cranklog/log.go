// Package cranklog writes a process's log without blocking the code that logs.
//
// Lines go through a bounded queue to one writing goroutine. A line that exceeds
// the rate limit or finds the queue full is dropped and counted, and the count is
// logged periodically.
package cranklog

import (
	"bytes"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the log.
const (
	maxQueuedLines    = 4096                   // waiting for output
	maxLinesPerSecond = 1500                   // on average; a busy planner writes about 300
	maxBurstLines     = 6000                   // at once
	reportPeriod      = 1 * time.Second        // between reports of dropped lines
	closeTimeout      = 500 * time.Millisecond // for writing the queued lines
	maxBatchBytes     = 32 << 10               // a write takes no further lines at this size
)

// Writer queues lines for an output that may be slow.
type Writer struct {
	lines      chan []byte
	limit      *rate.Limiter
	unreported atomic.Int64 // dropped since the last report
	dropped    atomic.Int64 // dropped since the start
	closed     chan struct{}
	done       chan struct{}
}

// NewWriter returns a writer that copies lines to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, maxQueuedLines), limit: rate.NewLimiter(maxLinesPerSecond, maxBurstLines),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer for one line per call. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.drop(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.drop(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

func (w *Writer) drop(lines int64) {
	w.unreported.Add(lines)
	w.dropped.Add(lines)
}

// Close writes the queued lines, for at most closeTimeout.
func (w *Writer) Close() {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(out, line)
		case <-ticker.C:
			w.reportDropped(out)
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.writeBatch(out, line)
				default:
					w.reportDropped(out)
					return
				}
			}
		}
	}
}

// writeBatch writes a line and those queued after it. Lines of a failed write count
// as dropped, as there is nowhere to log the error.
func (w *Writer) writeBatch(out io.Writer, batch []byte) {
	count := int64(1)
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			count++
			continue
		default:
		}
		break
	}
	if _, err := out.Write(batch); err != nil {
		w.drop(count)
	}
}

func (w *Writer) reportDropped(out io.Writer) {
	n := w.unreported.Swap(0)
	if n == 0 {
		return
	}
	var line bytes.Buffer
	slog.New(slog.NewJSONHandler(&line, nil)).Warn("log: lines left out", "count", n)
	if _, err := out.Write(line.Bytes()); err != nil {
		w.unreported.Add(n)
	}
}
