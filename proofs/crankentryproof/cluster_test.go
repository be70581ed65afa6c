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
	"cranberrycrank/internal/crankentry"
	crankadapter "cranberrycrank/platform"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"

	"github.com/uber-go/tally/v4"
)

// leaseBounds apply to the workers of a cluster unless a test says otherwise.
var leaseBounds = crank.LeaseBounds{MaxLease: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second, Heartbeat: heartbeatInterval}

const (
	heartbeatInterval = 1500 * time.Millisecond // between writes of a worker's entry
	host              = "desk.example"
	guaranteedKey     = "key-of-the-desk" // of a workspace with guaranteed accelerators
	unguaranteedKey   = "key-of-the-ward" // of a workspace without a guarantee
)

// cluster runs a fake store, a fake fleet and entry instances in one synctest
// bubble. The fakes tell incarnations of instances apart by a caller name.
type cluster struct {
	t        *testing.T
	store    *crankfakestore.Store
	fleet    *crankfakefleet.Fleet
	started  time.Time
	key      string // API key of the caller
	memory   int    // of each instance, MiB; 0 for no limit
	bounds   crank.LeaseBounds
	planning crank.Planning             // of instances started from now on
	logs     io.Writer                  // of all instances
	metrics  map[string]tally.TestScope // by name of the instances started from now on that have one

	runTime func(id crank.TaskID, worker string) time.Duration // nil for the estimate
	// descriptors that instances may open, by name; none means not known
	descriptors map[string]int

	mu            sync.Mutex
	jobs          map[string]crank.StepJob
	running       map[string]*instance
	dead          map[string]bool // callers whose calls no longer arrive
	storeCut      map[string]bool // callers that can't reach the store
	peersCut      map[string]bool // callers that can't reach other instances
	unreachable   map[string]bool // workers that no call reaches
	silent        map[string]bool // workers whose heartbeats have stopped
	down          map[string]bool // workers whose process has ended
	workerEntries map[string]crank.WorkerEntry
	logDelay      map[string]time.Duration // of each log line of a caller's planner, which slows it down
	workerFaults  func(caller, worker, call string) crankfakefleet.Fault
	storeFaults   func(caller, call string) crankfakestore.Fault
	storeLimits   crank.StoreLimits // that instances started from now on know
	incarnations  int
}

// instance is one incarnation of an entry instance.
type instance struct {
	*crankentry.Entry
	caller string
	stop   context.CancelFunc
	done   chan struct{}
}

// runInCluster runs a test with a new cluster in virtual time. Afterwards it kills
// all instances, lets leases expire and reports the fleet's violations.
func runInCluster(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	playInCluster(t, f, func(t *testing.T, violation string) { t.Error(violation) })
}

// playInCluster is runInCluster with a function that gets each violation.
func playInCluster(t *testing.T, f func(t *testing.T, c *cluster), report func(t *testing.T, violation string)) {
	t.Helper()
	playWithBounds(t, leaseBounds, f, report)
}

// playWithBounds is playInCluster with bounds on the leases of all workers.
func playWithBounds(t *testing.T, bounds crank.LeaseBounds, f func(t *testing.T, c *cluster), report func(t *testing.T, violation string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, bounds: bounds, planning: planningOfRun(), logs: logOutput, store: crankfakestore.New(), started: time.Now(), key: guaranteedKey, jobs: make(map[string]crank.StepJob),
			running: make(map[string]*instance), dead: make(map[string]bool), storeCut: make(map[string]bool), peersCut: make(map[string]bool),
			logDelay: make(map[string]time.Duration), unreachable: make(map[string]bool), silent: make(map[string]bool), down: make(map[string]bool), workerEntries: make(map[string]crank.WorkerEntry),
		}
		c.store.SetFaults(c.chooseStoreFault)
		c.fleet = crankfakefleet.New(crankfakefleet.Config{
			Bounds: bounds, Specs: c.spec, Faults: c.chooseWorkerFault,
			RunTime: func(id crank.TaskID, worker string) time.Duration {
				if c.runTime != nil {
					return c.runTime(id, worker)
				}
				return c.stepOf(id).RunTime
			},
		})
		ctx, stop := context.WithCancel(t.Context())
		defer func() { // also runs when a check ends the test
			for name := range c.running {
				c.kill(name)
			}
			stop()
			time.Sleep(time.Minute) // for leases to expire and delayed orders to take effect
			for _, v := range c.fleet.Violations() {
				report(t, v)
			}
		}()
		go c.writeHeartbeats(ctx)
		f(t, c)
	})
}

func (c *cluster) spec(id string) (crank.StepJob, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

func (c *cluster) stepOf(id crank.TaskID) crank.Step {
	j, _ := c.spec(id.Job)
	return j.Steps[id.Step]
}

func (c *cluster) chooseStoreFault(caller, call string) crankfakestore.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[caller] || c.storeCut[caller] {
		return crankfakestore.Fault{Delay: time.Hour}
	}
	if c.storeFaults != nil {
		if f := c.storeFaults(caller, call); f != (crankfakestore.Fault{}) {
			return f
		}
	}
	return crankfakestore.Fault{Delay: 4 * time.Millisecond}
}

func (c *cluster) chooseWorkerFault(caller, worker, call string) crankfakefleet.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead[caller] || c.unreachable[worker] {
		return crankfakefleet.Fault{DropRequest: true}
	}
	if c.workerFaults != nil {
		return c.workerFaults(caller, worker, call)
	}
	return crankfakefleet.Fault{}
}

// update calls f under the lock.
func (c *cluster) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// writeHeartbeats writes the entries of the workers that are up and not silent.
func (c *cluster) writeHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		var entries []crank.WorkerEntry
		c.update(func() {
			for id, e := range c.workerEntries {
				if !c.silent[id] && !c.down[id] {
					entries = append(entries, e)
				}
			}
		})
		for _, e := range entries {
			c.store.Put(crank.WorkerTopic, e.ID, crankfakeplatform.EncodeEntry(e))
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// addWorkers starts workers with 8 accelerators each, four per rack.
func (c *cluster) addWorkers(n int) {
	for i := range n {
		c.addWorker(i)
	}
}

func workerID(i int) string { return fmt.Sprintf("w%02d", i) }

func (c *cluster) addWorker(i int) {
	c.startWorker(i, fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i/4))
}

func (c *cluster) startWorker(i int, zone, rack string) {
	e := c.fleet.Add(crank.WorkerEntry{
		ID: workerID(i), Pool: "desk", Addr: "192.0.2.1:8080", Zone: zone, Rack: rack, Labels: []string{"a", rack},
		Capacity: crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8},
	})
	c.update(func() { c.workerEntries[e.ID] = e })
	c.store.Put(crank.WorkerTopic, e.ID, crankfakeplatform.EncodeEntry(e))
}

// publishConfig writes a configuration with an urgent and a patient queue.
func (c *cluster) publishConfig(version int64) {
	c.publish(version, []crank.QueueWorkspace{{Name: "desk", Keys: []string{guaranteedKey}, Guaranteed: 32}, {Name: "ward", Keys: []string{unguaranteedKey}}})
}

// publishWithoutKeys writes a configuration in which no key opens a workspace.
func (c *cluster) publishWithoutKeys(version int64) {
	c.publish(version, []crank.QueueWorkspace{{Name: "desk", Guaranteed: 32}, {Name: "ward"}})
}

func (c *cluster) publish(version int64, workspaces []crank.QueueWorkspace) {
	config := crank.QueueConfig{
		Version: version,
		Queues: []crank.Queue{
			{Name: "urgent", Host: host, Prefix: "/urgent/", Pool: "desk", Priority: 0, Attempts: 3, SlackFactor: 1.5, TargetLatency: 250 * time.Millisecond},
			{Name: "patient", Host: host, Prefix: "/patient/", Pool: "desk", Priority: 1, Attempts: 3, SlackFactor: 3, TargetLatency: time.Second},
		},
		Workspaces: workspaces,
	}
	c.putConfig(config)
}

func (c *cluster) putConfig(config crank.QueueConfig) {
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

// logOutput receives the logs of all instances; replace it to debug a test.
var logOutput io.Writer = io.Discard

// slowHandler delays the planner's log lines of a caller by what the cluster says.
type slowHandler struct {
	slog.Handler
	c      *cluster
	caller string
}

// Handle implements slog.Handler.
func (h slowHandler) Handle(ctx context.Context, r slog.Record) error {
	var delay time.Duration
	if strings.HasPrefix(r.Message, "sched:") { // logged by the planner's goroutine, which holds no lock
		h.c.update(func() { delay = h.c.logDelay[h.caller] })
	}
	time.Sleep(delay)
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h slowHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return slowHandler{h.Handler.WithAttrs(attrs), h.c, h.caller}
}

// start starts a new incarnation of an instance.
func (c *cluster) start(name string) {
	c.update(func() { c.incarnations++ })
	caller := fmt.Sprintf("%s#%d", name, c.incarnations)
	ctx, stop := context.WithCancel(context.Background())
	inst := &instance{caller: caller, stop: stop, done: make(chan struct{})}
	scope := tally.NoopScope
	if s := c.metrics[name]; s != nil {
		scope = s
	}
	inst.Entry = crankentry.New(crankentry.Config{
		Instance: name, Zone: name, PeerAddr: name, Peers: peerDialer{c, caller}, Leaders: peerDialer{c, caller}, Store: c.store.Client(caller), TopicEnds: c.store.Client(caller), Workers: c.fleet.Dialer(caller),
		DecodeWorker: crankadapter.DecodeWorker, DecodeOperator: decodeOperator, Bounds: c.bounds, Planning: c.planning, StoreLimits: c.storeLimits, ResultRetention: 2 * time.Minute, ProcessorShare: 0.8, MemoryMiB: c.memory, Descriptors: c.descriptors[name],
		Uptime: func() time.Duration { return time.Since(c.started) },
		Logger: slog.New(slowHandler{slog.NewTextHandler(c.logs, nil), c, caller}).With("instance", caller), Scope: scope,
	})
	c.update(func() { c.running[name] = inst })
	go func() {
		defer close(inst.done)
		feeds := make(chan struct{})
		feedContext, stopFeeds := context.WithCancel(context.WithoutCancel(ctx))
		go func() {
			defer close(feeds)
			_ = inst.RunFeeds(feedContext) // returns when its context ends
		}()
		_ = inst.RunPlanner(ctx) // returns when its context ends
		stopFeeds()
		<-feeds
	}()
}

// cutFromStore cuts an instance off from the store but not from its peers.
func (c *cluster) cutFromStore(name string) {
	c.update(func() { c.storeCut[c.running[name].caller] = true })
}

// isolate cuts an instance off from the store and from its peers.
func (c *cluster) isolate(name string) {
	c.cutFromStore(name)
	c.update(func() { c.peersCut[c.running[name].caller] = true })
}

func (c *cluster) reconnect() {
	c.update(func() {
		clear(c.storeCut)
		clear(c.peersCut)
	})
}

// kill crashes an instance: none of its later calls arrive.
func (c *cluster) kill(name string) {
	inst := c.running[name]
	c.update(func() { c.dead[inst.caller] = true })
	inst.stop()
	<-inst.done
	c.update(func() { delete(c.running, name) })
}

// shutDown stops an instance gracefully.
func (c *cluster) shutDown(name string) {
	inst := c.running[name]
	inst.stop()
	<-inst.done
	c.update(func() { delete(c.running, name) })
}

// startAll starts instances, which must be ready after three seconds.
func (c *cluster) startAll(names ...string) {
	for _, name := range names {
		c.start(name)
	}
	time.Sleep(3 * time.Second)
	for _, name := range names {
		if !c.running[name].Ready() {
			c.t.Fatalf("instance %s is not ready", name)
		}
	}
}

// setUp starts workers and all instances with configuration version 1.
func (c *cluster) setUp(workers int) {
	c.addWorkers(workers)
	c.publishConfig(1)
	c.startAll(instanceNames...)
}

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

// leader returns the running instance that holds the term, or "".
func (c *cluster) leader() string {
	_, holder := c.newestTerm()
	name, _, _ := strings.Cut(holder, "/")
	if c.running[name] == nil {
		return ""
	}
	return name
}
