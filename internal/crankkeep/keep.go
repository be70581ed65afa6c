// Package crankkeep renews the leases of running tasks and records how they
// end.
//
// Each worker has one keeper among the entry instances. A keeper holds one
// long call open to the worker, which extends the leases of all tasks there
// and returns as soon as one of them ends.
package crankkeep

import (
	"context"
	"log/slog"
	"sync"
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

// Config sets up a Keeper.
type Config struct {
	Self    string // identity of this instance in the list
	Log     crank.Log
	Box     *crankbox.Box
	Writer  Proposer
	Members func() crankmembers.View
	Workers crank.WorkerDialer
	Logger  *slog.Logger
}

// Keeper keeps the workers that fall to this instance.
type Keeper struct{ Config }

// New returns a keeper. It works while Run runs.
func New(c Config) *Keeper { return &Keeper{Config: c} }

// Run keeps workers until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	kept := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(crank.ListPeriod)
	defer ticker.Stop()
	for {
		mine := k.mine()
		for id, addr := range mine {
			if kept[key(id, addr)] != nil {
				continue
			}
			call, cancel := context.WithCancel(ctx)
			kept[key(id, addr)] = cancel
			w := &watch{Config: k.Config, id: id, addr: addr, extended: time.Now()}
			wg.Go(func() { w.run(call) })
		}
		for name, cancel := range kept {
			if !contains(mine, name) {
				cancel()
				delete(kept, name)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// mine returns the addresses of the workers that this instance keeps.
func (k *Keeper) mine() map[string]string {
	members := k.Members()
	mine := make(map[string]string)
	for _, w := range k.Box.View().State.Workers() {
		if members.Keeper(w.ID) == k.Self {
			mine[w.ID] = w.Addr
		}
	}
	return mine
}

func key(id, addr string) string { return id + " " + addr }

func contains(mine map[string]string, name string) bool {
	for id, addr := range mine {
		if key(id, addr) == name {
			return true
		}
	}
	return false
}
