// Package crankfakelog is an in-memory stand-in for the platform's log service
// with fault injection. Offsets of a stream start at 0 and have no gaps.
package crankfakelog

import (
	"context"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config holds the settings of a Log.
type Config struct {
	Retention time.Duration // age at which entries are dropped, 0 for never
}

// Faults are the faults that a Log injects.
type Faults struct {
	Down          bool          // every call fails at once and has no effect
	DropResponse  bool          // appends take effect, but return an error
	Delay         time.Duration // before each call takes effect
	ResponseDelay time.Duration // between the effect and the response of each call
}

// Log is an in-memory crank.Log. It is safe for concurrent use.
type Log struct {
	config  Config
	mu      sync.Mutex
	streams map[crank.Stream]*stream
	faults  Faults
	appends int
}

type stream struct {
	entries    []crank.LogEntry
	appendedAt []time.Time
	first      crank.Offset
	changed    chan struct{} // closed and replaced on each append
}

// New returns an empty log.
func New(c Config) *Log {
	return &Log{config: c, streams: make(map[crank.Stream]*stream)}
}

// SetFaults replaces the faults for later calls. Down also fails reads under way.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops all entries of a stream before an offset.
func (l *Log) Expire(name crank.Stream, before crank.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).dropBefore(before)
}

// Append implements crank.Log.
func (l *Log) Append(ctx context.Context, name crank.Stream, data []byte) (crank.Offset, error) {
	f, err := l.beforeCall(ctx)
	if err != nil {
		return 0, err
	}
	offset := l.appendEntry(name, data)
	if f.DropResponse {
		return 0, crank.Fail("log append", crank.KindUnknown, "the response was lost")
	}
	if err := sleep(ctx, f.ResponseDelay); err != nil {
		return 0, crank.Wrap("log append", crank.KindUnknown, err)
	}
	return offset, nil
}

func (l *Log) appendEntry(name crank.Stream, data []byte) crank.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.end()
	s.entries = append(s.entries, crank.LogEntry{Offset: offset, Data: append([]byte(nil), data...)})
	s.appendedAt = append(s.appendedAt, time.Now())
	l.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// Read implements crank.Log.
func (l *Log) Read(ctx context.Context, name crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	f, err := l.beforeCall(ctx)
	if err != nil {
		return crank.LogBatch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := l.readEntries(name, from, limit)
		if err != nil || len(b.Entries) > 0 || wait == 0 {
			return l.finishRead(ctx, f, b, err)
		}
		select {
		case <-changed:
		case <-timer.C:
			return l.finishRead(ctx, f, b, nil)
		case <-ctx.Done():
			return crank.LogBatch{}, crank.Wrap("log read", crank.KindUnavailable, ctx.Err())
		}
	}
}

// finishRead delays the response of a read and fails it if the log is down.
func (l *Log) finishRead(ctx context.Context, f Faults, b crank.LogBatch, err error) (crank.LogBatch, error) {
	if sleepErr := sleep(ctx, f.ResponseDelay); sleepErr != nil {
		return crank.LogBatch{}, crank.Wrap("log read", crank.KindUnavailable, sleepErr)
	}
	l.mu.Lock()
	down := l.faults.Down
	l.mu.Unlock()
	if down {
		return crank.LogBatch{}, crank.Fail("log read", crank.KindUnavailable, "the log is down")
	}
	return b, err
}

func (l *Log) readEntries(name crank.Stream, from crank.Offset, limit int) (crank.LogBatch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	l.dropExpired(s)
	b := crank.LogBatch{First: s.first, End: s.end()}
	if from < s.first {
		return b, nil, crank.Fail("log read", crank.KindExpired, "offset %d is no longer kept, the first is %d", from, s.first)
	}
	if from < b.End {
		rest := s.entries[from-s.first:]
		b.Entries = append([]crank.LogEntry(nil), rest[:min(limit, len(rest))]...)
	}
	return b, s.changed, nil
}

// beforeCall injects the faults that precede the effect of a call.
func (l *Log) beforeCall(ctx context.Context) (Faults, error) {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return f, crank.Fail("log call", crank.KindUnavailable, "the log is down")
	}
	if err := sleep(ctx, f.Delay); err != nil {
		return f, crank.Wrap("log call", crank.KindUnavailable, err)
	}
	return f, nil
}

func (l *Log) stream(name crank.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) dropExpired(s *stream) {
	if l.config.Retention == 0 {
		return
	}
	oldest := time.Now().Add(-l.config.Retention)
	n := 0
	for n < len(s.appendedAt) && s.appendedAt[n].Before(oldest) {
		n++
	}
	s.dropBefore(s.first + crank.Offset(n))
}

func (s *stream) end() crank.Offset { return s.first + crank.Offset(len(s.entries)) }

func (s *stream) dropBefore(offset crank.Offset) {
	n := max(0, min(int(offset-s.first), len(s.entries)))
	s.entries = s.entries[n:]
	s.appendedAt = s.appendedAt[n:]
	s.first += crank.Offset(n)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
