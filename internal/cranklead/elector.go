// Package cranklead elects the leader, the instance that holds the planner's term
// and runs the planner.
//
// A claim of a term is a compare-and-append: it is stored only if the topic still
// ends at the expected offset, so of two concurrent claims one is stored. All
// instances read the topic; the newest claim names the holder of the term, which is
// the leader. The holder appends heartbeats; when they stop while the topic can be
// read, another instance claims the next term. A holder may also release its term, when
// it stops or is too slow for the planner.
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
	"cranberrycrank/internal/crankfleet"
)

// Timing of elections and terms.
const (
	HeartbeatPeriod   = 300 * time.Millisecond  // between heartbeats
	HeartbeatTimeout  = 1100 * time.Millisecond // the term is over after three missed heartbeats
	silentTime        = 700 * time.Millisecond  // without a heartbeat: more than one was missed
	maxHeartbeats     = 4                       // heartbeats without an answer; further ones are left out
	minClaimJitter    = 60 * time.Millisecond   // longest random delay of a claim by one of a few instances
	claimShare        = 1 * time.Millisecond    // longest random delay for each instance, so that few claims collide
	lowShareDelay     = 200 * time.Millisecond  // extra delay of a claim by an instance with no processor share
	claimTimeout      = 500 * time.Millisecond  // longest wait for a claim to be read back before the next one
	maxReadWait       = 100 * time.Millisecond  // longest wait of one read for a record
	minReadInterval   = 400 * time.Millisecond  // between the starts of reads
	minHolderInterval = 100 * time.Millisecond  // between those of the holder
	maxReadGap        = 600 * time.Millisecond  // from one read to what the next one covers, while reads succeed
	maxReadAge        = 2 * time.Second         // of the topic, for a claim
	callTimeout       = 1 * time.Second         // of one append
	maxReadLag        = 2500 * time.Millisecond // of the topic as read behind the holder's appends
	maxBlindTime      = 3 * time.Second         // beyond that lag, before the term is given up
	yieldPeriod       = 15 * time.Second        // between two terms that end because their holder is too slow
	fleetYieldPeriod  = 30 * time.Second        // after another holder was too slow as well
	yieldDelay        = 1 * time.Second         // extra delay of a claim by an instance that yielded within yieldPeriod
	declinePeriod     = 30 * time.Second        // in which an instance that declined a term lets others claim first
	declineDelay      = 2 * time.Second         // extra delay of its claims: others see the heartbeats stop meanwhile

	// GracePeriod is how long a holder keeps working after its last contact with the store.
	// No lease that it grants lasts longer than that. Its contacts are its records in the
	// topic that precede any later claim, so every successor has read them.
	GracePeriod = 8 * time.Second

	// claimGrace is GracePeriod for a holder that has read none of its heartbeats back. It
	// covers start orders, but no lease of former holders becomes longer by it.
	claimGrace = 2 * time.Second

	// Holders of versions that store no bound of their leases kept working for
	// unboundedGrace, and granted the longest leases until then.
	unboundedGrace = 10 * time.Second
	clockDrift     = 1 / 0.98               // the clock of a worker, which holds a lease, may be 2% slow
	leaseMargin    = 100 * time.Millisecond // added before a lease counts as over
)

// Keys of the term topic.
const (
	termKey      = "term"
	heartbeatKey = "pulse"
	// Heartbeats of later counts don't replace those of the last heartbeatSlots, so that a
	// heartbeat that is stored late does not hide the newest one from those that load the topic.
	slotPrefix     = heartbeatKey + "/"
	heartbeatSlots = 64
	releaseKey     = "release"
)

// minStatedWorkers is the number of workers from which heartbeats carry it. Below, every
// instance of a published deployment can lead.
const minStatedWorkers = 400

// incarnationSeparator precedes the random part of an incarnation.
const incarnationSeparator = "/"

// Term is one claim of the planner's role.
type Term struct {
	Number int64  `json:"number"` // 0 before the first claim
	Holder string `json:"holder"` // incarnation of an instance
	// LeaseBound is how long a lease may last after the holder's last record in the topic,
	// in milliseconds; 0 if the holder's version has no such bound.
	LeaseBound int64 `json:"lease-bound,omitempty"`
	// FormerLeases is how long leases of earlier holders may last after the claim that no
	// heartbeat bounds, in milliseconds.
	FormerLeases int64 `json:"former-leases,omitempty"`
}

// releaseRecord gives a term up. It has its own key, since a late release must
// not replace a newer claim.
type releaseRecord struct {
	Term    int64 `json:"term"`
	Yielded bool  `json:"yielded,omitempty"` // the holder was too slow
}

type heartbeatRecord struct {
	Term       int64               `json:"term"`
	Count      int64               `json:"count"`                 // of heartbeats sent in the term
	LeaseBound int64               `json:"lease-bound,omitempty"` // as in Term
	Clocks     []crank.WorkerClock `json:"clocks,omitempty"`      // of some workers, as it was sent
	Workers    int                 `json:"workers,omitempty"`     // that the holder leads, if there are many
	Instances  int                 `json:"instances,omitempty"`   // that share the store, if there are many workers
}

// Config holds the settings and dependencies of an Elector.
type Config struct {
	Instance       string     // unique among the instances
	ProcessorShare float64    // of a processor that the instance may use; a larger share claims earlier
	Instances      func() int // that may claim the term
	Store          crank.Store
	Logger         *slog.Logger
	Uptime         crank.Uptime
	MaxLease       time.Duration // longest lease that workers grant
	// ClaimDelay returns for how long more able instances may claim first; nil for none.
	ClaimDelay func() time.Duration
	// LedWorkers returns the number of workers that this instance leads, and whether it is
	// known; nil for never.
	LedWorkers func() (int, bool)
	// Lead runs the planner until the context ends.
	Lead func(ctx context.Context, h *HeldTerm)
}

// Elector follows the term topic and runs Lead while this instance holds the
// term.
type Elector struct {
	Config
	Incarnation  string // unique to this start of the instance
	follower     *crankfeed.Follower
	mu           sync.Mutex
	term         Term
	former       crankfleet.FormerLeases // of the holders before the newest one
	topicEnd     crank.Offset            // as last read
	heartbeat    heartbeatRecord
	holderSeen   time.Time               // time of the last heartbeat or claim, or when the topic became readable again
	recordSeen   time.Time               // time of the last heartbeat or claim
	contact      time.Duration           // uptime when this holder sent its newest record that it has read back
	grace        time.Duration           // how long it may work after that
	sentAt       map[int64]time.Duration // uptimes of this term's heartbeats that were not read back, by count
	claimNumber  int64                   // term that this instance claimed last
	claimSent    time.Duration           // uptime of its first claim of it
	appendedAt   time.Time               // when the store last answered an append
	loading      bool                    // the newest records of the keys are applied, not all records in their order
	loaded       bool
	lastRead     time.Time // when the topic was last read to its end
	currentAt    time.Time // a time at which the topic as last read was current
	resignedTerm int64     // this instance does not hold this term or an older one again
	releasedTerm int64     // newest term that was released
	yieldingTerm int64     // this instance releases this term because it is too slow
	yieldedAt    time.Time // when a holder last yielded
	yieldedHere  time.Time // when this instance last did
	declinedAt   time.Time // when this instance last could not take a term over
	changed      chan struct{}
	claimed      chan struct{} // ends the pause before the next read, which tells whether a claim was stored
}

// New returns an elector. It works while Run runs.
func New(c Config) *Elector {
	e := &Elector{
		Config: c, Incarnation: c.Instance + incarnationSeparator + rand.Text(), sentAt: make(map[int64]time.Duration),
		changed: make(chan struct{}, 1), claimed: make(chan struct{}, 1),
	}
	e.follower = crankfeed.NewFollower(crankfeed.FollowerConfig{
		Store: c.Store, Topic: crank.TermTopic, Logger: c.Logger, Wait: e.readWait, MinInterval: e.readInterval, Wake: e.claimed, Sink: e,
	})
	return e
}

// The holder reads its heartbeats back as they are stored.
func (e *Elector) readWait() time.Duration {
	if _, ok := e.holdsTerm(); ok {
		return HeartbeatPeriod
	}
	return maxReadWait
}

func (e *Elector) readInterval() time.Duration {
	if _, ok := e.holdsTerm(); ok {
		return minHolderInterval
	}
	return minReadInterval
}

func (e *Elector) notify() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// leaseLimit returns how long leases that this holder grants now may last.
func (e *Elector) leaseLimit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.contact + e.grace - e.Uptime()
}

func (e *Elector) resign(number int64, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if number <= e.resignedTerm {
		return
	}
	e.resignedTerm = number
	e.Logger.Warn("lead: resigned", "term", number, "reason", reason)
	e.notify()
}

// nextClaim returns the next term and the offset to append its claim at, and
// whether the current term is over and the topic was read recently.
func (e *Elector) nextClaim() (next Term, at crank.Offset, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	over := e.term.Number <= e.releasedTerm || time.Since(e.holderSeen) > HeartbeatTimeout ||
		(e.term.Holder == e.Incarnation && e.term.Number <= e.resignedTerm) || e.isPriorIncarnation(e.term.Holder)
	fresh := e.loaded && time.Since(e.lastRead) < maxReadAge
	next = Term{Number: e.term.Number + 1, Holder: e.Incarnation, LeaseBound: GracePeriod.Milliseconds()}
	return next, e.topicEnd, over && fresh
}

// InstanceOf returns the instance of a holder's incarnation.
func InstanceOf(holder string) string {
	instance, _, _ := strings.Cut(holder, incarnationSeparator)
	return instance
}

// isPriorIncarnation reports whether a holder was an earlier incarnation of this
// instance, which has ended since this one runs.
func (e *Elector) isPriorIncarnation(holder string) bool {
	return holder != e.Incarnation && strings.HasPrefix(holder, e.Instance+incarnationSeparator)
}

// Run takes part in elections until the context ends, then releases the term.
func (e *Elector) Run(ctx context.Context) error {
	feedCtx, stopFeed := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFeed()
	done := make(chan error, 1)
	go func() { done <- e.follower.Run(feedCtx) }()
	for ctx.Err() == nil {
		if number, ok := e.holdsTerm(); ok {
			e.lead(ctx, number)
			continue
		}
		if next, at, ok := e.nextClaim(); ok {
			e.claim(ctx, next, at)
			continue
		}
		select {
		case <-e.changed:
		case <-time.After(HeartbeatPeriod / 2):
		case <-ctx.Done():
		}
	}
	stopFeed()
	return <-done
}

// claim appends a claim unless another instance was first, and waits up to
// claimTimeout to read it back, which tells whether it was stored.
func (e *Elector) claim(ctx context.Context, next Term, at crank.Offset) {
	jitter := max(minClaimJitter, time.Duration(e.Instances())*claimShare)
	switch {
	case e.declinedRecently():
		crankfeed.Sleep(ctx, declineDelay)
	case e.yieldedRecently():
		crankfeed.Sleep(ctx, yieldDelay)
	}
	if e.ClaimDelay != nil {
		if delay := e.ClaimDelay(); delay > 0 {
			e.Logger.Info("lead: more able instances may claim first", "term", next.Number, "delay", delay)
			crankfeed.Sleep(ctx, delay)
		}
	}
	crankfeed.Sleep(ctx, mathrand.N(jitter)+time.Duration(float64(lowShareDelay)*(1-min(1, e.ProcessorShare))))
	again, end, ok := e.nextClaim()
	if !ok || again != next || end != at {
		return
	}
	e.mu.Lock()
	next.FormerLeases = max(0, time.Until(e.leases().Others).Milliseconds())
	if e.claimNumber != next.Number {
		e.claimNumber, e.claimSent = next.Number, e.Uptime()
	}
	e.mu.Unlock()
	e.Logger.Info("lead: claiming term", "term", next.Number, "offset", at)
	if err := e.append(ctx, at, record{termKey, next}); err != nil {
		e.Logger.Info("lead: claim append failed", "term", next.Number, "error", err)
	}
	select {
	case e.claimed <- struct{}{}:
	default:
	}
	deadline := time.After(claimTimeout)
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

// record is a record of the topic before it is encoded.
type record struct {
	key   string
	value any
}

func (e *Elector) append(ctx context.Context, at crank.Offset, records ...record) error {
	var encoded []crank.KeyedRecord
	for _, r := range records {
		value, err := json.Marshal(r.value)
		if err != nil {
			return crank.Wrap("term append", crank.KindInvalid, err)
		}
		encoded = append(encoded, crank.KeyedRecord{Key: r.key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := e.Store.Append(callCtx, crank.StoreAppend{Topic: crank.TermTopic, Records: encoded, ExpectedEnd: at})
	if err == nil {
		e.mu.Lock()
		e.appendedAt = time.Now()
		e.mu.Unlock()
	}
	return err
}
