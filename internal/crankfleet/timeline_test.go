package crankfleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// fakeTopic is a topic whose end and uptime a test sets.
type fakeTopic struct {
	end    crank.Offset
	uptime time.Duration
	takes  time.Duration // one call
	err    error
}

// End implements crank.TopicEnds.
func (f *fakeTopic) End(context.Context, crank.Topic, crank.Offset) (crank.Offset, error) {
	f.uptime += f.takes
	return f.end, f.err
}

func (f *fakeTopic) timeline() *Timeline {
	return NewTimeline(TimelineConfig{Ends: f, Uptime: func() time.Duration { return f.uptime }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// mark sets the time and the end of the topic and adds a mark.
func (f *fakeTopic) mark(t *Timeline, at time.Duration, end crank.Offset) {
	f.uptime, f.end = at, end
	t.addMark(context.Background())
}

func TestTimelineBoundsTheTimeBetweenRecords(t *testing.T) {
	is := is.New(t)
	f := &fakeTopic{takes: 100 * time.Millisecond}
	line := f.timeline()
	f.mark(line, 1*time.Second, 10)
	f.mark(line, 2*time.Second, 20)
	f.mark(line, 3*time.Second, 20)
	f.mark(line, 4*time.Second, 30)
	f.uptime = 9 * time.Second
	for _, v := range []struct {
		first, last crank.Offset
		bound       time.Duration // of the time between them, 0 if it is not known
	}{
		{5, 15, 0},                                // the first one may be of any age
		{10, 19, 1100 * time.Millisecond},         // between the first two marks
		{19, 20, 3100 * time.Millisecond},         // 1 s to 4.1 s
		{20, 25, 1100 * time.Millisecond},         // after the newest mark that ends at 20
		{29, 30, 6 * time.Second},                 // the last one may have been stored just now
		{30, 31, 5*time.Second + time.Nanosecond}, // both may
	} {
		bound := v.bound + time.Nanosecond
		is.Equal(line.StoredWithin(v.first, v.last, bound), v.bound > 0)
		is.True(!line.StoredWithin(v.first, v.last, v.bound-time.Nanosecond))
	}
}

func TestTimelineSkipsFailedMarks(t *testing.T) {
	is := is.New(t)
	f := &fakeTopic{}
	line := f.timeline()
	f.mark(line, time.Second, 10)
	f.err = errors.New("the store is down")
	f.mark(line, 2*time.Second, 0)
	f.err = nil
	f.mark(line, 9*time.Second, 20)
	is.True(!line.StoredWithin(10, 19, 8*time.Second))
	is.True(line.StoredWithin(10, 19, 8*time.Second+time.Nanosecond))
}

func TestTimelineWithoutMarksKnowsNothing(t *testing.T) {
	is := is.New(t)
	var none *Timeline
	for _, line := range []*Timeline{none, (&fakeTopic{}).timeline()} {
		_, ok := line.EndBefore(0)
		is.True(!ok)
		is.True(!line.StoredWithin(1, 2, time.Hour))
	}
}

func TestTimelineKeepsTheNewestMarks(t *testing.T) {
	is := is.New(t)
	f := &fakeTopic{}
	line := f.timeline()
	for i := range 3 * maxMarks {
		f.mark(line, time.Duration(i)*time.Second, crank.Offset(i))
	}
	is.Equal(len(line.marks), maxMarks)
	end, ok := line.EndBefore(10 * time.Second)
	is.True(ok)
	is.Equal(end, crank.Offset(3*maxMarks-11))
	end, ok = line.EndBefore(time.Hour)
	is.True(ok)
	is.Equal(end, crank.Offset(2*maxMarks)) // the oldest one
}

func decodeJSON(r crank.KeyedRecord) (crank.WorkerEntry, error) {
	var e crank.WorkerEntry
	return e, json.Unmarshal(r.Value, &e)
}

func entryRecord(e crank.WorkerEntry, offset crank.Offset) crank.KeyedRecord {
	value, err := json.Marshal(e)
	if err != nil {
		panic(err) // an entry always has a JSON form
	}
	return crank.KeyedRecord{Key: e.ID, Value: value, Offset: offset}
}

// A draining worker that was cut off counted as having left, and its runs were started
// elsewhere while they went on: an instance that was suspended while the entry expired
// took its own pause for no time at all.
func TestEntryThatExpiredDuringASuspensionDoesNotShowADeparture(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	for _, v := range []struct {
		name      string
		suspended time.Duration
		left      bool
	}{{"running", 0, true}, {"suspended", 4 * time.Second, false}} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			f := &fakeTopic{}
			line := f.timeline()
			entry := crank.WorkerEntry{ID: "w1", StartTimeMs: 7, Draining: true}
			records := []crank.KeyedRecord{entryRecord(entry, 11), {Key: "w1", Offset: 12}}
			applied := NewList(ListConfig{Decode: decodeJSON, Heartbeat: heartbeat, Timeline: line, Logger: line.Logger})
			read := NewList(applied.ListConfig)
			f.mark(line, time.Second, 10)
			applied.Apply(records[:1])
			f.uptime += 1500*time.Millisecond + v.suspended
			applied.Apply(records[1:])
			read.ReadHistory(records)
			is.Equal(applied.HasLeft("w1", 7), v.left)
			is.Equal(read.HasLeft("w1", 7), v.left)
		})
	}
}

func TestHistoryShowsOnlyDrainingWorkersThatWereRemovedSoon(t *testing.T) {
	is := is.New(t)
	f := &fakeTopic{}
	line := f.timeline()
	f.mark(line, time.Second, 0)
	f.mark(line, 2*time.Second, 10)
	f.mark(line, 5200*time.Millisecond, 20)
	list := NewList(ListConfig{Decode: decodeJSON, Heartbeat: 1500 * time.Millisecond, Timeline: line, Logger: line.Logger})
	entry := func(id string, offset crank.Offset, draining bool) crank.KeyedRecord {
		return entryRecord(crank.WorkerEntry{ID: id, StartTimeMs: 7, Draining: draining}, offset)
	}
	list.ReadHistory([]crank.KeyedRecord{
		entry("silent", 9, true), entry("left", 9, true), entry("ready", 10, false), entry("left", 10, true), entry("unreadable", 11, true),
		{Key: "unreadable", Value: []byte("?"), Offset: 12}, {Key: "unreadable", Offset: 13}, {Key: "unseen", Offset: 13},
		{Key: "ready", Offset: 14}, {Key: "left", Offset: 15}, {Key: "silent", Offset: 16},
	})
	is.True(list.HasLeft("left", 7))
	is.True(list.HasLeft("left", 6)) // an earlier incarnation
	is.True(!list.HasLeft("left", 8))
	for _, id := range []string{"silent", "ready", "unreadable", "unseen"} {
		is.True(!list.HasLeft(id, 7))
	}
}
