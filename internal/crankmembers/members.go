// Package crankmembers follows the platform's instance list and divides the
// workers among the entry instances.
package crankmembers

import (
	"context"
	"hash/fnv"
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Config sets up a Tracker.
type Config struct {
	Self   string // identity of this instance in the list
	List   crank.List
	Peers  crank.PeerDialer
	Logger *slog.Logger
}

// View is the list as it was last read.
type View struct {
	Entries []crank.Instance
	Workers []crank.Instance
	Fresh   time.Time       // start of the read
	Lives   map[string]Life // by entry instance
}

// Life is one life of an entry instance: an instance that was restarted has
// another one.
type Life struct {
	ID     string
	Seen   time.Time
	Status crank.PeerStatus
}

// Tracker reads the list again and again.
type Tracker struct {
	Config
	mu   sync.Mutex
	view View
}

// NewTracker returns a tracker with an empty view.
func NewTracker(c Config) *Tracker {
	return &Tracker{Config: c}
}

// View returns the newest view.
func (t *Tracker) View() View {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.view
}

// Run reads the list until the context ends.
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
	begun := time.Now()
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
	defer cancel()
	instances, err := t.List.Instances(call)
	if err != nil {
		return err
	}
	v := View{Fresh: begun}
	for _, i := range instances {
		switch i.Role {
		case crank.RoleEntry:
			v.Entries = append(v.Entries, i)
		case crank.RoleWorker:
			v.Workers = append(v.Workers, i)
		}
	}
	v.Entries = t.withSelf(v.Entries)
	v.Lives = t.askPeers(ctx, v.Entries)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	return nil
}

// withSelf adds this instance when the list lacks it: the list lags, and a
// worker must not be without a keeper while it does.
func (t *Tracker) withSelf(entries []crank.Instance) []crank.Instance {
	for _, e := range entries {
		if e.ID == t.Self {
			return entries
		}
	}
	return append(entries, crank.Instance{ID: t.Self, Role: crank.RoleEntry})
}

// askPeers asks every other entry instance for its status at once. One that
// does not answer keeps the life that it showed last.
func (t *Tracker) askPeers(ctx context.Context, entries []crank.Instance) map[string]Life {
	old := t.View().Lives
	type answer struct {
		entry string
		life  Life
	}
	answers := make(chan answer, len(entries))
	for _, e := range entries {
		go func() {
			answers <- answer{entry: e.ID, life: t.askPeer(ctx, e, old[e.ID])}
		}()
	}
	lives := make(map[string]Life, len(entries))
	for range entries {
		if a := <-answers; a.life.ID != "" {
			lives[a.entry] = a.life
		}
	}
	return lives
}

func (t *Tracker) askPeer(ctx context.Context, e crank.Instance, old Life) Life {
	if e.ID == t.Self {
		return Life{}
	}
	call, cancel := context.WithTimeout(ctx, crank.CallTimeout/2)
	defer cancel()
	status, err := t.Peers.Peer(e.Addr).Status(call)
	if err != nil {
		return old
	}
	return Life{ID: status.Instance, Seen: time.Now(), Status: status}
}

// lifeTimeout is how long a life counts as running after it last answered.
const lifeTimeout = 3 * time.Second

// Running reports whether a life of some other entry instance answered lately.
func (v View) Running(life string) bool {
	for _, l := range v.Lives {
		if l.ID == life {
			return !l.Status.Draining && time.Since(l.Seen) < lifeTimeout
		}
	}
	return false
}

// OtherPeers returns the interfaces to all other entry instances.
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

// Worker returns a listed worker.
func (v View) Worker(id string) (crank.Instance, bool) {
	for _, w := range v.Workers {
		if w.ID == id {
			return w, true
		}
	}
	return crank.Instance{}, false
}

// Keeper returns the entry instance that renews the leases of a worker, by
// rendezvous hashing. While instances see different lists a worker may have
// two keepers or none for a moment; leases outlast that.
func (v View) Keeper(worker string) string {
	best, bestHash := "", uint64(0)
	for _, e := range v.Entries {
		if e.Leaving {
			continue
		}
		if h := hash(e.ID, worker); best == "" || h > bestHash {
			best, bestHash = e.ID, h
		}
	}
	return best
}

func hash(entry, worker string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(entry))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(worker))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV sum, whose high bits vary little between
// short keys.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
