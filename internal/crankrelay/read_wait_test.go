package crankrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// slowReader has no record. It answers some time after it has looked for one.
type slowReader struct {
	scriptedStore
	looked time.Time
}

// Read implements crank.Store.
func (s *slowReader) Read(_ context.Context, _ crank.Topic, _ crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	time.Sleep(wait)
	s.looked = time.Now()
	time.Sleep(300 * time.Millisecond)
	return crank.KeyedBatch{}, nil
}

// The second path of a read that had failed early did not wait for a record, but its slow
// answer came after the wait and passed for one that shows all records until then.
func TestAnswerAfterTheWaitShowsAllRecordsUntilThen(t *testing.T) {
	const wait = 200 * time.Millisecond
	for _, primary := range []scriptedStore{{err: refused}, {err: unknown}, {err: unknown, delay: 150 * time.Millisecond}, {err: refused, delay: 250 * time.Millisecond}, {delay: noAnswer}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			peer := new(slowReader)
			s := newStore(&primary)
			s.Peers = func() []StorePeer { return []StorePeer{{ID: "a", Store: peer}} }
			begun := time.Now()
			_, err := s.Read(t.Context(), crank.JobTopic, 0, wait)
			is.NoErr(err)
			is.True(time.Since(begun) < wait || !peer.looked.Before(begun.Add(wait)))
		})
	}
}
