package cranksoak

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"
)

var (
	seeds     = flag.Int("seeds", 1, "seeds to play, from -first on")
	firstSeed = flag.Uint64("first", 1, "first seed")
	logs      = flag.String("logs", "", "directory for the logs of processes")
)

// Sizes and times of a soak.
const (
	entries    = 3
	workers    = 6
	soakTime   = 12 * time.Second
	settleTime = 45 * time.Second
	host       = "desk.example"
	key        = "key-of-the-desk"
)

var bounds = crank.LeaseBounds{HoldLimit: 6 * time.Second, StopTime: 200 * time.Millisecond, GangTimeout: 3 * time.Second}

// failedSeeds are seeds that failed once, with the cause.
var failedSeeds = map[uint64]string{}

func TestSoak(t *testing.T) {
	binary := build(t)
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { newSoak(t, binary, seed).run() })
	}
	for seed, cause := range failedSeeds {
		t.Run(cause, func(t *testing.T) { newSoak(t, binary, seed).run() })
	}
}

// build makes the program.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "cranberrycrank")
	out, err := exec.Command("go", "build", "-o", binary, "cranberrycrank/cmd/cranberrycrank").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return binary
}

// soak is one run of a seed.
type soak struct {
	t       *testing.T
	binary  string
	seed    uint64
	luck    *rand.Rand
	store   *crankfakestore.Store
	fleet   *crankfakefleet.Fleet
	proxies []*proxy // one in front of the store for each entry
	workers []*proxy // one in front of each worker
	entries []*entry
	client  *http.Client

	mu       sync.Mutex
	jobs     map[string]crank.StepJob
	accepted map[string]bool
	refused  map[string]bool
}

type entry struct {
	name     string
	addr     string
	settings string
	log      io.WriteCloser
	command  *exec.Cmd
}

func newSoak(t *testing.T, binary string, seed uint64) *soak {
	s := &soak{
		t: t, binary: binary, seed: seed, luck: rand.New(rand.NewPCG(seed, 0)), store: crankfakestore.New(),
		client: &http.Client{Timeout: 4 * time.Second}, jobs: make(map[string]crank.StepJob),
		accepted: make(map[string]bool), refused: make(map[string]bool),
	}
	s.fleet = crankfakefleet.New(crankfakefleet.Config{
		Bounds:  bounds,
		Specs:   s.spec,
		RunTime: func(id crank.TaskID, _ string) time.Duration { j, _ := s.spec(id.Job); return j.Steps[id.Step].RunTime },
	})
	return s
}

func (s *soak) spec(id string) (crank.StepJob, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[id]
	return j, ok
}

// listen serves a handler on loopback.
func (s *soak) listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(l)
	s.t.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func (s *soak) run() {
	s.startPlatform()
	for i := range entries {
		s.addEntry(i)
	}
	s.t.Cleanup(func() {
		for _, e := range s.entries {
			s.signal(e, syscall.SIGKILL)
			_ = e.command.Wait() // it was killed
			e.log.Close()
		}
	})
	time.Sleep(2 * time.Second)
	ctx, stop := context.WithTimeout(s.t.Context(), soakTime)
	defer stop()
	var callers sync.WaitGroup
	for i := range entries {
		callers.Go(func() { s.call(ctx, i) })
	}
	s.disturb(ctx)
	callers.Wait()
	s.settle()
	for _, v := range s.fleet.Violations() {
		s.t.Error(v)
	}
	s.t.Logf("seed %d: %d accepted, %d refused, %d runs", s.seed, len(s.accepted), len(s.refused), s.fleet.Runs())
}

// startPlatform serves the store and the workers and publishes a configuration.
func (s *soak) startPlatform() {
	store := s.listen(crankfakeplatform.NewStore(s.store))
	for range entries {
		s.proxies = append(s.proxies, newProxy(s.t, store))
	}
	for i := range workers {
		rack := fmt.Sprintf("r%d", i/3)
		e := s.fleet.Add(crank.WorkerEntry{
			ID: fmt.Sprintf("w%02d", i), Pool: "desk", Zone: fmt.Sprintf("z%d", i%3), Labels: []string{"a", rack},
			Capacity: crank.Demand{MilliCores: 32000, MemoryMiB: 65536, Accelerators: 8},
		})
		p := newProxy(s.t, s.listen(crankfakeplatform.Worker{Entry: e, Dial: s.fleet}))
		e.Addr = p.addr()
		s.workers = append(s.workers, p)
		go s.beat(e)
	}
	s.store.Put(crank.OperatorTopic, "config", []byte(fmt.Sprintf(`{"version":3,"routes":[
		{"name":"urgent","host":%q,"path_prefix":"/urgent/","service":"desk","priority":0,"max_attempts":4,"slack_factor":1.5,"target_latency_ms":250},
		{"name":"patient","host":%q,"path_prefix":"/patient/","service":"desk","priority":1,"max_attempts":4,"slack_factor":3,"target_latency_ms":1000}],
		"tenants":[{"name":"desk","api_keys":[%q],"guaranteed_gpus":{"gpu":16}}]}`, host, host, key)))
}

// beat writes a worker's entry again and again.
func (s *soak) beat(e crank.WorkerEntry) {
	for s.t.Context().Err() == nil {
		s.store.Put(crank.WorkerTopic, e.ID, crankfakeplatform.EntryValue(e))
		time.Sleep(time.Second)
	}
}

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *soak) addEntry(i int) {
	e := &entry{name: fmt.Sprintf("entry-%d", i), addr: freePort(s.t)}
	ready, peer, metrics := freePort(s.t), freePort(s.t), freePort(s.t)
	_, port, _ := net.SplitHostPort(metrics)
	text := fmt.Sprintf(`[instance]
id = %s
zone = z%d
listen = %s
ready-listen = %s
peer-listen = %s
metrics-port = %s
[platform]
store = %s
[workers]
longest-lease = %s
stop-time = %s
gang-timeout = %s
[running]
drain-timeout = 4s
`, e.name, i, e.addr, ready, peer, port, s.proxies[i].addr(), bounds.HoldLimit, bounds.StopTime, bounds.GangTimeout)
	e.settings = filepath.Join(s.t.TempDir(), e.name+".ini")
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	e.log = nopCloser{io.Discard}
	if *logs != "" {
		file, err := os.Create(filepath.Join(*logs, fmt.Sprintf("%d-%s.log", s.seed, e.name)))
		if err != nil {
			s.t.Fatal(err)
		}
		e.log = file
	}
	s.entries = append(s.entries, e)
	s.start(e)
}

type nopCloser struct{ io.Writer }

// Close implements io.Closer.
func (nopCloser) Close() error { return nil }

func (s *soak) start(e *entry) {
	e.command = exec.Command(s.binary, "entry", "-settings", e.settings)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// signal signals a process of this soak by its id.
func (s *soak) signal(e *entry, sig syscall.Signal) {
	_ = e.command.Process.Signal(sig) // it may have ended
}

// disturb injects drawn faults until the context ends, then mends all.
func (s *soak) disturb(ctx context.Context) {
	for ctx.Err() == nil {
		e := s.entries[s.luck.IntN(entries)]
		length := time.Duration(200+s.luck.IntN(3000)) * time.Millisecond
		switch kind := s.luck.IntN(8); kind {
		case 0:
			s.signal(e, syscall.SIGKILL)
			s.restart(e)
		case 1:
			s.signal(e, syscall.SIGTERM)
			s.restart(e)
		case 2:
			s.signal(e, syscall.SIGSTOP)
			s.pause(ctx, length)
			s.signal(e, syscall.SIGCONT)
		case 3:
			for _, other := range s.entries {
				s.signal(other, syscall.SIGKILL)
			}
			for _, other := range s.entries {
				s.restart(other)
			}
		case 4:
			s.through(ctx, s.proxies[s.luck.IntN(entries)], length)
		case 5:
			s.through(ctx, s.workers[s.luck.IntN(workers)], length)
		case 6:
			m := mode(1 + s.luck.IntN(4))
			for _, p := range s.proxies {
				p.set(m)
			}
			s.pause(ctx, length)
			for _, p := range s.proxies {
				p.set(modePass)
			}
		case 7:
			s.store.ForgetHistory()
			s.signal(e, syscall.SIGHUP)
		}
		s.pause(ctx, time.Duration(s.luck.IntN(1200))*time.Millisecond)
	}
}

func (s *soak) restart(e *entry) {
	_ = e.command.Wait() // a killed process ends with an error
	s.start(e)
}

func (s *soak) through(ctx context.Context, p *proxy, length time.Duration) {
	p.set(mode(1 + s.luck.IntN(4)))
	s.pause(ctx, length)
	p.set(modePass)
}

func (s *soak) pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// call hands jobs in through one entry, over connections that stay open.
func (s *soak) call(ctx context.Context, i int) {
	luck := rand.New(rand.NewPCG(s.seed, uint64(i+1)))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%08x%08x", i+1, n)
		queue, body := "patient", map[string]any{"spec": "plan " + id}
		step := crank.Step{Tasks: 1 + luck.IntN(4), RunTime: time.Duration(200+luck.IntN(1500)) * time.Millisecond, Demand: crank.Demand{MilliCores: 2000, Accelerators: 1}}
		if luck.IntN(2) == 0 {
			queue, step.Gang = "urgent", true
			step.Demand.Accelerators = 1 + luck.IntN(6)
		}
		body["steps"] = []any{map[string]any{
			"count": step.Tasks, "cpu": step.Demand.MilliCores, "gpu": step.Demand.Accelerators, "gang": step.Gang, "estimated_duration_ms": step.RunTime.Milliseconds(),
		}}
		s.mu.Lock()
		s.jobs[id] = crank.StepJob{ID: id, Payload: "plan " + id, Steps: []crank.Step{step}, Attempts: 4}
		s.mu.Unlock()
		s.submit(i, queue, id, body)
		time.Sleep(time.Duration(100+luck.IntN(300)) * time.Millisecond)
	}
}

func (s *soak) submit(i int, queue, id string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Error(err)
		return
	}
	status, _ := s.send(http.MethodPost, s.entries[i].addr, "/"+queue+"/"+id, data)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch status {
	case http.StatusOK:
		s.accepted["/"+queue+"/"+id] = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		s.refused[id] = true
	}
}

// send makes one request; status 0 is no answer.
func (s *soak) send(method, addr, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	req.Host = host
	req.Header.Set("X-Cranberrycrank-Key", key)
	req.Header.Set("X-Cranberrycrank-Deadline-Ms", "3000")
	res, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(text)
}

// settle waits until every accepted job is completed at every entry, and checks
// that no refused job has run.
func (s *soak) settle() {
	deadline := time.Now().Add(settleTime)
	for path := range s.accepted {
		for i := range entries {
			for {
				status, text := s.send(http.MethodGet, s.entries[i].addr, path, nil)
				if status == http.StatusOK && strings.Contains(text, `"completed"`) {
					break
				}
				if time.Now().After(deadline) {
					s.t.Fatalf("job %s is %d %q at %s", path, status, text, s.entries[i].name)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	for id := range s.refused {
		if s.fleet.Ran(id) {
			s.t.Errorf("job %s was refused and has run", id)
		}
	}
}
