// Package crankentry assembles an entry instance (the entry command), which accepts
// jobs and takes part in scheduling them on leased workers.
//
//	caller -> crankgate -> writer -> job topic -> crankjobs (at every instance)
//	operator topic -> crankoperator (at every instance)
//	term topic -> elector -> scheduler (at the holder of the term) -> workers
//	workers that drain -> witness (at the others) -> job topic, while the holder is silent
//	store calls -> crankrelay -> store, directly or through another instance
//
// All instances are equal; all durable state is in the store.
package crankentry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfleet"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/internal/crankjobs"
	"cranberrycrank/internal/cranklead"
	"cranberrycrank/internal/crankoperator"
	"cranberrycrank/internal/crankrelay"
	"cranberrycrank/internal/cranksched"
	"cranberrycrank/internal/crankwitness"

	"github.com/oklog/run"
	"github.com/uber-go/tally/v4"
)

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Instance        string
	Zone            string
	PeerAddr        string // for other instances, IP:port
	Peers           crank.StorePeerDialer
	Leaders         crank.LeaderDialer
	Store           crank.Store
	TopicEnds       crank.TopicEnds // of the same store
	Workers         crank.LeaseDialer
	DecodeWorker    crankfleet.Decoder
	DecodeOperator  crankoperator.Decoder
	Bounds          crank.LeaseBounds
	Planning        crank.Planning
	StoreLimits     crank.StoreLimits
	ResultRetention time.Duration // how long ended jobs are kept
	ConfigBound     time.Duration // within which a published configuration must be in force, 0 for the default
	ProcessorShare  float64       // of a processor that the instance may use
	MemoryMiB       int           // that the process may use, 0 for no limit
	Descriptors     int           // that the process may open, 0 if not known
	LinkMbps        float64       // of the machine's link, 0 if not known
	Uptime          crank.Uptime
	// MarkConnections has requests on connections that are accepted from now on count as sent
	// after now, see crankgate.Request; nil for none.
	MarkConnections func()
	Logger          *slog.Logger
	Scope           tally.Scope
}

// Timing of reads from the store.
const (
	operatorReadWait = 1 * time.Second        // of the operator topic; bounds the age of the configuration while nothing is published
	idleReadInterval = 500 * time.Millisecond // of the job topic while no caller waits for a change
	busyReadInterval = 15 * time.Millisecond  // of the job topic at the planner or while callers wait
	busyReadShare    = 1 * time.Millisecond   // of the job topic while callers wait, by all instances together
	// A read that arrives during an append is answered only at the next append,
	// so reads of the job topic wait only briefly.
	idleReadWait = 150 * time.Millisecond
	busyReadWait = 60 * time.Millisecond // while callers wait for a change
	// retentionMargin extends the retention, since instances read the end of a job
	// at different times.
	retentionMargin = 60 * time.Second
)

// marksPerHeartbeat is how often the end of the worker topic is read while a worker
// writes its entry once.
const marksPerHeartbeat = 2

// jobMemoryShare divides the memory of the process: so much may be set aside for jobs,
// and half as much is for further occurrences of recurring ones. The rest is for workers,
// connections, requests and garbage.
const jobMemoryShare = 4

// Entry is one entry instance.
type Entry struct {
	Config
	Requests  *crankgate.RequestHandler
	jobs      *crankjobs.JobReplica
	writer    *crankfeed.Writer
	relay     *crankrelay.Store
	peerKey   string               // required from other instances
	timeline  *crankfleet.Timeline // of the worker topic
	elector   *cranklead.Elector
	witness   *crankwitness.Witness
	followers []*crankfeed.Follower
	scheduler atomic.Pointer[cranksched.Scheduler] // while this instance holds the term
	draining  atomic.Bool
}

// New returns an entry instance. It works while RunFeeds and RunPlanner run.
func New(c Config) *Entry {
	e := &Entry{jobs: crankjobs.New(c.Logger), peerKey: rand.Text()}
	e.relay = crankrelay.NewStore(crankrelay.StoreConfig{
		Primary: meteredStore{c.Store, meter{c.Scope, "store_call"}}, Peers: e.storePeers, Instances: e.instanceCount, Logger: c.Logger, Scope: c.Scope,
		Certain: c.Planning.Adaptive, KeepPeer: c.Planning.Adaptive,
	})
	c.Store = e.relay
	e.timeline = crankfleet.NewTimeline(crankfleet.TimelineConfig{
		Ends: meteredEnds{c.TopicEnds, meter{c.Scope, "store_call"}}, Period: c.Bounds.Heartbeat / marksPerHeartbeat, Uptime: c.Uptime, Logger: c.Logger,
	})
	c.Workers = meteredDialer{c.Workers, meter{c.Scope, "worker_call"}}
	e.Config = c
	operator := crankoperator.New(c.DecodeOperator, c.Logger)
	e.writer = crankfeed.NewWriter(crankfeed.WriterConfig{Store: c.Store, Topic: crank.JobTopic, Logger: c.Logger, Producer: c.Instance + "/" + rand.Text(), Epoch: 1, Limits: c.StoreLimits, Withdraw: c.Planning.Adaptive})
	budget := crankjobs.Budget{Bytes: int64(c.MemoryMiB) << 20 / jobMemoryShare, Retention: c.ResultRetention + retentionMargin}
	e.Requests = crankgate.New(crankgate.Config{Operator: operator, Jobs: e.jobs, Writer: e.writer, Store: c.Store, Leader: &leaderRoute{e: e}, Planning: c.Planning, ConfigBound: c.ConfigBound, StoreLimits: c.StoreLimits, Budget: budget, Logger: c.Logger, Scope: c.Scope})
	e.followers = []*crankfeed.Follower{
		crankfeed.NewFollower(crankfeed.FollowerConfig{Store: c.Store, Topic: crank.OperatorTopic, Logger: c.Logger, Wait: crankfeed.Constant(operatorReadWait), Sink: operator}),
		crankfeed.NewFollower(crankfeed.FollowerConfig{Store: c.Store, Topic: crank.JobTopic, Logger: c.Logger, Wait: e.jobReadWait, MinInterval: e.jobReadInterval, Wake: e.jobs.WaitStarted(), Sink: e.jobs, BeforeLoad: e.spreadLoad}),
	}
	e.elector = cranklead.New(cranklead.Config{Instance: c.Instance, ProcessorShare: c.ProcessorShare, Instances: e.instanceCount, Store: c.Store, Logger: c.Logger, Uptime: c.Uptime, MaxLease: c.Bounds.MaxLease, ClaimDelay: e.claimDelay, LedWorkers: e.ledWorkers, Lead: func(ctx context.Context, h *cranklead.HeldTerm) {
		scheduler := cranksched.New(cranksched.Config{
			Term: h.Number, Leadership: h, Store: c.Store, Jobs: e.jobs, Operator: operator, Decode: c.DecodeWorker, Timeline: e.timeline, Workers: c.Workers,
			Bounds: c.Bounds, Planning: c.Planning, StoreLimits: c.StoreLimits, Former: h.Former, Uptime: c.Uptime, Retention: budget.Retention, Budget: budget, Logger: c.Logger, Scope: c.Scope,
		})
		e.scheduler.Store(scheduler)
		c.Scope.Gauge("term_held").Update(float64(h.Number))
		defer func() {
			e.scheduler.Store(nil)
			c.Scope.Gauge("term_held").Update(0)
		}()
		go e.watchFootprint(ctx, h.Yield)
		scheduler.Run(ctx)
	}})
	e.witness = crankwitness.New(crankwitness.Config{
		Instance: c.Instance, Jobs: e.jobs, Term: e.elector.Term, Silent: e.elector.Silent, Workers: c.Workers, Writer: e.writer, Store: c.Store, Decode: c.DecodeWorker, Timeline: e.timeline, Logger: c.Logger,
	})
	return e
}

func (e *Entry) jobReadWait() time.Duration {
	if e.jobs.HasWaiters() {
		return busyReadWait
	}
	return idleReadWait
}

func (e *Entry) jobReadInterval() time.Duration {
	switch {
	case e.scheduler.Load() != nil:
		return busyReadInterval
	case e.jobs.HasWaiters():
		return min(idleReadInterval, max(busyReadInterval, time.Duration(e.instanceCount())*busyReadShare))
	}
	return idleReadInterval
}

// instanceCount returns how many instances share the store: before the job topic is read, as
// many as the leader's heartbeat says.
func (e *Entry) instanceCount() int {
	view := e.jobs.View()
	if view.End == 0 {
		return max(1, e.elector.StatedInstances())
	}
	return max(1, view.State.InstanceCount())
}

// markConnections calls MarkConnections whenever withdrawals were read, until the context ends.
func (e *Entry) markConnections(ctx context.Context) error {
	for {
		select {
		case <-e.jobs.Withdrawn():
			if e.MarkConnections != nil {
				e.MarkConnections()
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// Ready reports whether this instance accepts requests.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.Requests.Ready() }

// Draining reports whether Drain was called.
func (e *Entry) Draining() bool { return e.draining.Load() }

// Drain makes the instance report that it is not ready.
func (e *Entry) Drain() { e.draining.Store(true) }

// RunPlanner takes part in elections and runs the planner while this instance
// holds the term. When the context ends it releases the term.
func (e *Entry) RunPlanner(ctx context.Context) error { return e.elector.Run(ctx) }

// RunFeeds follows the topics, writes the job topic and announces this instance
// until the context ends.
func (e *Entry) RunFeeds(ctx context.Context) error {
	var g run.Group
	for _, actor := range []func(context.Context) error{e.followers[0].Run, e.followers[1].Run, e.writer.Run, e.timeline.Run, e.witness.Run, e.announce, e.markConnections} {
		callCtx, cancel := context.WithCancel(ctx)
		g.Add(func() error { return actor(callCtx) }, func(error) { cancel() })
	}
	return g.Run()
}
