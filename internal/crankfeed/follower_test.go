package crankfeed

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// pagedStore returns newest records that were read while others were appended, and one
// record per read.
type pagedStore struct {
	crank.Store
	newest  crank.KeyedBatch
	mu      sync.Mutex
	records []crank.KeyedRecord // of the topic, by offset
}

func (s *pagedStore) setRecords(records []crank.KeyedRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = records
}

// Newest implements crank.Store.
func (s *pagedStore) Newest(context.Context, crank.Topic) (crank.KeyedBatch, error) {
	return s.newest, nil
}

// Read implements crank.Store.
func (s *pagedStore) Read(_ context.Context, _ crank.Topic, from crank.Offset, _ time.Duration) (crank.KeyedBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := crank.Offset(len(s.records))
	return crank.KeyedBatch{Records: s.records[from:min(from+1, end)], End: end}, nil
}

// valueSink keeps all values of a key in the order of their arrival.
type valueSink struct {
	key    string
	values []string
}

// Reset implements Sink.
func (s *valueSink) Reset(records []crank.KeyedRecord) { s.Apply(records) }

// Apply implements Sink.
func (s *valueSink) Apply(records []crank.KeyedRecord) {
	for _, r := range records {
		if r.Key == s.key {
			s.values = append(s.values, string(r.Value))
		}
	}
}

// CaughtUp implements Sink.
func (*valueSink) CaughtUp(time.Time, crank.Offset) {}

// A key that changed while its page was loaded must not go back to an older value when
// the records since the first page are read.
func TestValueNewerThanTheFirstPageStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		record := func(key, value string, offset crank.Offset) crank.KeyedRecord {
			return crank.KeyedRecord{Key: key, Value: []byte(value), Offset: offset}
		}
		records := []crank.KeyedRecord{
			record("a", "1", 0), record("w", "1", 1), // the first page ends here
			record("w", "2", 2), record("a", "2", 3), record("w", "3", 4), record("w", "4", 5),
		}
		store := &pagedStore{records: records, newest: crank.KeyedBatch{Records: []crank.KeyedRecord{records[0], records[4]}, End: 2}}
		sink := &valueSink{key: "w"}
		f := NewFollower(FollowerConfig{Store: store, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), MinInterval: Constant(time.Second), Sink: sink})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		is.NoErr(f.Run(ctx))
		is.Equal(sink.values, []string{"3", "4"})
	})
}

// An offset beyond the topic in a page must not hide the later records of its key.
func TestOffsetBeyondTheTopicHidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		odd := crank.KeyedRecord{Key: "w", Value: []byte("1"), Offset: 1 << 60}
		store := &pagedStore{newest: crank.KeyedBatch{Records: []crank.KeyedRecord{odd}}}
		sink := &valueSink{key: "w"}
		f := NewFollower(FollowerConfig{Store: store, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), MinInterval: Constant(time.Second), Sink: sink})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(5500*time.Millisecond, func() { store.setRecords([]crank.KeyedRecord{{Key: "w", Value: []byte("2")}}) })
		is.NoErr(f.Run(ctx))
		is.Equal(sink.values, []string{"1", "2"})
	})
}

// staleStore ends before what was read of it.
type staleStore struct{ crank.Store }

// Newest implements crank.Store.
func (staleStore) Newest(context.Context, crank.Topic) (crank.KeyedBatch, error) {
	return crank.KeyedBatch{End: 3}, nil
}

// Read implements crank.Store.
func (staleStore) Read(_ context.Context, _ crank.Topic, _ crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	time.Sleep(wait)
	return crank.KeyedBatch{End: 2}, nil
}

// currentSink keeps the newest time at which the topic counts as current.
type currentSink struct {
	valueSink
	at time.Time
}

// CaughtUp implements Sink.
func (s *currentSink) CaughtUp(at time.Time, _ crank.Offset) { s.at = at }

// An answer of a store that ends before what was read of it, as an older copy of it does,
// was taken for the proof that nothing is newer.
func TestAnswerThatEndsBeforeWhatWasReadIsNotCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sink, loaded := new(currentSink), time.Now()
		f := NewFollower(FollowerConfig{Store: staleStore{}, Logger: slog.New(slog.DiscardHandler), Wait: Constant(time.Second), Sink: sink})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		is.NoErr(f.Run(ctx))
		is.Equal(sink.at, loaded)
	})
}
