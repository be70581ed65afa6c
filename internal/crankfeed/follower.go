// Package crankfeed follows keyed topics of the platform's store and appends
// to them exactly once.
package crankfeed

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Store  crank.Store
	Topic  crank.Topic
	Logger *slog.Logger
	Wait   func() time.Duration // longest wait of one read, nil to poll
	Gap    func() time.Duration // shortest time between the starts of two reads, nil for none
	Hurry  <-chan struct{}      // ends the gap that is under way; may be nil
	Sink   Sink
}

// Sink takes what a Follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Reset replaces everything by the newest record of each key.
	Reset(records []crank.KeyedRecord)
	// Apply adds later records in the order of the topic.
	Apply(records []crank.KeyedRecord)
	// Reached says that everything that was in the topic at a time, and
	// everything up to an offset, was handed over.
	Reached(at time.Time, end crank.Offset)
}

// Follower reads a topic from its newest records on.
type Follower struct {
	FollowerConfig
	next   crank.Offset
	loaded bool
	lost   bool
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c FollowerConfig) *Follower { return &Follower{FollowerConfig: c} }

const (
	readTimeout = 1 * time.Second        // of one read, beside its wait
	loadTimeout = 5 * time.Second        // of reading the newest records
	retryDelay  = 100 * time.Millisecond // after a failed read
)

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		begun := time.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.note(err)
		if err != nil {
			Pause(ctx, retryDelay)
			continue
		}
		if f.Gap != nil {
			pause(ctx, f.Gap()-time.Since(begun), f.Hurry)
		}
	}
	return nil
}

// note logs when the topic is lost and when it is read again.
func (f *Follower) note(err error) {
	switch {
	case err != nil && !f.lost:
		f.lost = true
		f.Logger.Warn("feed: topic lost", "topic", f.Topic, "next", f.next, "error", err)
	case err == nil && f.lost:
		f.lost = false
		f.Logger.Info("feed: topic regained", "topic", f.Topic, "next", f.next)
	}
}

func (f *Follower) step(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	begun, wait := time.Now(), time.Duration(0)
	if f.Wait != nil {
		wait = f.Wait()
	}
	call, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	batch, err := f.Store.Read(call, f.Topic, f.next, wait)
	if err != nil {
		if crank.KindOf(err) == crank.KindExpired {
			f.Logger.Warn("feed: history expired, reading the newest records", "topic", f.Topic, "next", f.next)
			f.loaded = false
		}
		return err
	}
	if len(batch.Records) > 0 {
		f.Sink.Apply(batch.Records)
		f.next = batch.Records[len(batch.Records)-1].Offset + 1
	}
	if f.next >= batch.End {
		f.Sink.Reached(current(begun, wait, len(batch.Records)), f.next)
	}
	return nil
}

// current returns a time at which the answer to a read was certainly true. The
// store answers a read without records only after the whole wait.
func current(begun time.Time, wait time.Duration, records int) time.Time {
	if records == 0 && time.Since(begun) >= wait {
		return begun.Add(wait)
	}
	return begun
}

func (f *Follower) load(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	begun := time.Now()
	batch, err := f.Store.Newest(call, f.Topic)
	if err != nil {
		return err
	}
	f.Sink.Reset(batch.Records)
	f.Sink.Reached(begun, batch.End)
	f.next, f.loaded = batch.End, true
	f.Logger.Info("feed: topic loaded", "topic", f.Topic, "records", len(batch.Records), "next", f.next)
	return nil
}

// Pause waits for a time, or until the context ends.
func Pause(ctx context.Context, d time.Duration) { pause(ctx, d, nil) }

// pause is a Pause that a token in hurry ends early.
func pause(ctx context.Context, d time.Duration, hurry <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-hurry:
	case <-ctx.Done():
	}
}

// Every returns a gap that is always the same.
func Every(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
