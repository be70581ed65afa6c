// Package crankterm runs the planner of one instance: it claims the planner's
// term, and while it holds it, proposes placements.
//
// The term only avoids wasted proposals. Records that were proposed under an
// old term are void, and the fold judges every placement by itself.
package crankterm

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbox"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankmembers"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// Proposer appends records to the event stream.
type Proposer interface {
	Propose(ctx context.Context, p crankstream.Priority, r ...crankrecord.Record) ([]crankfold.Verdict, error)
}

// Config sets up a Planner.
type Config struct {
	Life           string
	Log            crank.Log
	Box            *crankbox.Box
	Writer         Proposer
	Members        func() crankmembers.View
	Policy         crank.Policy
	Logger         *slog.Logger
	SnapshotPeriod time.Duration
}

// Planner claims the term and plans.
type Planner struct {
	Config
	memory     crank.Memory
	lastTerm   crankfold.Term
	lastChange time.Time // when the term last showed a sign of life
	lastPulse  time.Time
	lastShot   time.Time // of the last snapshot
	firstSeen  map[crank.Position]time.Time
}

// New returns a planner. It works while Run runs.
func New(c Config) *Planner {
	return &Planner{Config: c, firstSeen: make(map[crank.Position]time.Time)}
}

const (
	claimJitter = 300 * time.Millisecond // spread of claims of a free term
	roundGap    = 10 * time.Millisecond  // shortest time between two rounds
	proposeWait = 3 * time.Second
)

// Run plans until the context ends, then gives the term up.
func (p *Planner) Run(ctx context.Context) error {
	p.lastChange = time.Now()
	for ctx.Err() == nil {
		view, changed := p.Box.Get()
		p.watchTerm(view.State)
		switch {
		case view.Stale():
		case p.holds(view.State):
			p.lead(ctx, view.State)
		default:
			p.claim(ctx, view.State)
		}
		crankstream.Pause(ctx, roundGap)
		select {
		case <-changed:
		case <-time.After(crank.PlanPeriod):
		case <-ctx.Done():
		}
	}
	p.release(context.WithoutCancel(ctx))
	return nil
}

func (p *Planner) holds(s crankfold.State) bool { return s.Term.Instance == p.Life }

// watchTerm notes when the holder of the term last showed a sign of life.
func (p *Planner) watchTerm(s crankfold.State) {
	if s.Term != p.lastTerm {
		p.lastTerm = s.Term
		p.lastChange = time.Now()
	}
}

// claim takes over a term that is free or whose holder is silent.
func (p *Planner) claim(ctx context.Context, s crankfold.State) {
	silence := time.Since(p.lastChange)
	wait := crank.TermTimeout
	if s.Term.Instance == "" {
		wait = 0
	}
	if silence < wait+time.Duration(rand.Int64N(int64(claimJitter))) {
		return
	}
	p.memory = crank.Memory{}
	p.propose(ctx, crankstream.PriorityHigh, crankrecord.Record{Term: &crankrecord.Term{After: s.Term.Number, Instance: p.Life}})
	p.lastChange = time.Now()
}

// release gives the term up so that another instance takes it at once.
func (p *Planner) release(ctx context.Context) {
	s := p.Box.View().State
	if !p.holds(s) {
		return
	}
	p.propose(ctx, crankstream.PriorityHigh, crankrecord.Record{Term: &crankrecord.Term{After: s.Term.Number, Instance: p.Life, Release: true}})
}

// lead does the work of the term's holder once.
func (p *Planner) lead(ctx context.Context, s crankfold.State) {
	records := p.pulse(s)
	records = append(records, p.updateWorkers(s)...)
	records = append(records, p.reassign(s)...)
	records = append(records, p.expire(s)...)
	if len(records) > 0 {
		p.propose(ctx, crankstream.PriorityHigh, records...)
		s = p.Box.View().State
	}
	p.plan(ctx, s)
	p.snapshot(ctx)
}

func (p *Planner) pulse(s crankfold.State) []crankrecord.Record {
	if time.Since(p.lastPulse) < crank.PulsePeriod {
		return nil
	}
	p.lastPulse = time.Now()
	return []crankrecord.Record{{Pulse: &crankrecord.Pulse{Term: s.Term.Number}}}
}

// propose appends records in batches and logs what was not accepted.
func (p *Planner) propose(ctx context.Context, priority crankstream.Priority, records ...crankrecord.Record) {
	for len(records) > 0 {
		n := min(len(records), crank.MaxBatchRecords)
		call, cancel := context.WithTimeout(ctx, proposeWait)
		verdicts, err := p.Writer.Propose(call, priority, records[:n]...)
		cancel()
		if err != nil {
			p.Logger.Warn("plan: proposal failed", "error", err)
			return
		}
		for _, v := range verdicts {
			if !v.Accepted {
				p.Logger.Info("plan: proposal is void", "position", v.Position, "reason", v.Reason)
			}
		}
		records = records[n:]
	}
}

// snapshot writes the state when the last snapshot is old. The first one of a
// term is written at once, so that a new instance is ready soon.
func (p *Planner) snapshot(ctx context.Context) {
	if p.SnapshotPeriod == 0 || time.Since(p.lastShot) < p.SnapshotPeriod {
		return
	}
	p.lastShot = time.Now()
	s := p.Box.View().State
	go p.writeSnapshot(ctx, s)
}

func (p *Planner) writeSnapshot(ctx context.Context, s crankfold.State) {
	id := p.Life + "/" + s.Horizon.Format(time.RFC3339Nano)
	size, err := crankstream.WriteSnapshot(ctx, p.Log, id, s)
	if err != nil {
		p.Logger.Warn("plan: snapshot failed", "error", err)
		return
	}
	p.Logger.Info("plan: snapshot written", "next", s.Next, "bytes", size)
}
