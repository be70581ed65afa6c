// Package crankterm runs the planner of one instance. It claims the planner's term;
// the holder of the term is the leader. While this instance is the leader, the
// planner runs planning rounds, proposes their decisions and worker changes, and
// writes snapshots.
//
// The term only avoids wasted proposals; safety does not depend on one leader.
// crankstate rejects records of an old term and checks every placement against the
// current state.
package crankterm

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankcache"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// Proposer appends records to the event stream.
type Proposer interface {
	Propose(ctx context.Context, p crankstream.Priority, r ...crankrecord.Record) ([]crankstate.Verdict, error)
}

// Config holds the settings and dependencies of a Planner.
type Config struct {
	Incarnation    string // of this instance, recorded as the holder of its terms
	Log            crank.Log
	Cache          *crankcache.StateCache
	Writer         Proposer
	Members        func() crankmembers.View
	Policy         crank.Policy
	Logger         *slog.Logger
	SnapshotPeriod time.Duration // 0 disables snapshots
}

// Planner claims the planner's term and runs planning rounds as leader.
type Planner struct {
	Config
	policyState    crank.PolicyState
	lastTerm       crankstate.Term
	lastTermChange time.Time // when the term last showed a claim or heartbeat, or this instance claimed it
	lastHeartbeat  time.Time
	lastSnapshot   time.Time
	firstSeen      map[crank.Position]time.Time // of attempts not yet started, by token
}

// New returns a planner; Run starts it.
func New(c Config) *Planner {
	return &Planner{Config: c, firstSeen: make(map[crank.Position]time.Time)}
}

const (
	claimJitter      = 300 * time.Millisecond // longest random delay of a claim, so that instances rarely claim at once
	minRoundInterval = 10 * time.Millisecond  // shortest pause between passes of Run
	proposeTimeout   = 3 * time.Second
)

// Run claims the term and plans until the context ends, then releases the term.
func (p *Planner) Run(ctx context.Context) error {
	p.lastTermChange = time.Now()
	for ctx.Err() == nil {
		view, changed := p.Cache.Get()
		p.watchTerm(view.State)
		switch {
		case view.Stale():
		case p.isLeader(view.State):
			p.lead(ctx, view.State)
		default:
			p.claim(ctx, view.State)
		}
		crankstream.Sleep(ctx, minRoundInterval)
		select {
		case <-changed:
		case <-time.After(crank.PlanPeriod):
		case <-ctx.Done():
		}
	}
	p.release(context.WithoutCancel(ctx))
	return nil
}

func (p *Planner) isLeader(s crankstate.State) bool { return s.Term.Instance == p.Incarnation }

// watchTerm notes when the term or its heartbeat count last changed.
func (p *Planner) watchTerm(s crankstate.State) {
	if s.Term != p.lastTerm {
		p.lastTerm = s.Term
		p.lastTermChange = time.Now()
	}
}

// claim claims a term that is free or whose holder sent no heartbeat for TermTimeout.
func (p *Planner) claim(ctx context.Context, s crankstate.State) {
	unchanged := time.Since(p.lastTermChange)
	wait := crank.TermTimeout
	if s.Term.Instance == "" {
		wait = 0
	}
	if unchanged < wait+time.Duration(rand.Int64N(int64(claimJitter))) {
		return
	}
	p.policyState = crank.PolicyState{}
	p.propose(ctx, crankstream.PriorityHigh, crankrecord.Record{Term: &crankrecord.Term{PreviousTerm: s.Term.Number, Instance: p.Incarnation}})
	p.lastTermChange = time.Now()
}

// release gives the term up, so that another instance need not wait for
// TermTimeout.
func (p *Planner) release(ctx context.Context) {
	s := p.Cache.View().State
	if !p.isLeader(s) {
		return
	}
	p.propose(ctx, crankstream.PriorityHigh, crankrecord.Record{Term: &crankrecord.Term{PreviousTerm: s.Term.Number, Instance: p.Incarnation, Release: true}})
}

func (p *Planner) lead(ctx context.Context, s crankstate.State) {
	records := p.heartbeat(s)
	records = append(records, p.updateWorkers(s)...)
	records = append(records, p.reassign(s)...)
	records = append(records, p.expire(s)...)
	if len(records) > 0 {
		p.propose(ctx, crankstream.PriorityHigh, records...)
		s = p.Cache.View().State
	}
	p.plan(ctx, s)
	p.snapshot(ctx)
}

func (p *Planner) heartbeat(s crankstate.State) []crankrecord.Record {
	if time.Since(p.lastHeartbeat) < crank.HeartbeatPeriod {
		return nil
	}
	p.lastHeartbeat = time.Now()
	return []crankrecord.Record{{Heartbeat: &crankrecord.Heartbeat{Term: s.Term.Number}}}
}

// propose appends records in batches and logs the rejected ones.
func (p *Planner) propose(ctx context.Context, priority crankstream.Priority, records ...crankrecord.Record) {
	for len(records) > 0 {
		n := min(len(records), crank.MaxBatchRecords)
		call, cancel := context.WithTimeout(ctx, proposeTimeout)
		verdicts, err := p.Writer.Propose(call, priority, records[:n]...)
		cancel()
		if err != nil {
			p.Logger.Warn("plan: proposal failed", "error", err)
			return
		}
		for _, v := range verdicts {
			if !v.Accepted {
				p.Logger.Info("plan: proposal rejected", "position", v.Position, "reason", v.Reason)
			}
		}
		records = records[n:]
	}
}

// snapshot starts writing the state if this instance's last snapshot is older than
// SnapshotPeriod. Its first one is written at once, so that a starting instance has
// little to replay.
func (p *Planner) snapshot(ctx context.Context) {
	if p.SnapshotPeriod == 0 || time.Since(p.lastSnapshot) < p.SnapshotPeriod {
		return
	}
	p.lastSnapshot = time.Now()
	s := p.Cache.View().State
	go p.writeSnapshot(ctx, s)
}

func (p *Planner) writeSnapshot(ctx context.Context, s crankstate.State) {
	id := p.Incarnation + "/" + s.LogTime.Format(time.RFC3339Nano)
	size, err := crankstream.WriteSnapshot(ctx, p.Log, id, s)
	if err != nil {
		p.Logger.Warn("plan: snapshot write failed", "error", err)
		return
	}
	p.Logger.Info("plan: snapshot written", "next", s.Next, "bytes", size)
}
