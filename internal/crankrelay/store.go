package crankrelay

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// StorePeer is another instance and the store called through it.
type StorePeer struct {
	ID    string
	Store crank.Store
}

// StoreConfig holds the settings and dependencies of a Store.
type StoreConfig struct {
	Primary   crank.Store        // the platform's store, called directly
	Peers     func() []StorePeer // other instances, the preferred one first
	Instances func() int         // that share the store
	Logger    *slog.Logger
	Scope     tally.Scope
	// Certain has appends of which nothing was sent fail with KindUnavailable.
	Certain bool
	// KeepPeer has calls go to the peer that answered last before others are tried.
	//
	// Load pattern: a third of the instances are cut off from the store at once. Each call
	// of the others' peers, drawn anew, meets such an instance with that probability.
	KeepPeer bool
}

// Limits of fallback calls.
const (
	peerBackoff = 1 * time.Second // time until a failed peer is called again
	maxPaths    = 3               // paths that one call tries
)

// Store is a crank.Store that falls back to peers while this instance can't reach
// the platform's store. A call may be sent on several paths: the store
// deduplicates appends by sequence number or by the expected end of the topic,
// and other appends may safely take effect twice.
type Store struct {
	StoreConfig
	mu               sync.Mutex
	primaryDown      bool
	preferPeersUntil time.Time            // peers are called first until then
	backoffUntil     map[string]time.Time // by peer ID; not called before then
	answered         string               // peer that answered last and has not failed since
	circuits         map[callKind]*circuit
	appendTime       answerTime
	readTime         answerTime // of reads, beyond their wait
}

// callKind is a group of calls that the store refuses or answers together.
type callKind struct {
	topic    crank.Topic
	isAppend bool
}

var _ crank.Store = (*Store)(nil)

// NewStore returns a store that calls the primary first.
func NewStore(c StoreConfig) *Store {
	return &Store{StoreConfig: c, backoffUntil: make(map[string]time.Time), circuits: make(map[callKind]*circuit)}
}

// path is one way to call the store.
type path struct {
	peer  string // ID, empty for the primary
	store crank.Store
}

type reply struct {
	path
	batch crank.KeyedBatch
	err   error
	took  time.Duration
}

// retryable reports whether another path may succeed.
func (r reply) retryable() bool {
	if r.err == nil {
		return false
	}
	var sequenceErr *crank.SequenceError
	kind := crank.KindOf(r.err)
	return kind == crank.KindUnknown || (kind == crank.KindUnavailable && !errors.As(r.err, &sequenceErr))
}

// conclusive reports whether an answer holds for all copies of the call. An append is
// refused for a higher epoch or another end of the topic also when an earlier copy of
// it was stored and that epoch or end came afterwards.
func (r reply) conclusive() bool {
	kind := crank.KindOf(r.err)
	return r.err == nil || (kind != crank.KindFenced && kind != crank.KindConflict)
}

// Append implements crank.Store.
func (s *Store) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	r := s.callStore(ctx, callKind{a.Topic, true}, 0, s.appendTime.hedge(), func(ctx context.Context, p path, _ time.Duration) reply {
		end, err := p.store.Append(ctx, a)
		return reply{path: p, batch: crank.KeyedBatch{End: end}, err: s.certain(err)}
	})
	if r.err == nil {
		s.appendTime.add(r.took)
	}
	return r.batch.End, r.err
}

// certain returns the error of an append with what is known of its effect.
func (s *Store) certain(err error) error {
	if !s.Certain {
		return err
	}
	return crank.Certain("store append", err)
}

// Read implements crank.Store. A later path waits for the rest of the time, so that an
// answer without records which comes after the wait was current then.
func (s *Store) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	r := s.callStore(ctx, callKind{topic, false}, wait, s.readTime.hedge(), func(ctx context.Context, p path, left time.Duration) reply {
		batch, err := p.store.Read(ctx, topic, from, left)
		return reply{path: p, batch: batch, err: err}
	})
	if r.err == nil && (r.took > wait || wait == 0) {
		s.readTime.add(r.took - wait)
	}
	return r.batch, r.err
}

// Newest implements crank.Store.
func (s *Store) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	r := s.callStore(ctx, callKind{topic, false}, 0, maxHedgeDelay, func(ctx context.Context, p path, _ time.Duration) reply {
		batch, err := p.store.Newest(ctx, topic)
		return reply{path: p, batch: batch, err: err}
	})
	return r.batch, r.err
}

// callStore makes a call unless the store refused such calls on every path just now. Paths
// may take longer to answer, by what is left of wait.
func (s *Store) callStore(ctx context.Context, k callKind, wait, hedge time.Duration, call func(ctx context.Context, p path, left time.Duration) reply) reply {
	c := s.circuit(k)
	interval := probeInterval(s.Instances())
	if !c.allow(time.Now(), interval) {
		return reply{err: crank.Fail("store call", crank.KindUnavailable, "the store refused the calls before")}
	}
	r := s.tryPaths(ctx, c, wait, hedge, call)
	refused := r.retryable() && crank.KindOf(r.err) == crank.KindUnavailable
	if r.retryable() && !refused && c.isOpen() {
		return r // still unknown whether the store is back
	}
	if c.record(refused, time.Now(), interval) {
		s.Logger.Info("relay: circuit changed", "topic", k.topic, "append", k.isAppend, "open", refused, "interval", interval, "error", r.err)
	}
	return r
}

func (s *Store) circuit(k callKind) *circuit {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuits[k]
	if c == nil {
		c = new(circuit)
		s.circuits[k] = c
	}
	return c
}

// tryPaths makes a call on one path after another until the store answers. It
// adds a path when one fails or does not answer within the hedge delay. While only peers
// have not answered, it goes back to the primary that failed before. The error is of a
// kind other than KindUnknown only if the call certainly had no effect on any path.
func (s *Store) tryPaths(ctx context.Context, c *circuit, wait, hedge time.Duration, call func(ctx context.Context, p path, left time.Duration) reply) reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, maxPaths)
	tried := make(map[string]bool)
	pending := 0
	begun := time.Now()
	var primaryFailed time.Time // zero while it is untried or pending
	timer := time.NewTimer(wait + hedge)
	defer timer.Stop()
	launch := func() {
		p, ok := s.nextPath(tried)
		waited := time.Since(begun) >= wait // an earlier answer without records would pass for one after the wait
		if !ok && waited && pending > 0 && !primaryFailed.IsZero() && time.Since(primaryFailed) >= hedge {
			p, ok = path{store: s.Primary}, c.allowProbe(time.Now(), probeInterval(s.Instances()))
		}
		if !ok {
			return
		}
		first := len(tried) == 0
		tried[p.peer] = true
		pending++
		if p.peer == "" {
			primaryFailed = time.Time{}
		}
		if !first && waited {
			timer.Reset(hedge)
		}
		left := max(0, wait-time.Since(begun)+time.Millisecond-1).Truncate(time.Millisecond) // the store counts whole ones
		go func() {
			begun := time.Now()
			r := call(ctx, p, left)
			r.took = time.Since(begun)
			replies <- r
		}()
	}
	launch()
	uncertain := false
	var failure reply // first one received
	for {
		select {
		case r := <-replies:
			pending--
			if !r.retryable() {
				s.recordAnswer(r, tried, failure.err)
				if (uncertain || pending > 0) && !r.conclusive() {
					r.err = &crank.Error{Op: "store call", Kind: crank.KindUnknown, Cause: r.err}
				}
				return r
			}
			if failure.err == nil {
				failure = r
			}
			if r.peer == "" {
				primaryFailed = time.Now()
			}
			uncertain = uncertain || crank.KindOf(r.err) == crank.KindUnknown
			ctxEnded := ctx.Err() != nil
			if !ctxEnded {
				s.backOff(r.peer)
				launch()
			}
			if pending == 0 || ctxEnded {
				if uncertain || pending > 0 {
					failure.err = &crank.Error{Op: "store call", Kind: crank.KindUnknown, Cause: failure.err}
				}
				return failure
			}
		case <-timer.C:
			timer.Reset(hedge)
			launch()
		}
	}
}

// nextPath chooses the next untried path of a call.
func (s *Store) nextPath(tried map[string]bool) (path, bool) {
	if len(tried) == maxPaths {
		return path{}, false
	}
	primary, untried := path{store: s.Primary}, !tried[""]
	if untried && (!s.prefersPeers() || len(tried) == 1) {
		return primary, true
	}
	now := time.Now()
	peers := slices.DeleteFunc(s.Peers(), func(p StorePeer) bool { return tried[p.ID] || now.Before(s.backoffEnd(p.ID)) })
	if len(peers) == 0 {
		return primary, untried
	}
	p := peers[max(0, slices.IndexFunc(peers, s.answeredLast))]
	return path{p.ID, p.Store}, true
}

// answeredLast reports whether a peer is called before others, see KeepPeer.
func (s *Store) answeredLast(p StorePeer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.ID == s.answered
}

func (s *Store) backoffEnd(peer string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backoffUntil[peer]
}

// backOff prevents calls to a failed peer for peerBackoff.
func (s *Store) backOff(peer string) {
	if peer == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoffUntil[peer] = time.Now().Add(peerBackoff)
	if s.answered == peer {
		s.answered = ""
	}
}

// recordAnswer records which path got the store's answer. The primary counts as
// down when it was tried and a peer answered instead.
func (s *Store) recordAnswer(r reply, tried map[string]bool, failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.peer == "" && s.primaryDown:
		s.primaryDown, s.preferPeersUntil = false, time.Time{}
		s.Logger.Info("relay: store called directly again")
	case r.peer == "":
	default:
		if s.KeepPeer {
			s.answered = r.peer
		}
		s.Scope.Counter("store_detours").Inc(1)
		if tried[""] {
			s.preferPeersUntil = time.Now().Add(peerPreference)
		}
		if tried[""] && !s.primaryDown {
			s.primaryDown = true
			s.Logger.Warn("relay: store unreachable, calling it through another instance", "peer", r.peer, "error", failure)
		}
	}
}

func (s *Store) prefersPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.preferPeersUntil)
}

// Direct returns the store for calls from other instances. It never calls a peer,
// and refuses at once while this instance can't reach the store.
func (s *Store) Direct() crank.Store { return primaryStore{s} }

type primaryStore struct{ s *Store }

func (p primaryStore) refuse(op string, k callKind) error {
	if p.s.prefersPeers() {
		return crank.Fail(op, crank.KindUnavailable, "this instance does not reach the store itself")
	}
	if p.s.circuit(k).isOpen() {
		return crank.Fail(op, crank.KindUnavailable, "the store refuses this instance's calls too")
	}
	return nil
}

// Append implements crank.Store.
func (p primaryStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	if err := p.refuse("store append", callKind{a.Topic, true}); err != nil {
		return 0, err
	}
	end, err := p.s.Primary.Append(ctx, a)
	return end, p.s.certain(err)
}

// Read implements crank.Store.
func (p primaryStore) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	if err := p.refuse("store read", callKind{topic, false}); err != nil {
		return crank.KeyedBatch{}, err
	}
	return p.s.Primary.Read(ctx, topic, from, wait)
}

// Newest implements crank.Store.
func (p primaryStore) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	if err := p.refuse("store newest", callKind{topic, false}); err != nil {
		return crank.KeyedBatch{}, err
	}
	return p.s.Primary.Newest(ctx, topic)
}
