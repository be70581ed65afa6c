package crankfleet

import (
	"context"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
)

// TimelineConfig holds the settings and dependencies of a Timeline.
type TimelineConfig struct {
	Ends   crank.TopicEnds
	Period time.Duration // between two marks, 0 for none
	Uptime crank.Uptime
	Logger *slog.Logger
}

// Limits of a Timeline.
const (
	markTimeout = 500 * time.Millisecond // of the call for one mark
	maxMarks    = 64
)

// Timeline bounds the times at which records of the worker topic were stored: it marks
// from time to time where the topic ends. Times are uptimes, since a suspended instance
// must not take the time that it missed for none.
type Timeline struct {
	TimelineConfig
	mu      sync.Mutex
	marks   []mark // oldest first
	failing bool   // the last call failed
}

// mark is the end of the topic at some time between two uptimes.
type mark struct {
	sent, received time.Duration
	end            crank.Offset
}

// NewTimeline returns a timeline without marks. It works while Run runs.
func NewTimeline(c TimelineConfig) *Timeline { return &Timeline{TimelineConfig: c} }

// Run adds marks until the context ends.
func (t *Timeline) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if t.Period <= 0 {
			<-ctx.Done()
			return nil
		}
		t.addMark(ctx)
		crankfeed.Sleep(ctx, t.Period)
	}
	return nil
}

func (t *Timeline) addMark(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	t.mu.Lock()
	from := crank.Offset(0)
	if n := len(t.marks); n > 0 {
		from = t.marks[n-1].end
	}
	t.mu.Unlock()
	sent := t.Uptime()
	end, err := t.Ends.End(callCtx, crank.WorkerTopic, from)
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if failing := err != nil; failing != t.failing {
		t.failing = failing
		t.Logger.Info("list: end of the topic", "read", !failing, "end", end, "error", err)
	}
	if err != nil {
		return
	}
	t.marks = append(t.marks, mark{sent, t.Uptime(), end})
	if len(t.marks) > maxMarks {
		t.marks = append([]mark(nil), t.marks[1:]...)
	}
}

// StoredWithin reports whether it is certain that less than d passed from the storing of
// one record to that of a later one, which was read by now.
func (t *Timeline) StoredWithin(first, last crank.Offset, d time.Duration) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var after time.Duration // the first one was stored later
	found := false
	before := t.Uptime() // the last one was stored earlier
	for _, m := range t.marks {
		if m.end <= first {
			after, found = m.sent, true
		}
		if m.end > last {
			before = m.received
			break
		}
	}
	return found && before-after < d
}

// EndBefore returns where the topic ended at least d ago, or at the oldest mark. It
// returns false without any mark.
func (t *Timeline) EndBefore(d time.Duration) (crank.Offset, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.marks) == 0 {
		return 0, false
	}
	end := t.marks[0].end
	for _, m := range t.marks {
		if t.Uptime()-m.received >= d {
			end = m.end
		}
	}
	return end, true
}
