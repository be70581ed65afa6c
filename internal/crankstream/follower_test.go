package crankstream

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankstate"

	"github.com/matryer/is"
)

// shrinkingLog has one event at first and none later, as an older copy of the log has.
type shrinkingLog struct{ until time.Time }

// Append implements crank.Log.
func (l *shrinkingLog) Append(context.Context, crank.Stream, []byte) (crank.Offset, error) {
	return 0, crank.Fail("test", crank.KindUnavailable, "no appends")
}

// Read implements crank.Log.
func (l *shrinkingLog) Read(_ context.Context, stream crank.Stream, from crank.Offset, _ int, wait time.Duration) (crank.LogBatch, error) {
	time.Sleep(wait)
	if stream != crank.EventStream || time.Now().After(l.until) {
		return crank.LogBatch{}, nil
	}
	if from > 0 {
		return crank.LogBatch{End: 1}, nil
	}
	return crank.LogBatch{Entries: []crank.LogEntry{{}}, End: 1}, nil
}

// The answer of a log that ends before what was applied was taken for the proof that the
// state is current.
func TestLogThatEndsBeforeTheStateIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cache := crankcache.New()
		log := &shrinkingLog{until: time.Now().Add(5 * time.Second)}
		f := NewFollower(FollowerConfig{Log: log, Cache: cache, Logger: slog.New(slog.DiscardHandler), Results: make(chan crankstate.BatchResult, 1)})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(4*time.Second, func() { is.True(!cache.View().Stale()) })
		is.NoErr(f.Run(ctx))
		is.True(cache.View().AsOf.Before(log.until))
	})
}
