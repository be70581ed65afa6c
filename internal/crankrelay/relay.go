// Package crankrelay reaches the platform's log or store through another entry
// instance while this one can't reach it itself.
package crankrelay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config sets up a Log.
type Config struct {
	Primary crank.Log
	Peers   func() []crank.Peer // other instances that are live
}

// Log is a crank.Log that falls back to peers. A call that may have taken
// effect is never repeated through a peer.
type Log struct {
	config Config
	mu     sync.Mutex
	detour time.Time // until then peers are asked first
}

// New returns a log that asks the primary first.
func New(c Config) *Log { return &Log{config: c} }

// detourTime is how long peers are asked first after the primary failed.
const detourTime = 2 * time.Second

// Append implements crank.Log.
func (l *Log) Append(ctx context.Context, stream crank.Stream, data []byte) (crank.Offset, error) {
	var offset crank.Offset
	err := l.try(func(log crank.Log) error {
		var err error
		offset, err = log.Append(ctx, stream, data)
		return err
	})
	return offset, err
}

// Read implements crank.Log.
func (l *Log) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.Batch, error) {
	var batch crank.Batch
	err := l.try(func(log crank.Log) error {
		call, cancel := context.WithTimeout(ctx, wait+crank.CallTimeout)
		defer cancel()
		var err error
		batch, err = log.Read(call, stream, from, limit, wait)
		return err
	})
	return batch, err
}

// try calls the primary and, when that is certainly without effect, one peer;
// or the other way round while the primary is failing.
func (l *Log) try(call func(crank.Log) error) error {
	peer := l.anyPeer()
	if peer == nil {
		return call(l.config.Primary)
	}
	if l.detouring() {
		if err := call(peer); err == nil || crank.KindOf(err) != crank.KindUnavailable {
			return err
		}
		return call(l.config.Primary)
	}
	err := call(l.config.Primary)
	if err == nil || crank.KindOf(err) != crank.KindUnavailable {
		return err
	}
	l.setDetour()
	return call(peer)
}

func (l *Log) anyPeer() crank.Peer {
	peers := l.config.Peers()
	if len(peers) == 0 {
		return nil
	}
	return peers[rand.IntN(len(peers))]
}

func (l *Log) detouring() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.detour)
}

func (l *Log) setDetour() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.detour = time.Now().Add(detourTime)
}
