// Package crankstream is an instance's access to the event stream.
//
// Follower applies the entries in order and publishes the state to the cache.
// Writer appends batches of proposals and returns the verdict on each record once
// it is applied. Snapshots go to a stream of their own, so that a new instance need
// not read all events.
package crankstream

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankstate"
)

// FollowerConfig holds the settings and dependencies of a Follower.
type FollowerConfig struct {
	Log      crank.Log
	Cache    *crankcache.StateCache
	Logger   *slog.Logger
	Results  chan<- crankstate.BatchResult // of the batches of WriterID
	WriterID string
}

// Follower applies the event stream in order and publishes the state to the cache.
type Follower struct {
	FollowerConfig
	state crankstate.State
	ready bool // the state is loaded and has no gap
}

// NewFollower returns a follower with an empty state.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{FollowerConfig: c, state: crankstate.New()}
}

const (
	readLimit    = 256 // entries per read
	retryDelay   = 100 * time.Millisecond
	callOverhead = crank.CallTimeout // allowed for a read on top of its wait time
)

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Warn("stream: read failed", "error", err)
			Sleep(ctx, retryDelay)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if !f.ready {
		if err := f.load(ctx); err != nil {
			return err
		}
	}
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, crank.LogReadWait+callOverhead)
	defer cancel()
	batch, err := f.Log.Read(call, crank.EventStream, f.state.Next, readLimit, crank.LogReadWait)
	if crank.KindOf(err) == crank.KindExpired && err != nil {
		f.ready = false
		f.Cache.Set(crankcache.View{State: f.state})
		return err
	}
	if err != nil {
		return err
	}
	if batch.End < f.state.Next {
		return crank.Fail("log read", crank.KindUnavailable, "the stream ends at %d, before %d that was applied", batch.End, f.state.Next)
	}
	f.apply(ctx, batch.Entries)
	if f.state.Next >= batch.End {
		f.publish(start)
		return nil
	}
	f.publish(f.Cache.View().AsOf)
	return nil
}

// apply applies entries and sends the results of this instance's batches to the
// writer.
func (f *Follower) apply(ctx context.Context, entries []crank.LogEntry) {
	for _, e := range entries {
		var result crankstate.BatchResult
		f.state, result = f.state.Apply(e)
		if result.Writer != f.WriterID {
			continue
		}
		select {
		case f.Results <- result:
		case <-ctx.Done():
		}
	}
}

func (f *Follower) publish(asOf time.Time) {
	f.Cache.Set(crankcache.View{State: f.state, AsOf: asOf, Ready: f.ready && !asOf.IsZero()})
}

// load restores the newest complete snapshot if it is ahead of the state. It fails
// with KindExpired when the stream no longer keeps the next entry to apply.
func (f *Follower) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	snapshot, found, err := ReadSnapshot(call, f.Log)
	if err != nil {
		return err
	}
	head, err := f.Log.Read(call, crank.EventStream, endOfStream, 1, 0)
	if err != nil {
		return err
	}
	if found && snapshot.Next > f.state.Next {
		f.state = snapshot
	}
	if f.state.Next < head.First {
		return crank.Fail("state load", crank.KindExpired, "records up to %d expired and no snapshot covers them", head.First)
	}
	f.ready = true
	f.Logger.Info("stream: state loaded", "next", f.state.Next, "end", head.End)
	return nil
}

const (
	loadTimeout = 30 * time.Second
	endOfStream = crank.Offset(1) << 52 // beyond any end: a read there returns only the bounds
)

// Sync returns a view that contains every entry that was in the log when Sync was
// called: it reads the stream's end once and waits until the state has reached it.
func Sync(ctx context.Context, log crank.Log, cache *crankcache.StateCache) (crankcache.View, error) {
	batch, err := log.Read(ctx, crank.EventStream, endOfStream, 1, 0)
	if err != nil {
		return crankcache.View{}, err
	}
	return cache.Wait(ctx, func(v crankcache.View) bool { return v.Ready && v.State.Next >= batch.End })
}
