package cranknode

import (
	"context"
	"sort"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/internal/crankstream"
)

// Confirmation lists the entry instances that have applied an operator's change and
// those that have not confirmed it.
type Confirmation struct {
	Position   crank.Position `json:"position"`
	AcceptedAt time.Time      `json:"accepted"`          // when this instance saw it
	Version    int            `json:"version,omitempty"` // of the published configuration
	Applied    []string       `json:"applied"`
	Missing    []string       `json:"missing"`
}

// SetZone takes an availability zone out of service or brings it back.
func (n *Node) SetZone(ctx context.Context, z crankrecord.Zone) (Confirmation, error) {
	return n.proposeAndConfirm(ctx, "zone set", crankrecord.Record{Zone: &z})
}

// Publish replaces the configuration. It is rejected unless base is the current
// version.
func (n *Node) Publish(ctx context.Context, base int, c crank.Config) (Confirmation, error) {
	confirmation, err := n.proposeAndConfirm(ctx, "config publish", crankrecord.Record{Publish: &crankrecord.Publish{Base: base, Config: c}})
	confirmation.Version = base + 1
	return confirmation, err
}

// proposeAndConfirm appends an operator's record and waits until the other entry
// instances have applied it.
func (n *Node) proposeAndConfirm(ctx context.Context, op string, r crankrecord.Record) (Confirmation, error) {
	if _, err := n.currentState(op); err != nil {
		return Confirmation{}, err
	}
	call, cancel := context.WithTimeout(ctx, submitTimeout)
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

const (
	confirmTimeout    = 5 * time.Second
	confirmPollPeriod = 100 * time.Millisecond
)

// confirm polls the other entry instances until each has applied the record at p,
// up to confirmTimeout.
func (n *Node) confirm(ctx context.Context, p crank.Position) Confirmation {
	call, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c := Confirmation{Position: p, AcceptedAt: time.Now(), Applied: []string{n.Instance}, Missing: []string{}}
	pending := make(map[string]crank.Peer)
	for _, e := range n.members.View().Entries {
		if e.ID != n.Instance {
			pending[e.ID] = n.Peers.Peer(e.Addr)
		}
	}
	for len(pending) > 0 && call.Err() == nil {
		for id, peer := range pending {
			statusCall, cancelStatus := context.WithTimeout(call, crank.CallTimeout)
			status, err := peer.Status(statusCall)
			cancelStatus()
			if err == nil && status.Next > p.Offset() {
				c.Applied = append(c.Applied, id)
				delete(pending, id)
			}
		}
		if len(pending) > 0 {
			select {
			case <-time.After(confirmPollPeriod):
			case <-call.Done():
			}
		}
	}
	for id := range pending {
		c.Missing = append(c.Missing, id)
	}
	sort.Strings(c.Applied)
	sort.Strings(c.Missing)
	return c
}

// Explain says why a job is in its state. For a waiting job it previews a planning
// round on this instance's state.
func (n *Node) Explain(j crankstate.Job) string {
	switch j.State {
	case crankstate.JobWaiting:
		return n.explainWait(j)
	case crankstate.JobPlaced:
		return "its workers are being reserved by " + j.Attempt.Owner
	case crankstate.JobRunning:
		return "it runs"
	}
	return j.Detail
}

func (n *Node) explainWait(j crankstate.Job) string {
	for _, w := range n.planner.Preview(n.State()).Waits {
		if w.Job == j.Job {
			return w.Reason
		}
	}
	return "it is placed in the next planning round"
}

// CellsAtRisk returns the names of the guarantee cells that can't be claimed now.
func (n *Node) CellsAtRisk() []string { return n.planner.Preview(n.State()).CellsAtRisk }

// IsLeader reports whether this instance holds the planner's term.
func (n *Node) IsLeader() bool { return n.State().Term.Instance == n.incarnation }
