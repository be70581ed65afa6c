package crankproof

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/pkg/crankplan"
	"cranberrycrank/standin/crankfakelist"
	"cranberrycrank/standin/crankfakelog"
	"cranberrycrank/standin/crankfakeworker"
)

// cluster runs entry instances on the stand-ins in one process.
type cluster struct {
	t              *testing.T
	log            *crankfakelog.Log
	list           *crankfakelist.List
	workers        crankfakeworker.Set
	mu             sync.Mutex
	history        *history
	entries        map[string]*entry
	logger         *slog.Logger
	instanceIDs    []string                  // instances that a session keeps running
	leavingWorker  string                    // at most one in a session
	pending        sync.WaitGroup            // scheduled ends of faults and operator actions
	lastZoneChange map[string]crank.Position // by zone, position of the latest recorded change
}

// retention is the age at which log entries are dropped. Every session is longer.
const retention = time.Minute

// entry is one incarnation of an entry instance and its links to the platform.
type entry struct {
	node       *cranknode.Node
	logLink    *link
	workerLink *link
	log        crank.Log
	stop       context.CancelFunc
	done       chan struct{}
}

func newCluster(t *testing.T, config crank.Config) *cluster {
	c := &cluster{
		t:              t,
		log:            crankfakelog.New(crankfakelog.Config{Retention: retention}),
		list:           crankfakelist.New(crankfakelist.Config{Lag: time.Second}),
		workers:        crankfakeworker.Set{},
		history:        newHistory(),
		lastZoneChange: map[string]crank.Position{},
		entries:        map[string]*entry{},
		logger:         slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if os.Getenv("CRANK_TEST_LOG") != "" {
		c.logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	c.appendRecord(crankrecord.Record{Publish: &crankrecord.Publish{Config: config}})
	return c
}

// appendRecord appends a record to the log before any instance runs.
func (c *cluster) appendRecord(r crankrecord.Record) {
	data, err := crankrecord.Encode(crankrecord.Batch{Writer: "setup", Sequence: 1, At: time.Now(), Records: []crankrecord.Record{r}})
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.log.Append(context.Background(), crank.EventStream, data); err != nil {
		c.t.Fatal(err)
	}
}

// addWorkers adds n workers with 8 accelerators each, two per rack.
func (c *cluster) addWorkers(zone string, n int) {
	for i := range n {
		id := fmt.Sprintf("%s-w%d", zone, i)
		capacity := crank.Resources{Accelerators: 8, Cores: 60, MemoryMiB: 1 << 18, Slots: 8}
		c.workers[id] = crankfakeworker.New(crankfakeworker.Config{ID: id, Epoch: "1", Capacity: capacity, Observe: func(e crankfakeworker.Event) { c.history.addWorkerEvent(zone, e) }})
		c.list.Put(crank.Instance{ID: id, Role: crank.RoleWorker, Addr: id, Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/2), Epoch: "1", Capacity: capacity})
	}
}

// startEntry starts a new incarnation of an entry instance with empty state.
func (c *cluster) startEntry(id string) *entry {
	e := &entry{logLink: &link{}, workerLink: &link{}, done: make(chan struct{})}
	e.log = &remoteLog{link: e.logLink, log: c.log}
	e.node = cranknode.New(cranknode.Config{
		Instance:       id,
		Log:            e.log,
		List:           c.list,
		Workers:        &remoteWorkers{link: e.workerLink, workers: c.workers},
		Peers:          c,
		Policy:         crankplan.NewGuaranteePolicy(),
		Logger:         c.logger.With("instance", id),
		SnapshotPeriod: 10 * time.Second,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	c.mu.Lock()
	c.entries[id] = e
	c.mu.Unlock()
	c.list.Put(crank.Instance{ID: id, Role: crank.RoleEntry, Addr: id})
	go func() {
		defer close(e.done)
		_ = e.node.Run(ctx)
	}()
	return e
}

// kill crashes an entry instance: its links go down first, so it can't release
// or announce anything.
func (c *cluster) kill(id string) {
	c.mu.Lock()
	e := c.entries[id]
	delete(c.entries, id)
	c.mu.Unlock()
	e.logLink.setDown(true)
	e.workerLink.setDown(true)
	e.logLink.thaw()
	e.workerLink.thaw()
	c.list.Remove(id)
	e.stop()
	<-e.done
}

// stopAll shuts all entry instances down gracefully.
func (c *cluster) stopAll() {
	c.mu.Lock()
	entries := c.entries
	c.entries = map[string]*entry{}
	c.mu.Unlock()
	for _, e := range entries {
		e.stop()
	}
	for _, e := range entries {
		<-e.done
	}
}

// Peer implements crank.PeerDialer.
func (c *cluster) Peer(addr string) crank.Peer { return &localPeer{cluster: c, id: addr} }

// localPeer calls another instance of the same cluster directly.
type localPeer struct {
	cluster *cluster
	id      string
}

func (p *localPeer) entry() (*entry, error) {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	e, ok := p.cluster.entries[p.id]
	if !ok {
		return nil, crank.Fail("peer call", crank.KindUnavailable, "no instance at %s", p.id)
	}
	return e, nil
}

func (p *localPeer) Status(context.Context) (crank.PeerStatus, error) {
	e, err := p.entry()
	if err != nil {
		return crank.PeerStatus{}, err
	}
	return e.node.Status(), nil
}

func (p *localPeer) Append(ctx context.Context, s crank.Stream, data []byte) (crank.Offset, error) {
	e, err := p.entry()
	if err != nil {
		return 0, err
	}
	return e.log.Append(ctx, s, data)
}

func (p *localPeer) Read(ctx context.Context, s crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	e, err := p.entry()
	if err != nil {
		return crank.LogBatch{}, err
	}
	return e.log.Read(ctx, s, from, limit, wait)
}

// submit returns the ID of the submitted job.
func (c *cluster) submit(e *entry, r cranknode.Request) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	result, err := e.node.Submit(ctx, r)
	if err != nil {
		c.t.Fatalf("submit: %v", err)
	}
	return result.Job
}

// await waits for the outcome of a job.
func (c *cluster) await(e *entry, job string, limit time.Duration) crankstate.Job {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	j, err := e.node.Wait(ctx, job)
	if err != nil {
		c.t.Fatalf("wait: %v", err)
	}
	return j
}
