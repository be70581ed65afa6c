package crankrelay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// StorePeer is the store as another instance reaches it.
type StorePeer struct {
	ID    string
	Store crank.Store
}

// StoreConfig sets up a Store.
type StoreConfig struct {
	Primary crank.Store        // the platform's store, reached directly
	Peers   func() []StorePeer // other instances, the preferred one first
	Logger  *slog.Logger
	Scope   tally.Scope
}

// Times of detours.
const (
	hedgeDelay = 400 * time.Millisecond // without an answer the next path is tried too; a slow store answers within it
	peerRest   = 1 * time.Second        // a peer that failed is not asked again for so long
	maxPaths   = 3                      // paths that one call tries
)

// Store is a crank.Store that falls back to peers while this instance does not
// reach the platform's store. Several paths may carry the same call: appends
// are told apart by their sequence number or by the end of the topic, or do no
// harm when they are carried out twice.
type Store struct {
	StoreConfig
	mu     sync.Mutex
	lost   bool
	detour time.Time            // until then peers are asked first
	rests  map[string]time.Time // peers that are not asked before then
}

var _ crank.Store = (*Store)(nil)

// NewStore returns a store that asks the primary first.
func NewStore(c StoreConfig) *Store {
	return &Store{StoreConfig: c, rests: make(map[string]time.Time)}
}

// path is one way to the store.
type path struct {
	peer  string // empty for the primary
	store crank.Store
}

// reply is the answer that came on a path.
type reply struct {
	path
	batch crank.KeyedBatch
	err   error
}

// retryable reports whether another path may bring a better answer.
func (r reply) retryable() bool {
	if r.err == nil {
		return false
	}
	var wrong *crank.SequenceError
	kind := crank.KindOf(r.err)
	return kind == crank.KindUnknown || (kind == crank.KindUnavailable && !errors.As(r.err, &wrong))
}

// Append implements crank.Store.
func (s *Store) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	r := s.ask(ctx, 0, func(ctx context.Context, p path, _ bool) reply {
		end, err := p.store.Append(ctx, a)
		return reply{path: p, batch: crank.KeyedBatch{End: end}, err: err}
	})
	return r.batch.End, r.err
}

// Read implements crank.Store. Only the first path waits for a record.
func (s *Store) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	r := s.ask(ctx, wait, func(ctx context.Context, p path, first bool) reply {
		patience := wait
		if !first {
			patience = 0
		}
		batch, err := p.store.Read(ctx, topic, from, patience)
		return reply{path: p, batch: batch, err: err}
	})
	return r.batch, r.err
}

// Newest implements crank.Store.
func (s *Store) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	r := s.ask(ctx, 0, func(ctx context.Context, p path, _ bool) reply {
		batch, err := p.store.Newest(ctx, topic)
		return reply{path: p, batch: batch, err: err}
	})
	return r.batch, r.err
}

// ask makes a call on one path after the other until the store answers. The
// next path is tried when one fails, or gives no answer for a while. The error
// is of KindUnavailable only when the call certainly had no effect on any path.
func (s *Store) ask(ctx context.Context, wait time.Duration, call func(ctx context.Context, p path, first bool) reply) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, maxPaths)
	tried := make(map[string]bool)
	pending := 0
	launch := func() {
		p, ok := s.next(tried)
		if !ok {
			return
		}
		first := len(tried) == 0
		tried[p.peer] = true
		pending++
		go func() { replies <- call(ctx, p, first) }()
	}
	launch()
	timer := time.NewTimer(wait + hedgeDelay)
	defer timer.Stop()
	uncertain := false
	var failure reply // of the path that was tried first
	for {
		select {
		case r := <-replies:
			pending--
			if !r.retryable() {
				s.worked(r, tried, failure.err)
				return r
			}
			if failure.err == nil {
				failure = r
			}
			uncertain = uncertain || crank.KindOf(r.err) == crank.KindUnknown
			over := ctx.Err() != nil
			if !over {
				s.rest(r.peer)
				launch()
			}
			if pending == 0 || over {
				if uncertain || pending > 0 {
					failure.err = &crank.Error{Op: "store call", Kind: crank.KindUnknown, Cause: failure.err}
				}
				return failure
			}
		case <-timer.C:
			launch()
			timer.Reset(hedgeDelay)
		}
	}
}

// next chooses the next path of a call.
func (s *Store) next(tried map[string]bool) (path, bool) {
	if len(tried) == maxPaths {
		return path{}, false
	}
	direct, usable := path{store: s.Primary}, !tried[""]
	if usable && (!s.detouring() || len(tried) == 1) {
		return direct, true
	}
	now := time.Now()
	for _, p := range s.Peers() {
		if !tried[p.ID] && !now.Before(s.restOf(p.ID)) {
			return path{p.ID, p.Store}, true
		}
	}
	return direct, usable
}

func (s *Store) restOf(peer string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rests[peer]
}

// rest leaves a peer alone for a while after a failure.
func (s *Store) rest(peer string) {
	if peer == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rests[peer] = time.Now().Add(peerRest)
}

// worked notes which path brought the answer. The primary is lost when it was
// tried and a peer answered instead.
func (s *Store) worked(r reply, tried map[string]bool, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.peer == "" && s.lost:
		s.lost, s.detour = false, time.Time{}
		s.Logger.Info("relay: store reached directly again")
	case r.peer == "":
	default:
		s.Scope.Counter("store_detours").Inc(1)
		if tried[""] {
			s.detour = time.Now().Add(detourTime)
		}
		if tried[""] && !s.lost {
			s.lost = true
			s.Logger.Warn("relay: store reached through another instance", "peer", r.peer, "error", failure)
		}
	}
}

func (s *Store) detouring() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.detour)
}

// Direct returns the store for other instances: it refuses at once while this
// instance does not reach the store itself, and never asks a peer.
func (s *Store) Direct() crank.Store { return direct{s} }

type direct struct{ s *Store }

func (d direct) refuse(op string) error {
	if !d.s.detouring() {
		return nil
	}
	return crank.Fail(op, crank.KindUnavailable, "this instance does not reach the store itself")
}

// Append implements crank.Store.
func (d direct) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	if err := d.refuse("store append"); err != nil {
		return 0, err
	}
	return d.s.Primary.Append(ctx, a)
}

// Read implements crank.Store.
func (d direct) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	if err := d.refuse("store read"); err != nil {
		return crank.KeyedBatch{}, err
	}
	return d.s.Primary.Read(ctx, topic, from, wait)
}

// Newest implements crank.Store.
func (d direct) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	if err := d.refuse("store newest"); err != nil {
		return crank.KeyedBatch{}, err
	}
	return d.s.Primary.Newest(ctx, topic)
}
