package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Services of the deployment.
const (
	serviceName  = "desk"
	otherService = "desk-2"
)

// jobStep is a step of a job, as consumers send it.
type jobStep struct {
	Count          int    `json:"count"`
	CPU            int    `json:"cpu,omitempty"`
	Memory         int    `json:"memory_limit_mb,omitempty"`
	GPU            int    `json:"gpu,omitempty"`
	EstimateMs     int64  `json:"estimated_duration_ms,omitempty"`
	After          []int  `json:"after,omitempty"`
	AntiAffinity   int    `json:"anti_affinity,omitempty"`
	LongRunning    bool   `json:"long_running,omitempty"`
	MaxUnavailable int    `json:"max_unavailable,omitempty"`
	TargetMs       int64  `json:"target_ms,omitempty"`
	FillCount      bool   `json:"fill_count,omitempty"`
	Gang           bool   `json:"gang,omitempty"`
	Image          string `json:"image,omitempty"`
}

// work is how long a task works; the estimate is right.
func (s jobStep) work() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

type submittedJob struct {
	Spec  string    `json:"spec"`
	Steps []jobStep `json:"steps"`
}

// route is a queue.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"path_prefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int64   `json:"timeout_ms"`
	TargetMs    int64   `json:"target_latency_ms"`
	Priority    int     `json:"priority,omitempty"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	SlackFactor float64 `json:"slack_factor"`
}

type tenant struct {
	Name       string         `json:"name"`
	Keys       []string       `json:"api_keys"`
	Guaranteed map[string]int `json:"guaranteed_gpus"`
}

// record is the log of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// instance is a process of the deploy file's role.
type instance struct {
	id, zone, settings string
	listen, ready      string
	command            *exec.Cmd
	exited             chan struct{}
	killed             bool
	logPath            string
}

// deployment is the system with the stand-ins around it.
type deployment struct {
	record    *record
	store     *store
	fleet     *fleet
	dir       string // temporary
	binary    string
	bounds    workerBounds
	instances []*instance
	servers   []*http.Server
	routes    []route
	tenants   []tenant
	version   int
	client    *http.Client
}

func newDeployment(rec *record, binary string, b workerBounds) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := newStore()
	return &deployment{
		record: rec, store: s, fleet: newFleet(s, rec), dir: dir, binary: binary, bounds: b,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}, nil
}

// publish publishes the configuration under a new version.
func (d *deployment) publish() error {
	d.version += 3
	config, err := json.Marshal(map[string]any{
		"version": d.version, "routes": d.routes, "tenants": d.tenants,
		"services": []map[string]any{serviceConfig(serviceName), serviceConfig(otherService)},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	d.store.put("keyed.op", "config", config)
	d.record.line("operator: configuration %d is confirmed", d.version)
	return nil
}

func serviceConfig(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "enforces_capacity": false}
}

func (d *deployment) serveStore(caller string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d.store.handler(caller)}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }() // returns once the deployment is closed
	return l.Addr().String(), nil
}

// Ports of instances lie below those that the system gives to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freePorts returns ports that are free now.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range 1000 {
		if len(ports) == n {
			return ports, nil
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil || slices.Contains(ports, port) {
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}

// startTries is how often an instance is started at other ports if another process has taken
// one of them.
const startTries = 5

// addInstance starts a process with the command of the deploy file, on settings in the form
// of its template.
func (d *deployment) addInstance(id, zone string) (*instance, error) {
	storeAddr, err := d.serveStore(id)
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, zone: zone, settings: filepath.Join(d.dir, id+".ini"), logPath: filepath.Join(d.dir, id+".log")}
	for range startTries {
		if err := d.writeSettings(i, storeAddr); err != nil {
			return nil, err
		}
		if err := d.startProcess(i); err != nil {
			return nil, err
		}
		select {
		case <-i.exited:
			d.record.line("instance %s: exited at its start, it is started at other ports", i.id)
		case <-time.After(500 * time.Millisecond):
			d.instances = append(d.instances, i)
			return i, nil
		}
	}
	return nil, fmt.Errorf("instance %s does not start", id)
}

// writeSettings writes the settings of an instance, with free ports.
func (d *deployment) writeSettings(i *instance, storeAddr string) error {
	ports, err := freePorts(4)
	if err != nil {
		return err
	}
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[n]) }
	i.listen, i.ready = addr(0), addr(1)
	settings := fmt.Sprintf(`[instance]
id = %s
zone = %s
listen = %s
ready-listen = %s
peer-listen = %s
metrics-port = %d
processor-share = 0.4
memory = 284 MiB

[platform]
store = %s
max-record-bytes = 262144
max-call-bytes = 2097152
config-bound = 2000ms

[workers]
longest-lease = %dms
stop-time = %dms
gang-timeout = %dms
heartbeat = %dms

[running]
result-retention = 120s
drain-timeout = 6s

[logging]
level = info
`, i.id, i.zone, addr(0), addr(1), addr(2), ports[3], storeAddr, d.bounds.hold.Milliseconds(), d.bounds.stop.Milliseconds(), d.bounds.gang.Milliseconds(), heartbeat.Milliseconds())
	return os.WriteFile(i.settings, []byte(settings), 0o600)
}

func (d *deployment) startProcess(i *instance) error {
	log, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(d.binary, "entry", "-settings", i.settings)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	i.command, i.exited, i.killed = c, make(chan struct{}), false
	go func() {
		_ = c.Wait() // the state of a killed process is of no interest
		close(i.exited)
	}()
	d.record.line("instance %s: started", i.id)
	return nil
}

// signal sends a signal to a process of the case.
func (d *deployment) signal(i *instance, s syscall.Signal) {
	d.record.line("instance %s: %s", i.id, s)
	_ = i.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		i.killed = true
		<-i.exited
	}
}

// close ends all processes and servers, and keeps the processes' logs if asked to.
func (d *deployment) close(logs string) {
	for _, i := range d.instances {
		if i.command != nil && !i.killed {
			_ = i.command.Process.Kill()
			<-i.exited
		}
		if logs != "" {
			if data, err := os.ReadFile(i.logPath); err == nil {
				_ = os.WriteFile(filepath.Join(logs, i.id+".log"), data, 0o600)
			}
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(d.dir)
}

// awaitReady waits until all instances report that they are ready.
func (d *deployment) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, i := range d.instances {
		for !d.isReady(i) {
			if time.Now().After(until) {
				return fmt.Errorf("instance %s is not ready after %s", i.id, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.line("all instances are ready")
	return nil
}

func (d *deployment) isReady(i *instance) bool {
	res, err := d.client.Get("http://" + i.ready + "/api/readyz")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// leader returns the instance that last wrote to the store under a condition.
func (d *deployment) leader() *instance {
	id := d.store.conditional()
	for _, i := range d.instances {
		if i.id == id {
			return i
		}
	}
	return nil
}

// call makes a consumer's call and returns its status and body, 0 without an answer.
func (d *deployment) call(i *instance, r route, key, method, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // a job always has a JSON form
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.listen+r.Prefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = r.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Cranberrycrank-Key", key)
	req.Header.Set("X-Cranberrycrank-Deadline-Ms", "3000")
	res, err := d.client.Do(req)
	status, text := 0, ""
	if err == nil {
		defer res.Body.Close()
		if answer, err := io.ReadAll(res.Body); err == nil {
			status, text = res.StatusCode, strings.TrimSpace(string(answer))
		}
	}
	d.record.line("consumer: %s %s%s at %s -> %d %s", method, r.Prefix, id, i.id, status, text)
	return status, text
}

// submit hands a job in, with retries at the instances in turn as consumers make them, and
// reports whether it was accepted.
func (d *deployment) submit(r route, key, id string, steps ...jobStep) bool {
	j := submittedJob{Spec: "spec of " + id, Steps: steps}
	d.fleet.mu.Lock()
	d.fleet.jobs[id] = j
	d.fleet.mu.Unlock()
	for try := range 5 {
		i := d.instances[try%len(d.instances)]
		if i.killed {
			continue
		}
		if status, _ := d.call(i, r, key, http.MethodPost, id, j); status/100 == 2 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
