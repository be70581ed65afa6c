// Package crankmembers polls the platform's instance list and the status of the
// other entry instances, and assigns each worker a keeper: the entry instance that
// renews its leases.
package crankmembers

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config holds the settings and dependencies of a Tracker.
type Config struct {
	Self   string // ID of this instance in the list
	List   crank.InstanceList
	Peers  crank.PeerDialer
	Logger *slog.Logger
}

// View is the instance list and the status of the peers as last read.
type View struct {
	Entries      []crank.Instance
	Workers      []crank.Instance
	AsOf         time.Time              // start of the read of the list
	Incarnations map[string]Incarnation // by ID of the entry instance
}

// Incarnation is an entry instance between two restarts.
type Incarnation struct {
	ID       string
	LastSeen time.Time
	Status   crank.PeerStatus
}

// Tracker polls the instance list and the peers.
type Tracker struct {
	Config
	mu   sync.Mutex
	view View
}

// NewTracker returns a tracker with an empty view. Run fills it.
func NewTracker(c Config) *Tracker {
	return &Tracker{Config: c}
}

// View returns the newest view.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Run polls every ListPeriod until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(crank.ListPeriod)
	defer ticker.Stop()
	for {
		if err := t.read(ctx); err != nil && ctx.Err() == nil {
			t.Logger.Warn("members: list read failed", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (t *Tracker) read(ctx context.Context) error {
	start := time.Now()
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	instances, err := t.List.Instances(call)
	if err != nil {
		return err
	}
	v := View{AsOf: start}
	for _, i := range instances {
		switch i.Role {
		case crank.RoleEntry:
			v.Entries = append(v.Entries, i)
		case crank.RoleWorker:
			v.Workers = append(v.Workers, i)
		}
	}
	v.Entries = t.withSelf(v.Entries)
	v.Incarnations = t.pollPeers(ctx, v.Entries)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	return nil
}

// withSelf adds this instance if the list, which lags, lacks it. Otherwise a worker
// could be without a keeper.
func (t *Tracker) withSelf(entries []crank.Instance) []crank.Instance {
	for _, e := range entries {
		if e.ID == t.Self {
			return entries
		}
	}
	return append(entries, crank.Instance{ID: t.Self, Role: crank.RoleEntry})
}

// pollPeers asks all other entry instances for their status concurrently. One that
// does not answer keeps its last incarnation.
func (t *Tracker) pollPeers(ctx context.Context, entries []crank.Instance) map[string]Incarnation {
	old := t.View().Incarnations
	type pollResult struct {
		entry       string
		incarnation Incarnation
	}
	results := make(chan pollResult, len(entries))
	for _, e := range entries {
		go func() {
			results <- pollResult{entry: e.ID, incarnation: t.pollPeer(ctx, e, old[e.ID])}
		}()
	}
	incarnations := make(map[string]Incarnation, len(entries))
	for range entries {
		if r := <-results; r.incarnation.ID != "" {
			incarnations[r.entry] = r.incarnation
		}
	}
	return incarnations
}

func (t *Tracker) pollPeer(ctx context.Context, e crank.Instance, old Incarnation) Incarnation {
	if e.ID == t.Self {
		return Incarnation{}
	}
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout/2)
	defer cancel()
	status, err := t.Peers.Peer(e.Addr).Status(call)
	if err != nil {
		return old
	}
	return Incarnation{ID: status.Instance, LastSeen: time.Now(), Status: status}
}

// incarnationTimeout is how long after its last answer an incarnation counts as
// running.
const incarnationTimeout = 3 * time.Second

// Running reports whether an incarnation of another entry instance answered within
// incarnationTimeout and is not draining.
func (v View) Running(incarnation string) bool {
	for _, i := range v.Incarnations {
		if i.ID == incarnation {
			return !i.Status.Draining && time.Since(i.LastSeen) < incarnationTimeout
		}
	}
	return false
}

// OtherPeers returns clients of the other entry instances that are not leaving.
func (t *Tracker) OtherPeers() []crank.Peer {
	v := t.View()
	peers := make([]crank.Peer, 0, len(v.Entries))
	for _, e := range v.Entries {
		if e.ID != t.Self && !e.Leaving {
			peers = append(peers, t.Peers.Peer(e.Addr))
		}
	}
	return peers
}

// Worker returns a worker by its ID.
func (v View) Worker(id string) (crank.Instance, bool) {
	for _, w := range v.Workers {
		if w.ID == id {
			return w, true
		}
	}
	return crank.Instance{}, false
}

// Keeper returns the ID of a worker's keeper, by rendezvous hashing. While instances
// see different lists, a worker may briefly have two keepers or none; leases outlast
// that.
func (v View) Keeper(worker string) string {
	best, bestHash := "", uint64(0)
	for _, e := range v.Entries {
		if e.Leaving {
			continue
		}
		if h := rendezvousHash(e.ID, worker); best == "" || h > bestHash {
			best, bestHash = e.ID, h
		}
	}
	return best
}

func rendezvousHash(entry, worker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	return finalizeHash(h.Sum64())
}

// finalizeHash is the 64-bit finalizer of MurmurHash3, as the high bits of an FNV
// sum vary little between short keys.
func finalizeHash(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
