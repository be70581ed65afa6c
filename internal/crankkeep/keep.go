// Package crankkeep renews the leases of running tasks, records how they end, and
// records which workers are lost.
//
// Each worker is assigned to one entry instance, its keeper. The keeper keeps a
// long-polling call open to the worker. The call extends the leases of all tasks
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
	Self    string // ID of this instance in the instance list
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

// Run starts and stops a workerKeeper for each assigned worker until the context
// ends.
func (k *Keeper) Run(ctx context.Context) error {
	keepers := make(map[string]context.CancelFunc)
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(crank.ListPeriod)
	defer ticker.Stop()
	for {
		assigned := k.assignedWorkers()
		for id, addr := range assigned {
			if keepers[keeperKey(id, addr)] != nil {
				continue
			}
			call, cancel := context.WithCancel(ctx)
			keepers[keeperKey(id, addr)] = cancel
			w := &workerKeeper{Config: k.Config, id: id, addr: addr, lastExtended: time.Now()}
			wg.Go(func() { w.run(call) })
		}
		for name, cancel := range keepers {
			if !hasKey(assigned, name) {
				cancel()
				delete(keepers, name)
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

// keeperKey identifies a workerKeeper. A worker with a new address gets a new one.
func keeperKey(id, addr string) string { return id + " " + addr }

func hasKey(assigned map[string]string, name string) bool {
	for id, addr := range assigned {
		if keeperKey(id, addr) == name {
			return true
		}
	}
	return false
}
