// Package cranklead decides which instance holds the planner's term.
//
// A claim is a record that is appended only where the topic ends, so of two
// claims one is stored. Everybody learns who holds the term by reading: the
// newest claim counts. The holder shows signs of life; when they stay away
// while the topic can be read, another instance claims the next term.
package cranklead

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"log/slog"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
)

// Times of the term.
const (
	PulsePeriod = 500 * time.Millisecond  // between two signs of life
	Silence     = 2000 * time.Millisecond // without a sign of life the term is over; four missed pulses
	claimSpread = 60 * time.Millisecond   // claims are spread over this time, so that few collide
	claimYield  = 200 * time.Millisecond  // an instance with no processor to spare lets others claim for so long
	claimPeriod = 500 * time.Millisecond  // between two claims of one instance
	readWait    = 1 * time.Second         // longest wait of one read
	readGap     = 100 * time.Millisecond  // shortest time between two reads
	callTimeout = 1 * time.Second         // of one append

	// Grace is how long a holder works on without reaching the store. A
	// successor counts on it before it gives up on workers out of its reach.
	Grace = 10 * time.Second
)

// Keys of the term topic.
const (
	termKey    = "term"
	pulseKey   = "pulse"
	releaseKey = "release"
)

// lifeSeparator stands between an instance and the name of one life of it.
const lifeSeparator = "/"

// Term is the planner's role as it was last claimed.
type Term struct {
	Number int64  `json:"number"` // 0 before the first
	Holder string `json:"holder"` // one life of an instance
}

// release gives a term up. It has a key of its own: carried out late, it must
// not take the place of a newer claim.
type release struct {
	Term int64 `json:"term"`
}

type pulse struct {
	Term  int64 `json:"term"`
	Count int64 `json:"count"`
}

// Config sets up an Elector.
type Config struct {
	Instance string  // no two instances have the same
	Share    float64 // of a processor that the instance may use; those with more claim first
	Store    crank.Store
	Logger   *slog.Logger
	Uptime   crank.Uptime
	// Lead works as the planner until the context ends.
	Lead func(ctx context.Context, h *Holding)
}

// Holding is a term that this instance holds.
type Holding struct {
	Number int64
	// Overlap is how long earlier holders may still give orders.
	Overlap time.Duration
	e       *Elector
}

// Valid reports whether the holder may still give orders.
func (h *Holding) Valid() bool { return h.e.Uptime()-h.e.contact() < Grace }

// Resign gives the term up after a sign that another instance holds a newer
// one.
func (h *Holding) Resign(reason string) { h.e.resign(h.Number, reason) }

// Elector follows the term topic and leads when it holds the term.
type Elector struct {
	Config
	Life     string // identity of this life of the instance
	feed     *crankfeed.Follower
	mu       sync.Mutex
	term     Term
	overlap  time.Duration // of the newest term
	end      crank.Offset
	pulsed   pulse
	sign     time.Time // last sign of life, or of the store's return
	touched  time.Duration
	loaded   bool
	lastRead time.Time
	resigned int64 // this term and older ones are not led
	released int64 // newest term that was given up
	changed  chan struct{}
}

// New returns an elector. It works while Run runs.
func New(c Config) *Elector {
	e := &Elector{Config: c, Life: c.Instance + lifeSeparator + rand.Text(), changed: make(chan struct{}, 1)}
	e.feed = crankfeed.NewFollower(crankfeed.FollowerConfig{
		Store: c.Store, Topic: crank.TermTopic, Logger: c.Logger, Wait: crankfeed.Every(readWait), Gap: crankfeed.Every(readGap), Sink: e,
	})
	return e
}

// Reset implements crankfeed.Sink.
func (e *Elector) Reset(records []crank.KeyedRecord) { e.Apply(records) }

// Apply implements crankfeed.Sink.
func (e *Elector) Apply(records []crank.KeyedRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range records {
		switch r.Key {
		case termKey:
			e.applyTerm(r)
		case pulseKey:
			e.applyPulse(r)
		case releaseKey:
			e.applyRelease(r)
		}
	}
}

func (e *Elector) applyTerm(r crank.KeyedRecord) {
	var t Term
	if err := json.Unmarshal(r.Value, &t); err != nil {
		e.Logger.Warn("lead: record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if t.Number < e.term.Number {
		return
	}
	e.Logger.Info("lead: term read", "term", t.Number, "holder", t.Holder, "offset", r.Offset, "former", e.term.Number)
	if t.Number > e.term.Number {
		e.overlap = e.overlapAfter(e.term)
	}
	e.term, e.sign = t, time.Now()
	e.wake()
}

func (e *Elector) applyRelease(r crank.KeyedRecord) {
	var rel release
	if err := json.Unmarshal(r.Value, &rel); err != nil {
		e.Logger.Warn("lead: record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	e.Logger.Info("lead: release read", "term", rel.Term, "offset", r.Offset, "newest", e.term.Number)
	e.released = max(e.released, rel.Term)
	e.wake()
}

func (e *Elector) applyPulse(r crank.KeyedRecord) {
	var p pulse
	if err := json.Unmarshal(r.Value, &p); err != nil {
		e.Logger.Warn("lead: record ignored", "key", r.Key, "offset", r.Offset, "error", err)
		return
	}
	if p.Term < e.pulsed.Term || (p.Term == e.pulsed.Term && p.Count <= e.pulsed.Count) {
		return // it was stored late, or twice
	}
	e.pulsed = p
	if p.Term == e.term.Number {
		e.sign = time.Now()
	}
}

// Reached implements crankfeed.Sink. Silence while the topic could not be read
// says nothing about the holder.
func (e *Elector) Reached(_ time.Time, end crank.Offset) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.loaded || now.Sub(e.lastRead) > Silence {
		e.sign = now
	}
	e.loaded, e.lastRead, e.end, e.touched = true, now, end, e.Uptime()
	e.wake()
}

func (e *Elector) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// contact returns when the store last answered.
func (e *Elector) contact() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.touched
}

func (e *Elector) resign(number int64, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.resigned {
		return
	}
	e.resigned = number
	e.Logger.Warn("lead: resigned", "term", number, "reason", reason)
	e.wake()
}

// Term returns the newest term that was read.
func (e *Elector) Term() Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// holds returns the term's number when this instance holds it.
func (e *Elector) holds() (int64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term.Number, e.loaded && e.term.Holder == e.Life && e.term.Number > e.released && e.term.Number > e.resigned
}

// claimable returns the next term and where to append it when the term is over.
func (e *Elector) claimable() (next Term, at crank.Offset, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	over := e.term.Number <= e.released || time.Since(e.sign) > Silence ||
		(e.term.Holder == e.Life && e.term.Number <= e.resigned) || e.formerLife(e.term.Holder)
	fresh := e.loaded && time.Since(e.lastRead) < readWait+callTimeout
	return Term{Number: e.term.Number + 1, Holder: e.Life}, e.end, over && fresh
}

// formerLife reports whether a holder was an earlier life of this instance,
// which is over since this one runs.
func (e *Elector) formerLife(holder string) bool {
	return holder != e.Life && strings.HasPrefix(holder, e.Instance+lifeSeparator)
}

// overlapAfter returns how long the holders up to a term may still give orders
// once the next one is claimed. A holder that gave the term up, or whose
// instance runs again, gives none; those before it had at most Grace from the
// start of its term.
func (e *Elector) overlapAfter(t Term) time.Duration {
	if t.Number == 0 {
		return 0
	}
	if t.Number > e.released && !e.formerLife(t.Holder) {
		return Grace
	}
	held := time.Duration(0)
	if e.pulsed.Term == t.Number {
		held = time.Duration(e.pulsed.Count) * PulsePeriod
	}
	return max(0, Grace-held)
}

// Run takes part until the context ends, then gives the term up.
func (e *Elector) Run(ctx context.Context) error {
	feedContext, stopFeed := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFeed()
	done := make(chan error, 1)
	go func() { done <- e.feed.Run(feedContext) }()
	for ctx.Err() == nil {
		if number, ok := e.holds(); ok {
			e.lead(ctx, number)
			continue
		}
		if next, at, ok := e.claimable(); ok {
			e.claim(ctx, next, at)
			continue
		}
		select {
		case <-e.changed:
		case <-time.After(PulsePeriod):
		case <-ctx.Done():
		}
	}
	stopFeed()
	return <-done
}

// claim appends a claim unless somebody else is first. Whether it was stored
// is learned by reading.
func (e *Elector) claim(ctx context.Context, next Term, at crank.Offset) {
	crankfeed.Pause(ctx, mathrand.N(claimSpread)+time.Duration(float64(claimYield)*(1-min(1, e.Share))))
	again, end, ok := e.claimable()
	if !ok || again != next || end != at {
		return
	}
	e.Logger.Info("lead: claiming", "term", next.Number, "offset", at)
	if err := e.append(ctx, termKey, next, at); err != nil {
		e.Logger.Info("lead: claim not stored", "term", next.Number, "error", err)
	}
	deadline := time.After(claimPeriod)
	for e.Term().Number < next.Number {
		select {
		case <-e.changed:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// lead works as the planner until the term is over or the context ends.
func (e *Elector) lead(ctx context.Context, number int64) {
	e.mu.Lock()
	holding := &Holding{Number: number, Overlap: e.overlap, e: e}
	e.mu.Unlock()
	e.Logger.Info("lead: term begins", "term", number, "overlap", holding.Overlap)
	work, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Lead(work, holding)
	}()
	ticker := time.NewTicker(PulsePeriod)
	defer ticker.Stop()
	count := int64(0)
	pulses := make(chan error, 1)
	pulses <- nil
	for {
		if held, ok := e.holds(); !ok || held != number || ctx.Err() != nil {
			break
		}
		select {
		case <-e.changed:
		case <-ticker.C:
			select {
			case <-pulses:
				count++
				go func(p pulse) { pulses <- e.append(work, pulseKey, p, crank.AnyOffset) }(pulse{Term: number, Count: count})
			default: // the pulse before has no answer yet
			}
		case <-ctx.Done():
		}
	}
	stop()
	<-done
	e.Logger.Info("lead: term ends", "term", number, "newest", e.Term().Number, "stopping", ctx.Err() != nil)
	if ctx.Err() != nil {
		e.release(context.WithoutCancel(ctx), number)
	}
}

// release hands the term over instead of letting it lapse.
func (e *Elector) release(ctx context.Context, number int64) {
	if held, ok := e.holds(); !ok || held != number {
		return
	}
	if err := e.append(ctx, releaseKey, release{Term: number}, crank.AnyOffset); err != nil {
		e.Logger.Warn("lead: term not released", "term", number, "error", err)
	}
}

func (e *Elector) append(ctx context.Context, key string, v any, at crank.Offset) error {
	value, err := json.Marshal(v)
	if err != nil {
		return crank.Wrap("term append", crank.KindInvalid, err)
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.Store.Append(call, crank.StoreAppend{Topic: crank.TermTopic, Records: []crank.KeyedRecord{{Key: key, Value: value}}, At: at})
	if err == nil {
		e.mu.Lock()
		e.touched = e.Uptime()
		e.mu.Unlock()
	}
	return err
}
