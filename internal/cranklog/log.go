// Package cranklog writes a process's log without ever holding up the code
// that logs: lines go through a bounded queue to one writer, and those that
// find it full, or that exceed the rate, are counted and left out.
package cranklog

import (
	"bytes"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Bounds of the log.
const (
	queueLines     = 4096            // lines that wait for the writer
	linesPerSecond = 1500            // on average; a busy planner writes about 300
	burstLines     = 6000            // at once
	reportPeriod   = 1 * time.Second // between reports of lines that were left out
	closeTimeout   = 500 * time.Millisecond
	batchBytes     = 32 << 10 // of one write
)

// Writer queues lines for a slower writer.
type Writer struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64 // since the last report
	total   atomic.Int64
	closed  chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that forwards lines to out until it is closed.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		lines: make(chan []byte, queueLines), limit: rate.NewLimiter(linesPerSecond, burstLines),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and takes each call for a line.
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

// Dropped returns how many lines were left out so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) drop(lines int64) {
	w.dropped.Add(lines)
	w.total.Add(lines)
}

// Close writes what is queued, within a short time.
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
			w.forward(out, line)
		case <-ticker.C:
			w.report(out)
		case <-w.closed:
			for {
				select {
				case line := <-w.lines:
					w.forward(out, line)
				default:
					w.report(out)
					return
				}
			}
		}
	}
}

// forward writes a line and those that wait behind it. A failed write has no
// place left to be reported, so the lines count as left out.
func (w *Writer) forward(out io.Writer, batch []byte) {
	count := int64(1)
	for len(batch) < batchBytes {
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

func (w *Writer) report(out io.Writer) {
	n := w.dropped.Swap(0)
	if n == 0 {
		return
	}
	var line bytes.Buffer
	slog.New(slog.NewJSONHandler(&line, nil)).Warn("log: lines left out", "count", n)
	if _, err := out.Write(line.Bytes()); err != nil {
		w.dropped.Add(n)
	}
}
