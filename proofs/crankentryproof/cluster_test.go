package crankentryproof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbook"
	"cranberrycrank/internal/crankentry"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakestore"

	"github.com/uber-go/tally/v4"
)

// Bounds of the workers of all tests.
var bounds = crank.LeaseBounds{HoldLimit: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second}

const (
	heartbeat = 1500 * time.Millisecond // between a worker's entries
	host      = "desk.example"
	callerKey = "key-of-the-desk"
	wardKey   = "key-of-the-ward" // of a workspace without a guarantee
)

// cluster is a store, workers and entry instances in one synctest bubble.
type cluster struct {
	t       *testing.T
	store   *crankfakestore.Store
	fleet   *crankfakefleet.Fleet
	started time.Time
	key     string // of the caller

	mu      sync.Mutex
	jobs    map[string]crank.StepJob
	entries map[string]*member
	dead    map[string]bool // callers that nothing comes from
	cut     map[string]bool // callers that don't reach the store
	apart   map[string]bool // callers that reach no other instance
	away    map[string]bool // workers that nobody reaches
	silent  map[string]bool // workers whose entries are no longer written
	listed  map[string]crank.WorkerEntry
	late    func(caller, worker, call string) crankfakefleet.Fault
	storage func(caller, call string) crankfakestore.Fault
	lives   int
}

type member struct {
	*crankentry.Entry
	caller string
	stop   context.CancelFunc
	done   chan struct{}
}

// play runs a test in virtual time.
func play(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: crankfakestore.New(), started: time.Now(), key: callerKey, jobs: make(map[string]crank.StepJob),
			entries: make(map[string]*member), dead: make(map[string]bool), cut: make(map[string]bool), apart: make(map[string]bool),
			away: make(map[string]bool), silent: make(map[string]bool), listed: make(map[string]crank.WorkerEntry),
		}
		c.store.SetFaults(c.storeFault)
		c.fleet = crankfakefleet.New(crankfakefleet.Config{
			Bounds: bounds, Specs: c.spec, Faults: c.workerFault,
			RunTime: func(id crank.TaskID, _ string) time.Duration { return c.step(id).RunTime },
		})
		ctx, stop := context.WithCancel(t.Context())
		defer func() { // also when a check ends the test
			for name := range c.entries {
				c.kill(name)
			}
			stop()
			time.Sleep(time.Minute) // leases, and orders that are carried out late
			for _, v := range c.fleet.Violations() {
				t.Error(v)
			}
		}()
		go c.beat(ctx)
		f(t, c)
	})
}

func (c *cluster) spec(id string) (crank.StepJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

func (c *cluster) step(id crank.TaskID) crank.Step {
	j, _ := c.spec(id.Job)
	return j.Steps[id.Step]
}

func (c *cluster) storeFault(caller, call string) crankfakestore.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[caller] || c.cut[caller] {
		return crankfakestore.Fault{Delay: time.Hour}
	}
	if c.storage != nil {
		if f := c.storage(caller, call); f != (crankfakestore.Fault{}) {
			return f
		}
	}
	return crankfakestore.Fault{Delay: 4 * time.Millisecond}
}

func (c *cluster) workerFault(caller, worker, call string) crankfakefleet.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[caller] || c.away[worker] {
		return crankfakefleet.Fault{Cut: true}
	}
	if c.late != nil {
		return c.late(caller, worker, call)
	}
	return crankfakefleet.Fault{}
}

// set changes the faults.
func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// beat writes the workers' entries again and again.
func (c *cluster) beat(ctx context.Context) {
	for ctx.Err() == nil {
		var entries []crank.WorkerEntry
		c.set(func() {
			for id, e := range c.listed {
				if !c.silent[id] {
					entries = append(entries, e)
				}
			}
		})
		for _, e := range entries {
			c.store.Put(crank.WorkerTopic, e.ID, crankfakefleet.Encode(e))
		}
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// addWorkers starts workers of 8 accelerators, four to a rack.
func (c *cluster) addWorkers(n int) {
	for i := range n {
		c.addWorker(i)
	}
}

func (c *cluster) addWorker(i int) {
	rack := fmt.Sprintf("r%d", i/4)
	e := c.fleet.Add(crank.WorkerEntry{
		ID: fmt.Sprintf("w%02d", i), Pool: "desk", Addr: "0.0.0.0:0", Zone: fmt.Sprintf("z%d", i%3), Rack: rack, Labels: []string{"a", rack},
		Capacity: crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8},
	})
	c.set(func() { c.listed[e.ID] = e })
	c.store.Put(crank.WorkerTopic, e.ID, crankfakefleet.Encode(e))
}

// publish puts a configuration with an urgent and a patient queue in force.
func (c *cluster) publish(version int64) {
	config := crank.QueueConfig{
		Version: version,
		Queues: []crank.Queue{
			{Name: "urgent", Host: host, Prefix: "/urgent/", Pool: "desk", Priority: 0, Attempts: 3, Slack: 1.5, Target: 250 * time.Millisecond},
			{Name: "patient", Host: host, Prefix: "/patient/", Pool: "desk", Priority: 1, Attempts: 3, Slack: 3, Target: time.Second},
		},
		Workspaces: []crank.QueueWorkspace{{Name: "desk", Keys: []string{callerKey}, Guaranteed: 32}, {Name: "ward", Keys: []string{wardKey}}},
	}
	data, err := json.Marshal(config)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put(crank.OperatorTopic, "config", data)
}

func decodeOperator(r crank.KeyedRecord) (crank.OperatorRecord, error) {
	if r.Key != "config" {
		return crank.OperatorRecord{EvacuateZone: r.Key}, nil
	}
	var config crank.QueueConfig
	err := json.Unmarshal(r.Value, &config)
	return crank.OperatorRecord{Config: &config}, crank.Wrap("decode", crank.KindInvalid, err)
}

// logOutput takes the logs; tests replace it to look at them.
var logOutput io.Writer = io.Discard

// start runs a life of an instance.
func (c *cluster) start(name string) {
	c.set(func() { c.lives++ })
	caller := fmt.Sprintf("%s#%d", name, c.lives)
	ctx, stop := context.WithCancel(context.Background())
	m := &member{caller: caller, stop: stop, done: make(chan struct{})}
	m.Entry = crankentry.New(crankentry.Config{
		Instance: name, Zone: name, PeerAddr: name, Peers: peers{c, caller}, Store: c.store.Client(caller), Workers: c.fleet.Dialer(caller),
		DecodeWorker: crankfakefleet.Decode, DecodeOperator: decodeOperator, Bounds: bounds, ResultRetention: 2 * time.Minute,
		Uptime: func() time.Duration { return time.Since(c.started) },
		Logger: slog.New(slog.NewTextHandler(logOutput, nil)).With("instance", caller), Scope: tally.NoopScope,
	})
	c.set(func() { c.entries[name] = m })
	go func() {
		defer close(m.done)
		feeds := make(chan struct{})
		feedContext, stopFeeds := context.WithCancel(context.WithoutCancel(ctx))
		go func() {
			defer close(feeds)
			_ = m.RunFeeds(feedContext) // ends with its context
		}()
		_ = m.RunPlanner(ctx) // ends with its context
		stopFeeds()
		<-feeds
	}()
}

// peers lets an instance reach the store through others, whose address is
// their name.
type peers struct {
	c      *cluster
	caller string
}

// StorePeer implements crank.StorePeerDialer.
func (p peers) StorePeer(addr, _ string) crank.Store { return peerStore{p, addr} }

type peerStore struct {
	peers
	name string
}

// reach returns the other instance's store, or waits for the end of a call
// that does not arrive.
func (p peerStore) reach(ctx context.Context) (crank.Store, error) {
	p.c.mu.Lock()
	m := p.c.entries[p.name]
	lost := m == nil || p.c.dead[p.caller] || p.c.dead[m.caller] || p.c.apart[p.caller] || p.c.apart[m.caller]
	p.c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, crank.Wrap("peer call", crank.KindUnknown, ctx.Err())
	}
	time.Sleep(time.Millisecond)
	return m.PeerStore(), nil
}

// Append implements crank.Store.
func (p peerStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	store, err := p.reach(ctx)
	if err != nil {
		return 0, err
	}
	return store.Append(ctx, a)
}

// Read implements crank.Store.
func (p peerStore) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	store, err := p.reach(ctx)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	return store.Read(ctx, topic, from, wait)
}

// Newest implements crank.Store.
func (p peerStore) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	store, err := p.reach(ctx)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	return store.Newest(ctx, topic)
}

// turnAway cuts an instance from the store; it still reaches the others.
func (c *cluster) turnAway(name string) {
	c.set(func() { c.cut[c.entries[name].caller] = true })
}

// cutOff cuts an instance from the store and from the others.
func (c *cluster) cutOff(name string) {
	c.turnAway(name)
	c.set(func() { c.apart[c.entries[name].caller] = true })
}

func (c *cluster) reconnect() {
	c.set(func() {
		clear(c.cut)
		clear(c.apart)
	})
}

// kill ends an instance at once: nothing it sends from now on arrives.
func (c *cluster) kill(name string) {
	m := c.entries[name]
	c.set(func() { c.dead[m.caller] = true })
	m.stop()
	<-m.done
	c.set(func() { delete(c.entries, name) })
}

// term ends an instance gracefully.
func (c *cluster) term(name string) {
	m := c.entries[name]
	m.stop()
	<-m.done
	c.set(func() { delete(c.entries, name) })
}

// startAll runs instances and waits until they are ready.
func (c *cluster) startAll(names ...string) {
	for _, name := range names {
		c.start(name)
	}
	time.Sleep(3 * time.Second)
	for _, name := range names {
		if !c.entries[name].Ready() {
			c.t.Fatalf("%s is not ready", name)
		}
	}
}

// open starts workers and the usual instances under a first configuration.
func (c *cluster) open(workers int) {
	c.addWorkers(workers)
	c.publish(1)
	c.startAll(instances...)
}

// newestTerm returns the newest claim in the store.
func (c *cluster) newestTerm() (number int64, holder string) {
	var t struct {
		Number int64
		Holder string
	}
	for _, r := range c.store.Newest(crank.TermTopic) {
		if r.Key != "term" {
			continue
		}
		if err := json.Unmarshal(r.Value, &t); err != nil {
			c.t.Fatal(err)
		}
	}
	return t.Number, t.Holder
}

func (c *cluster) termNumber() int64 {
	number, _ := c.newestTerm()
	return number
}

// leader returns the instance that holds the planner's term.
func (c *cluster) leader() string {
	_, holder := c.newestTerm()
	name, _, _ := strings.Cut(holder, "/")
	if c.entries[name] == nil {
		return ""
	}
	return name
}

// submit hands a job in through an instance.
func (c *cluster) submit(entry, queue, id string, steps ...crank.Step) error {
	job := crank.StepJob{Payload: "plan " + id, Steps: steps}
	r, err := c.entries[entry].Gate.Route(crankgate.Address{Host: host, Path: "/" + queue + "/" + id, Key: c.key, Deadline: 3 * time.Second})
	if err != nil {
		return err
	}
	recorded := job
	recorded.ID, recorded.Attempts = id, r.Queue.Attempts
	c.set(func() { c.jobs[id] = recorded })
	return c.entries[entry].Gate.Submit(c.t.Context(), r, job)
}

func (c *cluster) cancel(entry, queue, id string) error {
	r, err := c.entries[entry].Gate.Route(crankgate.Address{Host: host, Path: "/" + queue + "/" + id, Key: c.key})
	if err != nil {
		return err
	}
	return c.entries[entry].Gate.Cancel(c.t.Context(), r)
}

// phase asks an instance for the state of a job.
func (c *cluster) phase(entry, queue, id string) (crankbook.Phase, error) {
	r, err := c.entries[entry].Gate.Route(crankgate.Address{Host: host, Path: "/" + queue + "/" + id, Key: c.key})
	if err != nil {
		return "", err
	}
	return c.entries[entry].Gate.Phase(c.t.Context(), r)
}

// await waits until a job has a state.
func (c *cluster) await(entry, queue, id string, want crankbook.Phase, limit time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		got, err := c.phase(entry, queue, id)
		if err == nil && got == want {
			return
		}
		if time.Now().After(deadline) {
			c.t.Fatalf("job %s is %q (%v) after %s, want %q", id, got, err, limit, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Steps of the tests.

func single(tasks int, run time.Duration) crank.Step {
	return crank.Step{Tasks: tasks, Demand: crank.Demand{MilliCores: 2800, MemoryMiB: 5700, Accelerators: 1}, RunTime: run}
}

func gang(tasks, accelerators int, run time.Duration) crank.Step {
	return crank.Step{Tasks: tasks, Gang: true, SameRack: true, Demand: crank.Demand{MilliCores: 3700, MemoryMiB: 7600, Accelerators: accelerators}, RunTime: run}
}
