// Package crankrelay calls the platform's log or store directly, or through
// another instance while this one can't reach it.
package crankrelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config holds the settings and dependencies of a Log.
type Config struct {
	Primary crank.Log
	Peers   func() []crank.Peer // other live instances
}

// Log is a crank.Log that falls back to peers. A call that may have taken effect
// is never retried through a peer.
type Log struct {
	config           Config
	mu               sync.Mutex
	preferPeersUntil time.Time // peers are called first until then
}

// New returns a log that calls the primary first.
func New(c Config) *Log { return &Log{config: c} }

// peerPreference is how long peers are called first after the primary failed.
const peerPreference = 2 * time.Second

// Append implements crank.Log.
func (l *Log) Append(ctx context.Context, stream crank.Stream, data []byte) (crank.Offset, error) {
	var offset crank.Offset
	err := l.callWithFallback(func(log crank.Log) error {
		var err error
		offset, err = log.Append(ctx, stream, data)
		return err
	})
	return offset, err
}

// Read implements crank.Log.
func (l *Log) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	var batch crank.LogBatch
	err := l.callWithFallback(func(log crank.Log) error {
		callCtx, cancel := context.WithTimeout(ctx, wait+crank.CallTimeout)
		defer cancel()
		var err error
		batch, err = log.Read(callCtx, stream, from, limit, wait)
		return err
	})
	return batch, err
}

// callWithFallback calls the primary and, when that certainly had no effect, one
// peer. For a while after the primary failed, the peer is called first.
func (l *Log) callWithFallback(call func(crank.Log) error) error {
	peer := l.randomPeer()
	if peer == nil {
		return call(l.config.Primary)
	}
	if l.prefersPeers() {
		if err := call(peer); err == nil || crank.KindOf(err) != crank.KindUnavailable {
			return err
		}
		return call(l.config.Primary)
	}
	err := call(l.config.Primary)
	if err == nil || crank.KindOf(err) != crank.KindUnavailable {
		return err
	}
	l.preferPeers()
	return call(peer)
}

func (l *Log) randomPeer() crank.Peer {
	peers := l.config.Peers()
	if len(peers) == 0 {
		return nil
	}
	return peers[rand.IntN(len(peers))]
}

func (l *Log) prefersPeers() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.preferPeersUntil)
}

func (l *Log) preferPeers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.preferPeersUntil = time.Now().Add(peerPreference)
}
