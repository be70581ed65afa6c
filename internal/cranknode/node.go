// Package cranknode runs one entry instance (the serve command), which schedules
// through the platform's log.
//
// The components of an instance run concurrently and share the replicated state
// through a cache:
//
//	caller -> Submit -> Writer -> log -> Follower -> cache
//	cache -> Planner (of the term's holder) -> placement -> Writer -> log
//	cache -> Dispatcher (of the attempt's owner) -> workers: reserve, start
//	workers -> Keeper (of the worker) -> end of a part -> Writer -> log
//	cache -> Wait -> caller
//
// An instance stores nothing itself: a new one loads the newest snapshot and
// applies the log from there.
package cranknode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankdispatch"
	"cranberrycrank/internal/crankkeep"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrelay"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
	"cranberrycrank/internal/crankterm"

	"github.com/oklog/run"
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	Instance       string // ID in the platform's instance list
	Log            crank.Log
	List           crank.InstanceList
	Workers        crank.WorkerDialer
	Peers          crank.PeerDialer
	Policy         crank.Policy
	Logger         *slog.Logger
	SnapshotPeriod time.Duration
}

// Node is one entry instance.
type Node struct {
	Config
	incarnation string
	log         crank.Log
	cache       *crankcache.StateCache
	members     *crankmembers.Tracker
	follower    *crankstream.Follower
	writer      *crankstream.Writer
	planner     *crankterm.Planner
	dispatcher  *crankdispatch.Dispatcher
	keeper      *crankkeep.Keeper
	admission   *admission
	draining    atomic.Bool
	waitContext context.Context // canceled when the node drains
	cancelWaits context.CancelFunc
}

// resultBuffer is the number of batch results that may wait for the writer; a batch
// has one.
const resultBuffer = 64

// New returns a node; Run starts it.
func New(c Config) *Node {
	n := &Node{Config: c, incarnation: c.Instance + "." + randomID(), cache: crankcache.New(), admission: newAdmission()}
	n.waitContext, n.cancelWaits = context.WithCancel(context.Background())
	n.members = crankmembers.NewTracker(crankmembers.Config{Self: c.Instance, List: c.List, Peers: c.Peers, Logger: c.Logger})
	n.log = crankrelay.New(crankrelay.Config{Primary: c.Log, Peers: n.members.OtherPeers})
	results := make(chan crankstate.BatchResult, resultBuffer)
	n.follower = crankstream.NewFollower(crankstream.FollowerConfig{Log: n.log, Cache: n.cache, Logger: c.Logger, Results: results, WriterID: n.incarnation})
	n.writer = crankstream.NewWriter(crankstream.WriterConfig{Log: n.log, Cache: n.cache, Logger: c.Logger, ID: n.incarnation, Results: results})
	n.planner = crankterm.New(crankterm.Config{
		Incarnation:    n.incarnation,
		Log:            n.log,
		Cache:          n.cache,
		Writer:         n.writer,
		Members:        n.members.View,
		Policy:         c.Policy,
		Logger:         c.Logger,
		SnapshotPeriod: c.SnapshotPeriod,
	})
	n.dispatcher = crankdispatch.New(crankdispatch.Config{
		Incarnation: n.incarnation,
		Log:         n.log,
		Cache:       n.cache,
		Writer:      n.writer,
		Members:     n.members.View,
		Workers:     c.Workers,
		Logger:      c.Logger,
	})
	n.keeper = crankkeep.New(crankkeep.Config{
		Self:    c.Instance,
		Log:     n.log,
		Cache:   n.cache,
		Writer:  n.writer,
		Members: n.members.View,
		Workers: c.Workers,
		Logger:  c.Logger,
	})
	return n
}

// Run runs the node until the context ends. The planner, dispatcher and keeper stop
// first, then the log writer and follower, so that work in progress is recorded.
func (n *Node) Run(ctx context.Context) error {
	base := context.WithoutCancel(ctx)
	n.Logger.Info("node: started", "life", n.incarnation)
	logContext, stopLog := context.WithCancel(base)
	defer stopLog()
	logDone := make(chan error, 1)
	go func() { logDone <- runAll(logContext, n.members.Run, n.follower.Run, n.writer.Run) }()
	err := runAll(ctx, n.planner.Run, n.dispatcher.Run, n.keeper.Run)
	stopLog()
	if logErr := <-logDone; err == nil {
		err = logErr
	}
	n.Logger.Info("node: stopped")
	return err
}

// runAll runs functions concurrently until all have returned. When one returns or
// ctx ends, the others are canceled.
func runAll(ctx context.Context, functions ...func(context.Context) error) error {
	var g run.Group
	for _, f := range functions {
		call, cancel := context.WithCancel(ctx)
		g.Add(func() error { return f(call) }, func(error) { cancel() })
	}
	return g.Run()
}

// Drain makes the node report that it is not ready and ends all Wait calls. Requests
// that still arrive are served.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.cancelWaits()
	n.Logger.Info("node: draining")
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.draining.Load() }

// Ready reports whether the state is loaded and current and the node is not
// draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && !n.cache.View().Stale()
}

// Status returns what the node reports to its peers.
func (n *Node) Status() crank.PeerStatus {
	v := n.cache.View()
	return crank.PeerStatus{
		Instance:      n.incarnation,
		Next:          v.State.Next,
		ConfigVersion: v.State.Config.Version,
		Ready:         !v.Stale(),
		Draining:      n.draining.Load(),
	}
}

// State returns the newest applied state, which may be stale.
func (n *Node) State() crankstate.State { return n.cache.View().State }

// Members returns the newest view of the instance list.
func (n *Node) Members() crankmembers.View { return n.members.View() }

// currentState returns the state, or fails with KindUnavailable when it is too old
// to decide on a request.
func (n *Node) currentState(op string) (crankstate.State, error) {
	v := n.cache.View()
	if v.Stale() {
		return v.State, crank.Fail(op, crank.KindUnavailable, "the instance has no current state")
	}
	return v.State, nil
}

const randomIDBytes = 12

func randomID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
