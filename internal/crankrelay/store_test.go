package crankrelay

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// scriptedStore answers every call after a delay.
type scriptedStore struct {
	delay time.Duration
	err   error
	calls int
}

func (s *scriptedStore) answer(ctx context.Context) error {
	s.calls++
	select {
	case <-time.After(s.delay):
		return s.err
	case <-ctx.Done():
		return crank.Wrap("test", crank.KindUnknown, ctx.Err())
	}
}

// Append implements crank.Store.
func (s *scriptedStore) Append(ctx context.Context, _ crank.StoreAppend) (crank.Offset, error) {
	return 0, s.answer(ctx)
}

// Read implements crank.Store.
func (s *scriptedStore) Read(ctx context.Context, _ crank.Topic, _ crank.Offset, _ time.Duration) (crank.KeyedBatch, error) {
	return crank.KeyedBatch{}, s.answer(ctx)
}

// Newest implements crank.Store.
func (s *scriptedStore) Newest(ctx context.Context, _ crank.Topic) (crank.KeyedBatch, error) {
	return crank.KeyedBatch{}, s.answer(ctx)
}

// lateRefusal answers after its context has ended that nothing was done.
type lateRefusal struct{ scriptedStore }

// Append implements crank.Store.
func (s *lateRefusal) Append(ctx context.Context, _ crank.StoreAppend) (crank.Offset, error) {
	<-ctx.Done()
	return 0, refused
}

// deafStore carries a call on after its callers have left.
type deafStore struct{ scriptedStore }

// Append implements crank.Store.
func (s *deafStore) Append(context.Context, crank.StoreAppend) (crank.Offset, error) {
	time.Sleep(2 * time.Second)
	return 0, nil
}

const silent = time.Hour

var (
	refused   = crank.Fail("test", crank.KindUnavailable, "refused")
	unknown   = crank.Fail("test", crank.KindUnknown, "reset")
	conflict  = crank.Fail("test", crank.KindConflict, "elsewhere")
	appending = crank.StoreAppend{Topic: crank.JobTopic}
)

func newStore(primary *scriptedStore, peers ...*scriptedStore) *Store {
	return NewStore(StoreConfig{
		Primary: primary, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Peers: func() []StorePeer {
			var p []StorePeer
			for i, store := range peers {
				p = append(p, StorePeer{ID: string(rune('a' + i)), Store: store})
			}
			return p
		},
	})
}

func TestPathsOfAnAppend(t *testing.T) {
	for _, c := range []struct {
		name    string
		primary scriptedStore
		peers   []*scriptedStore
		want    crank.Kind // empty for success
		within  time.Duration
	}{
		{"direct", scriptedStore{}, []*scriptedStore{{}}, "", time.Millisecond},
		{"primary refuses", scriptedStore{err: refused}, []*scriptedStore{{}}, "", time.Millisecond},
		{"primary is silent", scriptedStore{delay: silent}, []*scriptedStore{{}}, "", hedgeDelay},
		{"a peer refuses as well", scriptedStore{err: refused}, []*scriptedStore{{err: refused}, {}}, "", time.Millisecond},
		{"a peer is silent as well", scriptedStore{delay: silent}, []*scriptedStore{{delay: silent}, {}}, "", 2 * hedgeDelay},
		{"all refuse", scriptedStore{err: refused}, []*scriptedStore{{err: refused}, {err: refused}}, crank.KindUnavailable, time.Millisecond},
		{"one may have done it", scriptedStore{err: unknown}, []*scriptedStore{{err: refused}}, crank.KindUnknown, time.Millisecond},
		{"a peer may have done it", scriptedStore{err: refused}, []*scriptedStore{{err: unknown}, {err: refused}}, crank.KindUnknown, time.Millisecond},
		{"another append came first", scriptedStore{err: conflict}, []*scriptedStore{{}}, crank.KindConflict, time.Millisecond},
		{"no peers", scriptedStore{err: refused}, nil, crank.KindUnavailable, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				begun := time.Now()
				_, err := newStore(&c.primary, c.peers...).Append(t.Context(), appending)
				if c.want == "" {
					is.NoErr(err)
				} else {
					is.Equal(crank.KindOf(err), c.want)
				}
				is.True(time.Since(begun) <= c.within)
			})
		})
	}
}

// A refusal by one path says nothing about another one that has the call.
func TestRefusalWhileAnotherPathHasTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for _, peerDelay := range []time.Duration{0, 100 * time.Millisecond, silent} {
			ctx, cancel := context.WithTimeout(t.Context(), hedgeDelay+50*time.Millisecond)
			_, err := newStore(&scriptedStore{delay: silent}, &scriptedStore{delay: peerDelay, err: refused}).Append(ctx, appending)
			cancel()
			is.Equal(crank.KindOf(err), crank.KindUnknown)
		}
	})
}

func TestRefusalAfterTheEndOfACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewStore(StoreConfig{
			Primary: &deafStore{}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			Peers: func() []StorePeer { return []StorePeer{{ID: "a", Store: &lateRefusal{}}} },
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := s.Append(ctx, appending)
		is.Equal(crank.KindOf(err), crank.KindUnknown)
		time.Sleep(2 * time.Second)
	})
}

func TestPeersAreAskedFirstWhileThePrimaryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		primary, peer := &scriptedStore{delay: silent}, &scriptedStore{}
		s := newStore(primary, peer)
		for range 5 {
			_, err := s.Append(t.Context(), appending)
			is.NoErr(err)
		}
		is.Equal(primary.calls, 1)
		is.Equal(peer.calls, 5)
		_, err := s.Direct().Append(t.Context(), appending)
		is.Equal(crank.KindOf(err), crank.KindUnavailable) // at once, and not through the peer
		is.Equal(peer.calls, 5)

		primary.delay = 0
		time.Sleep(detourTime)
		_, err = s.Append(t.Context(), appending)
		is.NoErr(err)
		is.Equal(primary.calls, 2)
		_, err = s.Direct().Append(t.Context(), appending)
		is.NoErr(err)
	})
}

func TestPeerThatFailedRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		peer := &scriptedStore{err: refused}
		s := newStore(&scriptedStore{err: refused}, peer)
		for range 10 {
			_, err := s.Append(t.Context(), appending)
			is.Equal(crank.KindOf(err), crank.KindUnavailable)
		}
		is.Equal(peer.calls, 1)
		time.Sleep(peerRest)
		_, _ = s.Append(t.Context(), appending)
		is.Equal(peer.calls, 2)
	})
}
