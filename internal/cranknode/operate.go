package cranknode

import (
	"context"
	"sort"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstream"
)

// Confirmation says which entry instances have applied a change.
type Confirmation struct {
	Position crank.Position `json:"position"`
	Accepted time.Time      `json:"accepted"`          // when this instance saw it accepted
	Version  int            `json:"version,omitempty"` // of the configuration
	Applied  []string       `json:"applied"`
	Missing  []string       `json:"missing"`
}

// SetZone takes an availability zone out of service or brings it back.
func (n *Node) SetZone(ctx context.Context, z crankrecord.Zone) (Confirmation, error) {
	return n.operate(ctx, "zone set", crankrecord.Record{Zone: &z})
}

// Publish replaces the configuration of version base.
func (n *Node) Publish(ctx context.Context, base int, c crank.Config) (Confirmation, error) {
	confirmation, err := n.operate(ctx, "config publish", crankrecord.Record{Publish: &crankrecord.Publish{Base: base, Config: c}})
	confirmation.Version = base + 1
	return confirmation, err
}

// operate appends an operator's record and waits until the other instances
// have applied it.
func (n *Node) operate(ctx context.Context, op string, r crankrecord.Record) (Confirmation, error) {
	if _, err := n.fresh(op); err != nil {
		return Confirmation{}, err
	}
	call, cancel := context.WithTimeout(ctx, submitWait)
	verdict, err := n.writer.ProposeOne(call, crankstream.PriorityHigh, r)
	cancel()
	if err != nil {
		return Confirmation{}, err
	}
	if err := verdict.Err(op); err != nil {
		return Confirmation{}, err
	}
	return n.confirm(ctx, verdict.Position), nil
}

// Times of a confirmation.
const (
	confirmWait = 5 * time.Second
	confirmPoll = 100 * time.Millisecond
)

// confirm asks every other entry instance until each has applied a position.
func (n *Node) confirm(ctx context.Context, p crank.Position) Confirmation {
	call, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	c := Confirmation{Position: p, Accepted: time.Now(), Applied: []string{n.Instance}, Missing: []string{}}
	waiting := make(map[string]crank.Peer)
	for _, e := range n.members.View().Entries {
		if e.ID != n.Instance {
			waiting[e.ID] = n.Peers.Peer(e.Addr)
		}
	}
	for len(waiting) > 0 && call.Err() == nil {
		for id, peer := range waiting {
			once, stop := context.WithTimeout(call, crank.CallTimeout)
			status, err := peer.Status(once)
			stop()
			if err == nil && status.Next > p.Offset() {
				c.Applied = append(c.Applied, id)
				delete(waiting, id)
			}
		}
		if len(waiting) > 0 {
			select {
			case <-time.After(confirmPoll):
			case <-call.Done():
			}
		}
	}
	for id := range waiting {
		c.Missing = append(c.Missing, id)
	}
	sort.Strings(c.Applied)
	sort.Strings(c.Missing)
	return c
}

// Explain says why a job is where it is. For a waiting job it makes a planning
// round on this instance's state, without proposing anything.
func (n *Node) Explain(j crankfold.Job) string {
	switch j.State {
	case crankfold.JobWaiting:
		return n.explainWait(j)
	case crankfold.JobPlaced:
		return "its workers are being reserved by " + j.Attempt.Owner
	case crankfold.JobRunning:
		return "it runs"
	}
	return j.Detail
}

func (n *Node) explainWait(j crankfold.Job) string {
	for _, w := range n.planner.Preview(n.State()).Waits {
		if w.Job == j.Job {
			return w.Reason
		}
	}
	return "it is placed in the next planning round"
}

// AtRisk returns the guarantee cells that can't be claimed now.
func (n *Node) AtRisk() []string { return n.planner.Preview(n.State()).AtRisk }

// Leads reports whether this instance holds the planner's term.
func (n *Node) Leads() bool { return n.State().Term.Instance == n.life }
