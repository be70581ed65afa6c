// Package cranknode runs one entry instance.
//
// The parts of an instance run alone and meet at the box that holds the shared
// state:
//
//	caller -> Submit -> Writer -> log -> Follower -> box
//	box -> Planner (of the term's holder) -> placement -> Writer -> log
//	box -> Dispatcher (of the attempt's owner) -> workers: reserve, start
//	workers -> Keeper (of the worker) -> ended -> Writer -> log
//	box -> Wait -> caller
//
// Nothing is kept on the instance: a new one loads the newest snapshot and
// follows the log from there.
package cranknode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankdispatch"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankkeep"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrelay"
	"cranberrycrank/internal/crankstream"
	"cranberrycrank/internal/crankterm"

	"github.com/oklog/run"
)

// Config sets up a Node.
type Config struct {
	Instance       string // identity in the platform's list
	Log            crank.Log
	List           crank.List
	Workers        crank.WorkerDialer
	Peers          crank.PeerDialer
	Policy         crank.Policy
	Logger         *slog.Logger
	SnapshotPeriod time.Duration
}

// Node is one entry instance.
type Node struct {
	Config
	life      string
	log       crank.Log
	box       *crankbox.Box
	members   *crankmembers.Tracker
	follower  *crankstream.Follower
	writer    *crankstream.Writer
	planner   *crankterm.Planner
	dispatch  *crankdispatch.Dispatcher
	keeper    *crankkeep.Keeper
	admission *admission
	draining  atomic.Bool
	waits     context.Context // ends when the node drains
	stopWaits context.CancelFunc
}

// resultBuffer holds results that the writer has not looked at yet. Each batch
// gives one.
const resultBuffer = 64

// New returns a node. It works while Run runs.
func New(c Config) *Node {
	n := &Node{Config: c, life: c.Instance + "." + randomID(), box: crankbox.New(), admission: newAdmission()}
	n.waits, n.stopWaits = context.WithCancel(context.Background())
	n.members = crankmembers.NewTracker(crankmembers.Config{Self: c.Instance, List: c.List, Peers: c.Peers, Logger: c.Logger})
	n.log = crankrelay.New(crankrelay.Config{Primary: c.Log, Peers: n.members.OtherPeers})
	results := make(chan crankfold.BatchResult, resultBuffer)
	n.follower = crankstream.NewFollower(crankstream.FollowerConfig{Log: n.log, Box: n.box, Logger: c.Logger, Results: results, Writer: n.life})
	n.writer = crankstream.NewWriter(crankstream.WriterConfig{Log: n.log, Box: n.box, Logger: c.Logger, ID: n.life, Results: results})
	n.planner = crankterm.New(crankterm.Config{
		Life:           n.life,
		Log:            n.log,
		Box:            n.box,
		Writer:         n.writer,
		Members:        n.members.View,
		Policy:         c.Policy,
		Logger:         c.Logger,
		SnapshotPeriod: c.SnapshotPeriod,
	})
	n.dispatch = crankdispatch.New(crankdispatch.Config{
		Life:    n.life,
		Log:     n.log,
		Box:     n.box,
		Writer:  n.writer,
		Members: n.members.View,
		Workers: c.Workers,
		Logger:  c.Logger,
	})
	n.keeper = crankkeep.New(crankkeep.Config{
		Self:    c.Instance,
		Log:     n.log,
		Box:     n.box,
		Writer:  n.writer,
		Members: n.members.View,
		Workers: c.Workers,
		Logger:  c.Logger,
	})
	return n
}

// Run works until the context ends. Then the planner, the dispatcher and the
// keeper stop first, and the log writer and the follower after them, so that
// what is under way is still recorded.
func (n *Node) Run(ctx context.Context) error {
	base := context.WithoutCancel(ctx)
	n.Logger.Info("node: started", "life", n.life)
	lower, stopLower := context.WithCancel(base)
	defer stopLower()
	lowerDone := make(chan error, 1)
	go func() { lowerDone <- runAll(lower, n.members.Run, n.follower.Run, n.writer.Run) }()
	err := runAll(ctx, n.planner.Run, n.dispatch.Run, n.keeper.Run)
	stopLower()
	if lowerErr := <-lowerDone; err == nil {
		err = lowerErr
	}
	n.Logger.Info("node: stopped")
	return err
}

// runAll runs parts until the context ends or one of them fails.
func runAll(ctx context.Context, parts ...func(context.Context) error) error {
	var g run.Group
	for _, part := range parts {
		call, cancel := context.WithCancel(ctx)
		g.Add(func() error { return part(call) }, func(error) { cancel() })
	}
	return g.Run()
}

// Drain makes the node report that it is not ready, and ends the long waits of
// its callers. Requests that still arrive are served.
func (n *Node) Drain() {
	n.draining.Store(true)
	n.stopWaits()
	n.Logger.Info("node: draining")
}

// Draining reports whether the node is about to stop.
func (n *Node) Draining() bool { return n.draining.Load() }

// Ready reports whether requests can be judged: the state is whole and current,
// and the node is not draining.
func (n *Node) Ready() bool {
	return !n.draining.Load() && !n.box.View().Stale()
}

// Status returns what the node tells its peers.
func (n *Node) Status() crank.PeerStatus {
	v := n.box.View()
	return crank.PeerStatus{
		Instance:      n.life,
		Next:          v.State.Next,
		ConfigVersion: v.State.Config.Version,
		Ready:         !v.Stale(),
		Draining:      n.draining.Load(),
	}
}

// State returns the shared state as far as this node knows it.
func (n *Node) State() crankfold.State { return n.box.View().State }

// Members returns the instance list as this node last read it.
func (n *Node) Members() crankmembers.View { return n.members.View() }

// fresh returns the state when it is current enough to judge a request on.
func (n *Node) fresh(op string) (crankfold.State, error) {
	v := n.box.View()
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
