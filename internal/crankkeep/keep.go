// Package crankkeep renews the leases of running tasks and records how they end and
// which workers are lost.
//
// Each worker has one keeper among the entry instances. The keeper holds a
// long-polling renewal open to the worker, which extends the leases of all tasks
// there and returns early when one of them ends.
package crankkeep

import (
	"context"
	"log/slog"
	"sync"
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

// Config holds the dependencies of a Keeper.
type Config struct {
	Self    string // ID in the instance list
	Log     crank.Log
	Cache   *crankcache.StateCache
	Writer  Proposer
	Members func() crankmembers.View
	Workers crank.WorkerDialer
	Logger  *slog.Logger
}

// Keeper renews the leases of the workers that are assigned to this instance.
type Keeper struct{ Config }

// New returns a keeper; Run starts it.
func New(c Config) *Keeper { return &Keeper{Config: c} }

// Run runs a workerKeeper for each assigned worker until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	cancels := make(map[string]context.CancelFunc) // by keeperKey
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(crank.ListPeriod)
	defer ticker.Stop()
	for {
		assigned := k.assignedWorkers()
		for id, addr := range assigned {
			if cancels[keeperKey(id, addr)] != nil {
				continue
			}
			keeperCtx, cancel := context.WithCancel(ctx)
			cancels[keeperKey(id, addr)] = cancel
			w := &workerKeeper{Config: k.Config, id: id, addr: addr, lastExtended: time.Now()}
			wg.Go(func() { w.run(keeperCtx) })
		}
		for key, cancel := range cancels {
			if !hasKey(assigned, key) {
				cancel()
				delete(cancels, key)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// assignedWorkers returns the addresses of the assigned workers by worker ID.
func (k *Keeper) assignedWorkers() map[string]string {
	members := k.Members()
	assigned := make(map[string]string)
	for _, w := range k.Cache.View().State.Workers() {
		if members.Keeper(w.ID) == k.Self {
			assigned[w.ID] = w.Addr
		}
	}
	return assigned
}

// keeperKey identifies a workerKeeper; a new address of a worker needs a new one.
func keeperKey(id, addr string) string { return id + " " + addr }

func hasKey(assigned map[string]string, key string) bool {
	for id, addr := range assigned {
		if keeperKey(id, addr) == key {
			return true
		}
	}
	return false
}
