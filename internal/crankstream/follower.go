// Package crankstream reads the event stream into the shared state and appends
// proposals to it.
package crankstream

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Log     crank.Log
	Box     *crankbox.Box
	Logger  *slog.Logger
	Results chan<- crankfold.BatchResult // gets what became of the batches of Writer
	Writer  string
}

// Follower applies the event stream in order and publishes the state.
type Follower struct {
	FollowerConfig
	state crankfold.State
	ready bool
}

// NewFollower returns a follower before the first record.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{FollowerConfig: c, state: crankfold.New()}
}

const (
	readLimit    = 256
	retryDelay   = 100 * time.Millisecond
	callOverhead = crank.CallTimeout // added to the wait of a read
)

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Warn("stream: read failed", "error", err)
			Pause(ctx, retryDelay)
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
	begun := time.Now()
	call, cancel := context.WithTimeout(ctx, crank.LogReadWait+callOverhead)
	defer cancel()
	batch, err := f.Log.Read(call, crank.EventStream, f.state.Next, readLimit, crank.LogReadWait)
	if crank.KindOf(err) == crank.KindExpired && err != nil {
		f.ready = false
		f.Box.Set(crankbox.View{State: f.state})
		return err
	}
	if err != nil {
		return err
	}
	f.apply(ctx, batch.Entries)
	if f.state.Next >= batch.End {
		f.publish(begun)
		return nil
	}
	f.publish(f.Box.View().Fresh)
	return nil
}

// apply applies entries and hands out what became of this writer's batches.
func (f *Follower) apply(ctx context.Context, entries []crank.Entry) {
	for _, e := range entries {
		var result crankfold.BatchResult
		f.state, result = f.state.Apply(e)
		if result.Writer != f.Writer {
			continue
		}
		select {
		case f.Results <- result:
		case <-ctx.Done():
		}
	}
}

func (f *Follower) publish(fresh time.Time) {
	f.Box.Set(crankbox.View{State: f.state, Fresh: fresh, Ready: f.ready && !fresh.IsZero()})
}

// load starts from the newest whole snapshot, or from the first entry of a
// stream that has lost none.
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
	endOfStream = crank.Offset(1) << 52
)

// Sync returns a view that contains every entry that was in the log when Sync
// was called. It makes one read that begins after the call.
func Sync(ctx context.Context, log crank.Log, box *crankbox.Box) (crankbox.View, error) {
	batch, err := log.Read(ctx, crank.EventStream, endOfStream, 1, 0)
	if err != nil {
		return crankbox.View{}, err
	}
	return box.Wait(ctx, func(v crankbox.View) bool { return v.Ready && v.State.Next >= batch.End })
}
