package crankguard

import (
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// cause is why a request is refused or a connection closed.
type cause int

const (
	noCause cause = iota
	causeHeadSize
	causeEmptyLines
	causeHeadTime
	causeProgress
	causeBodyTime
	causeMemory
	causeShed
	causeFragmented
	causeSlot
	causeNoSlot
	causes
)

// causeNames are the values of the tag cause and of the log lines.
var causeNames = [causes]string{
	causeHeadSize:   "head-size",
	causeEmptyLines: "empty-lines",
	causeHeadTime:   "head-timeout",
	causeProgress:   "body-stalled",
	causeBodyTime:   "body-timeout",
	causeMemory:     "memory",
	causeShed:       "memory-largest",
	causeFragmented: "tiny-chunks",
	causeSlot:       "connections-slowest",
	causeNoSlot:     "connections",
}

// logInterval is the shortest time between two log lines of a cause.
const logInterval = 10 * time.Second

// report counts and logs by cause.
type report struct {
	logger   *slog.Logger
	counters [causes]tally.Counter
	lines    [causes]rate.Sometimes
	total    [causes]atomic.Int64
}

func newReport(logger *slog.Logger, scope tally.Scope) *report {
	r := &report{logger: logger}
	for c := causeHeadSize; c < causes; c++ {
		r.counters[c] = scope.Tagged(map[string]string{"cause": causeNames[c]}).Counter("guard_refusals")
		r.lines[c].Interval = logInterval
	}
	return r
}

// note counts a refusal and logs it if the last line of its cause is old enough.
func (r *report) note(c cause) {
	r.counters[c].Inc(1)
	total := r.total[c].Add(1)
	r.lines[c].Do(func() { r.logger.Warn("guard: refused", "cause", causeNames[c], "total", total) })
}
