//go:build review3

// Command rig-3 plays the cases of the third review: it starts entry instances as the deploy
// file does, with stand-ins of the store and of workers on loopback addresses, and acts as
// their consumers.
//
// usage: rig-3 CASE RECORD     with TROUBLE=0 without the disruption
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/cranberrycrank"
	longest = 110 * time.Second // of a case
)

// Exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitUnable
)

// Rig is a small deployment.
type Rig struct {
	Store   *Store
	Trouble bool
	begun   time.Time
	dir     string
	nodes   []*Node

	mu     sync.Mutex
	record *os.File
	starts []Start
	ends   []End
}

// Start is a start of a task at a worker.
type Start struct {
	Worker, Task string
	Run          int64
	Spec         string
	At           time.Time
}

// End is an end of a run that a worker has listed.
type End struct {
	Task, How string
	Run       int64
	AtWork    bool // until then, for a task that lasts
	At        time.Time
}

var cases = map[string]func(*Rig) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE RECORD")
		os.Exit(exitUnable)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*Rig) bool, recordPath string) (status int) {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	r := &Rig{Store: NewStore(), Trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), dir: dir, record: record}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		r.Note("the case was stopped or takes too long")
		r.stopAll()
		os.RemoveAll(dir)
		os.Exit(exitUnable)
	}()
	defer os.RemoveAll(dir)
	defer r.stopAll()
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				panic(p)
			}
			r.Note("%s", u)
			status = exitUnable
		}
	}()
	r.Note("trouble: %t", r.Trouble)
	if play(r) {
		r.Note("result: the rule held")
		return exitHeld
	}
	r.Note("result: the rule was broken")
	return exitBroken
}

// Note writes a line into the record.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

func (r *Rig) noteStart(s Start) {
	r.Note("worker %s starts %s run %d", s.Worker, s.Task, s.Run)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, s)
}

func (r *Rig) noteEnd(worker, task string, run int64, how string, atWork bool) {
	r.Note("worker %s ends %s run %d: %s", worker, task, run, how)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, End{task, how, run, atWork, time.Now()})
}

// Starts returns the starts of a job's tasks.
func (r *Rig) Starts(job string) []Start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []Start
	for _, s := range r.starts {
		if strings.HasPrefix(s.Task, job+".") {
			starts = append(starts, s)
		}
	}
	return starts
}

// Ends returns the ends of a job's tasks.
func (r *Rig) Ends(job string) []End {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ends []End
	for _, e := range r.ends {
		if strings.HasPrefix(e.Task, job+".") {
			ends = append(ends, e)
		}
	}
	return ends
}

// AtWork reports whether a run of a task that lasts was at work at a time.
func (r *Rig) AtWork(task string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if s.Task != task || at.Before(s.At.Add(startupTime)) {
			continue
		}
		ended := false
		for _, e := range r.ends {
			ended = ended || (e.Task == task && e.Run == s.Run && !e.At.After(at))
		}
		if !ended {
			return true
		}
	}
	return false
}

// Configure publishes the configuration: two tenants with a key each, and a queue for each
// priority.
func (r *Rig) Configure() {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
			"priority": priority, "service": "desk", "max_attempts": 4, "slack_factor": 3.0, "public": false}
	}
	r.Store.Put("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []any{route("urgent", "/urgent/", 0), route("normal", "/normal/", 1), route("patient", "/patient/", 2)},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls_enabled": false, "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "north", "api_keys": []string{"key-north"}, "guaranteed_gpus": map[string]any{"gpu": 8}},
			map[string]any{"name": "south", "api_keys": []string{"key-south"}, "guaranteed_gpus": map[string]any{"gpu": 8}},
		},
	})
}

// Node is an entry instance.
type Node struct {
	Name, Addr, Ready string
	Link              *Link
	rig               *Rig
	settings, zone    string
	process           *exec.Cmd
}

// freeAddr returns a free address. Its port is below those of outgoing connections, which
// could take it before the instance listens.
func freeAddr() string {
	for range 1000 {
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(15000+rand.IntN(15000)))
		if l, err := net.Listen("tcp", addr); err == nil {
			l.Close()
			return addr
		}
	}
	panic(unable("no free port"))
}

// NewNode starts an entry instance with the settings of a small deployment.
func (r *Rig) NewNode(name, zone string) *Node {
	n := &Node{Name: name, Addr: freeAddr(), Ready: freeAddr(), Link: r.Store.Link(name), rig: r, zone: zone}
	_, metricsPort, _ := net.SplitHostPort(freeAddr())
	n.settings = filepath.Join(r.dir, name+".ini")
	fatal(os.WriteFile(n.settings, []byte(fmt.Sprintf(`[instance]
id = %s
zone = %s
listen = %s
ready-listen = %s
peer-listen = %s
metrics-port = %s
processor-share = 0.4
memory = 284 MiB
descriptors = 4100
link-mbps = 1000.0

[platform]
store = %s
max-record-bytes = 262144
max-call-bytes = 2097152
config-bound = 2000ms

[workers]
longest-lease = 6000ms
stop-time = 200ms
gang-timeout = 3000ms
heartbeat = 1500ms

[planning]
checkpoint-interval = 2s
restore-time = 600ms

[running]
result-retention = 120s
drain-timeout = 6s

[logging]
level = info
`, name, zone, n.Addr, n.Ready, freeAddr(), metricsPort, n.Link.Addr)), 0o600))
	r.nodes = append(r.nodes, n)
	n.Start()
	return n
}

// Start starts the process.
func (n *Node) Start() {
	n.process = exec.Command(program, "entry", "-settings", n.settings)
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fatal(err)
	n.process.Stdout, n.process.Stderr = log, log
	fatal(n.process.Start())
	n.rig.Note("node %s started", n.Name)
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.rig.Note("node %s gets %s", n.Name, s)
	fatal(n.process.Process.Signal(s))
}

func (r *Rig) stopAll() {
	for _, n := range r.nodes {
		if n.process != nil && n.process.Process != nil {
			_ = n.process.Process.Kill() // also wakes one that is frozen
			_ = n.process.Wait()
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", r.dir, keep).Run()
	}
}

// AwaitReady waits until all instances are ready and one holds the term.
func (r *Rig) AwaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, n := range r.nodes {
		for {
			res, err := http.Get("http://" + n.Ready + "/api/readyz")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				panic(unable("node " + n.Name + " is not ready"))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.Note("all nodes are ready")
	time.Sleep(4 * time.Second)
}

// Step is a step of a job.
type Step map[string]any

func body(spec string, steps ...Step) []byte {
	data, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	fatal(err)
	return data
}

// Answer is what a consumer got.
type Answer struct {
	Status int // 0 without an answer
	Text   string
	At     time.Time
}

// Call sends a consumer's request on a channel of its own.
func (r *Rig) Call(n *Node, method, path, key string, data []byte, deadline time.Duration) Answer {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+n.Addr+path, bytes.NewReader(data))
	fatal(err)
	req.Host = "desk.example"
	req.Header.Set("X-Cranberrycrank-Key", key)
	req.Header.Set("X-Cranberrycrank-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if data != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	r.Note("consumer with %s sends %s %s to %s", key, method, path, n.Name)
	res, err := client.Do(req)
	if err != nil {
		r.Note("consumer with %s got no answer to %s %s: %v", key, method, path, err)
		return Answer{At: time.Now()}
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	r.Note("consumer with %s got %d %s to %s %s", key, res.StatusCode, strings.TrimSpace(string(text)), method, path)
	return Answer{res.StatusCode, string(text), time.Now()}
}

// State returns the state of a job that a GET shows, or the status if there is none.
func (r *Rig) State(n *Node, path, key string) string {
	a := r.Call(n, "GET", path, key, nil, 3*time.Second)
	var s struct{ State string }
	if a.Status != http.StatusOK || json.Unmarshal([]byte(a.Text), &s) != nil {
		return strconv.Itoa(a.Status)
	}
	return s.State
}
