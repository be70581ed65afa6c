// Package crankentry runs one entry instance in front of leased workers.
//
//	caller -> gate -> writer -> job topic -> book (at every instance)
//	operator topic -> board (at every instance)
//	term topic -> elector -> scheduler (at the holder of the term) -> workers
//	store calls -> relay -> store, or another instance that reaches it
//
// All instances are alike and keep nothing; what lasts lies in the store.
package crankentry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankboard"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/internal/cranklead"
	"cranberrycrank/internal/crankrelay"
	"cranberrycrank/internal/cranksched"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
)

// Config sets up an Entry.
type Config struct {
	Instance        string
	Zone            string
	PeerAddr        string // where other instances reach this one, IP:port
	Peers           crank.StorePeerDialer
	Store           crank.Store
	Workers         crank.LeaseDialer
	DecodeWorker    crankfleet.Decoder
	DecodeOperator  crankboard.Decoder
	Bounds          crank.LeaseBounds
	ResultRetention time.Duration // ended jobs are kept this long
	ProcessorShare  float64       // of a processor that the instance may use
	Uptime          crank.Uptime
	Logger          *slog.Logger
	Scope           tally.Scope
}

// Times of the feeds.
const (
	operatorWait = 1 * time.Second        // bounds the age of the configuration while nothing is published
	bookGap      = 500 * time.Millisecond // an instance reads at most so often while nobody waits for news
	plannerGap   = 15 * time.Millisecond  // the planner, and an instance whose callers wait, read at most so often
	// The store answers a waiting read that arrives during an append only with
	// the next one, so reads do not wait for long.
	bookWait = 150 * time.Millisecond
	newsWait = 60 * time.Millisecond // while callers wait for news
	// retentionMargin is added to the retention: instances learn of ends at
	// different times.
	retentionMargin = 60 * time.Second
)

// Entry is one entry instance.
type Entry struct {
	Config
	Gate     *crankgate.Gate
	book     *crankbook.Book
	writer   *crankfeed.Writer
	relay    *crankrelay.Store
	peerKey  string // that other instances show
	elector  *cranklead.Elector
	feeds    []*crankfeed.Follower
	leading  atomic.Bool
	draining atomic.Bool
}

// New returns an entry. It works while Run runs.
func New(c Config) *Entry {
	e := &Entry{book: crankbook.New(c.Logger), peerKey: rand.Text()}
	e.relay = crankrelay.NewStore(crankrelay.StoreConfig{
		Primary: meteredStore{c.Store, meter{c.Scope, "store_call"}}, Peers: e.storePeers, Logger: c.Logger, Scope: c.Scope,
	})
	c.Store = e.relay
	c.Workers = meteredDialer{c.Workers, meter{c.Scope, "worker_call"}}
	e.Config = c
	board := crankboard.New(c.DecodeOperator, c.Logger)
	e.writer = crankfeed.NewWriter(crankfeed.WriterConfig{Store: c.Store, Topic: crank.JobTopic, Logger: c.Logger, Producer: c.Instance + "/" + rand.Text(), Epoch: 1})
	e.Gate = crankgate.New(crankgate.Config{Board: board, Book: e.book, Writer: e.writer, Logger: c.Logger, Scope: c.Scope})
	e.feeds = []*crankfeed.Follower{
		crankfeed.NewFollower(crankfeed.FollowerConfig{Store: c.Store, Topic: crank.OperatorTopic, Logger: c.Logger, Wait: crankfeed.Every(operatorWait), Sink: board}),
		crankfeed.NewFollower(crankfeed.FollowerConfig{Store: c.Store, Topic: crank.JobTopic, Logger: c.Logger, Wait: e.bookWait, Gap: e.bookGap, Hurry: e.book.Hurry(), Sink: e.book}),
	}
	e.elector = cranklead.New(cranklead.Config{Instance: c.Instance, Share: c.ProcessorShare, Store: c.Store, Logger: c.Logger, Uptime: c.Uptime, Lead: func(ctx context.Context, h *cranklead.Holding) {
		e.leading.Store(true)
		c.Scope.Gauge("term_held").Update(float64(h.Number))
		defer func() {
			e.leading.Store(false)
			c.Scope.Gauge("term_held").Update(0)
		}()
		cranksched.New(cranksched.Config{
			Term: h.Number, Holding: h, Store: c.Store, Book: e.book, Board: board, Decode: c.DecodeWorker, Workers: c.Workers,
			Bounds: c.Bounds, Overlap: h.Overlap, Retention: c.ResultRetention + retentionMargin, Logger: c.Logger, Scope: c.Scope,
		}).Run(ctx)
	}})
	return e
}

func (e *Entry) bookWait() time.Duration {
	if e.book.Awaited() {
		return newsWait
	}
	return bookWait
}

func (e *Entry) bookGap() time.Duration {
	if e.leading.Load() || e.book.Awaited() {
		return plannerGap
	}
	return bookGap
}

// Ready reports whether this instance takes requests.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.Gate.Ready() }

// Draining reports whether the instance is about to stop.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Drain makes the instance report that it is not ready.
func (e *Entry) Drain() { e.draining.Store(true) }

// RunPlanner takes part in planning until the context ends, then hands the
// term over.
func (e *Entry) RunPlanner(ctx context.Context) error { return e.elector.Run(ctx) }

// RunFeeds reads and writes the store until the context ends.
func (e *Entry) RunFeeds(ctx context.Context) error {
	var g run.Group
	for _, part := range []func(context.Context) error{e.feeds[0].Run, e.feeds[1].Run, e.writer.Run, e.announce} {
		call, cancel := context.WithCancel(ctx)
		g.Add(func() error { return part(call) }, func(error) { cancel() })
	}
	return g.Run()
}
