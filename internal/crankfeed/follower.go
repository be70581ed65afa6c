// Package crankfeed reads keyed topics of the platform's store into a Sink and
// appends to them exactly once.
package crankfeed

import (
	"context"
	"log/slog"
	"time"

	crank "cranberrycrank"
)

// FollowerConfig holds the settings and dependencies of a Follower.
type FollowerConfig struct {
	Store       crank.Store
	Topic       crank.Topic
	Logger      *slog.Logger
	Wait        func() time.Duration // longest wait of one read for a record, nil for none
	MinInterval func() time.Duration // between the starts of reads, nil for none
	Wake        <-chan struct{}      // a token ends the interval early; may be nil
	Sink        Sink
	BeforeLoad  func(context.Context) // waits before the first load; may be nil
}

// Sink receives what a Follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Reset replaces all earlier records by the newest record of each key.
	Reset(records []crank.KeyedRecord)
	// Apply adds later records in topic order.
	Apply(records []crank.KeyedRecord)
	// CaughtUp reports that all records stored by a time, and all below an
	// offset, were passed to Reset or Apply.
	CaughtUp(at time.Time, end crank.Offset)
}

// Follower loads the newest record of each key of a topic, then reads all later
// records.
type Follower struct {
	FollowerConfig
	next     crank.Offset
	loaded   bool
	newer    map[string]crank.Offset // of loaded records that reads from next on return again
	failing  bool                    // the last read failed
	failures int                     // in a row
}

// NewFollower returns a follower that has read nothing.
func NewFollower(c FollowerConfig) *Follower { return &Follower{FollowerConfig: c} }

const (
	readTimeout     = 1 * time.Second        // of one read, beyond its wait
	longReadTimeout = 3 * time.Second        // after several failures: an overloaded store answers within it
	shortReads      = 2                      // failures in a row before longReadTimeout applies
	loadTimeout     = 10 * time.Second       // of loading the newest records
	retryDelay      = 100 * time.Millisecond // after a failed read
)

// Run follows the topic until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	if f.BeforeLoad != nil {
		f.BeforeLoad(ctx)
	}
	for ctx.Err() == nil {
		begun := time.Now()
		err := f.readNext(ctx)
		if ctx.Err() != nil {
			return nil
		}
		f.logTransition(err)
		if err != nil {
			f.failures++
			Sleep(ctx, retryDelay)
			continue
		}
		f.failures = 0
		if f.MinInterval != nil {
			sleep(ctx, f.MinInterval()-time.Since(begun), f.Wake)
		}
	}
	return nil
}

// logTransition logs when reads start to fail and when they recover.
func (f *Follower) logTransition(err error) {
	switch {
	case err != nil && !f.failing:
		f.failing = true
		f.Logger.Warn("feed: reading the topic failed", "topic", f.Topic, "next", f.next, "error", err)
	case err == nil && f.failing:
		f.failing = false
		f.Logger.Info("feed: reading the topic succeeded again", "topic", f.Topic, "next", f.next)
	}
}

func (f *Follower) readNext(ctx context.Context) error {
	if !f.loaded {
		return f.load(ctx)
	}
	begun, wait := time.Now(), time.Duration(0)
	// After a failure, a read that does not wait tells at once that the store is back.
	if f.Wait != nil && !f.failing {
		wait = f.Wait()
	}
	timeout := readTimeout
	if f.failures >= shortReads {
		timeout = longReadTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	batch, err := f.Store.Read(callCtx, f.Topic, f.next, wait)
	if err != nil {
		if crank.KindOf(err) == crank.KindExpired {
			f.Logger.Warn("feed: next offset expired, reloading the newest records", "topic", f.Topic, "next", f.next)
			f.loaded = false
		}
		return err
	}
	if batch.End < f.next {
		return crank.Fail("topic read", crank.KindUnavailable, "the topic ends at %d, before %d that was read", batch.End, f.next)
	}
	if len(batch.Records) > 0 {
		f.Sink.Apply(f.withoutOlder(batch.Records))
		f.next = batch.Records[len(batch.Records)-1].Offset + 1
	}
	if f.next >= batch.End {
		f.newer = nil
		f.Sink.CaughtUp(currentAsOf(begun, wait, len(batch.Records)), f.next)
	}
	return nil
}

// withoutOlder returns the records that are newer than the loaded one of their key.
func (f *Follower) withoutOlder(records []crank.KeyedRecord) []crank.KeyedRecord {
	if len(f.newer) == 0 {
		return records
	}
	var kept []crank.KeyedRecord
	for _, r := range records {
		if loaded, ok := f.newer[r.Key]; !ok || r.Offset > loaded {
			kept = append(kept, r)
		}
	}
	return kept
}

// currentAsOf returns a time at which the answer to a read was certainly
// current. The store answers a read without records only after the whole wait.
func currentAsOf(begun time.Time, wait time.Duration, records int) time.Time {
	if records == 0 && time.Since(begun) >= wait {
		return begun.Add(wait)
	}
	return begun
}

func (f *Follower) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	begun := time.Now()
	batch, err := f.Store.Newest(callCtx, f.Topic)
	if err != nil {
		return err
	}
	f.Sink.Reset(batch.Records)
	f.Sink.CaughtUp(begun, batch.End)
	f.next, f.loaded = batch.End, true
	f.newer = make(map[string]crank.Offset)
	for _, r := range batch.Records {
		if r.Offset >= batch.End { // written while the pages were read
			f.newer[r.Key] = r.Offset
		}
	}
	f.Logger.Info("feed: topic loaded", "topic", f.Topic, "records", len(batch.Records), "next", f.next)
	return nil
}

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, d time.Duration) { sleep(ctx, d, nil) }

// sleep is like Sleep, but a token from wake ends it early.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// Constant returns a function that always returns d.
func Constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }
