// Package crankfakeinstance runs entry instances of an emulated site as processes and
// disturbs them.
package crankfakeinstance

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakesite"
)

// Config holds the settings of an Instance.
type Config struct {
	Name, Zone string
	Size       crankfakesite.Size
	Bounds     crankfakesite.Bounds
	Binary     string
	Directory  string // for its settings and its log
	Ports      *crankfakenet.Ports
	Store      http.Handler
	Host       int                      // at which it calls workers
	FrontPeers bool                     // whether other instances can be cut off
	Ended      func(name string, e End) // called for an end that is no disturbance's
}

// End is how a process ended that no disturbance ended.
type End string

// Ends.
const (
	EndByItself  End = "ended by itself"
	EndPortTaken End = "found an address in use"
	EndGraceOver End = "was killed after the grace time"
)

// Instance is an entry instance, whose process may be replaced.
type Instance struct {
	Config
	callers *crankfakenet.Front
	peers   *crankfakenet.Front // nil if other instances call the process itself
	peer    string              // the address of the process for them
	direct  string              // the address of the process for callers
	ready   string
	logPath string
	logFile *os.File
	store   *crankfakenet.Listener

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{} // closed once cmd has ended
	down    bool          // killed, or being stopped, by a disturbance
	dark    bool          // without power
	closed  bool
	pauses  int       // that have not ended
	resumed time.Time // end of the last one
	misses  int       // of the readiness probe, in a row
	isReady bool
}

// StoreDelay is the time of an answer of the store.
const StoreDelay = 4 * time.Millisecond

// Start starts an instance with addresses of its own.
func Start(c Config) (*Instance, error) {
	const op = "instance start"
	var addrs [4]string // callers, readiness, peers, metrics
	for n := range addrs {
		var err error
		if addrs[n], err = c.Ports.Draw(); err != nil {
			return nil, err
		}
	}
	store, err := c.Ports.Listen(c.Store)
	if err != nil {
		return nil, err
	}
	store.SetDelay(StoreDelay)
	callers, err := c.Ports.Front(addrs[0])
	if err != nil {
		return nil, err
	}
	var peers *crankfakenet.Front
	if c.FrontPeers {
		if peers, err = c.Ports.Front(addrs[2]); err != nil {
			return nil, err
		}
	}
	_, metrics, _ := net.SplitHostPort(addrs[3])
	b := c.Bounds
	text := fmt.Sprintf(`[instance]
id = %s
zone = %s
listen = %s
ready-listen = %s
peer-listen = %s
metrics-port = %s
processor-share = %g
memory = %d MiB
[platform]
store = %s
config-bound = %s
[workers]
longest-lease = %s
stop-time = %s
gang-timeout = %s
heartbeat = %s
[running]
drain-timeout = %s
`, c.Name, c.Zone, addrs[0], addrs[1], addrs[2], metrics, c.Size.Share, c.Size.MemoryMiB, store.Addr(), b.ConfigTime, b.LongestLease, b.StopTime, b.GangTimeout, b.Heartbeat, b.GraceTime)
	i := &Instance{Config: c, callers: callers, peers: peers, peer: addrs[2], direct: addrs[0], ready: addrs[1], store: store, logPath: filepath.Join(c.Directory, c.Name+".log")}
	if err := os.WriteFile(i.settingsPath(), []byte(text), 0o600); err != nil {
		return nil, crank.Wrap(op, crank.KindUnavailable, err)
	}
	if i.logFile, err = os.Create(i.logPath); err != nil {
		return nil, crank.Wrap(op, crank.KindUnavailable, err)
	}
	return i, i.start()
}

// Addr returns the address for callers.
func (i *Instance) Addr() string { return i.callers.Addr() }

// DirectAddr returns the address of the process for callers, without what is in front of it.
func (i *Instance) DirectAddr() string { return i.direct }

// Store returns the listener of the store that the instance uses.
func (i *Instance) Store() *crankfakenet.Listener { return i.store }

func (i *Instance) settingsPath() string { return filepath.Join(i.Directory, i.Name+".ini") }

// Close kills the process, which is not started again.
func (i *Instance) Close() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.end()
	i.store.Close()
	for _, f := range i.fronts() {
		f.Close()
	}
	i.logFile.Close()
}

// start starts a process.
func (i *Instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil
	}
	cmd := exec.Command(i.Binary, "entry", "-settings", i.settingsPath())
	cmd.Stdout, cmd.Stderr = i.logFile, i.logFile
	if err := cmd.Start(); err != nil {
		return crank.Wrap("instance start", crank.KindUnavailable, err)
	}
	exited := make(chan struct{})
	i.cmd, i.exited, i.down = cmd, exited, false
	for _, f := range i.fronts() {
		go i.noteFront(f.Begin)
	}
	go func() {
		_ = cmd.Wait() // an error for a killed process
		for _, f := range i.fronts() {
			i.noteFront(f.End)
		}
		i.noteExit() // before the next process starts
		close(exited)
	}()
	return nil
}

// noteExit reports a process that ended by itself.
func (i *Instance) noteExit() {
	i.mu.Lock()
	expected := i.down || i.closed
	i.mu.Unlock()
	if expected {
		return
	}
	log, _ := os.ReadFile(i.logPath) // without it nothing is known of the address
	if crankfakenet.LogsTaken(string(log[max(0, len(log)-tailBytes):])) {
		i.Ended(i.Name, EndPortTaken)
		return
	}
	i.Ended(i.Name, EndByItself)
}

// tailBytes is how much of the end of a log is searched for the cause of an exit.
const tailBytes = 2000

// takeDown marks the instance as down. It returns false if it is down already.
func (i *Instance) takeDown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.down {
		return false
	}
	i.down = true
	return true
}

// IsDown reports whether the instance is killed, or being stopped, by a disturbance.
func (i *Instance) IsDown() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.down
}

// signal signals the current process and returns the channel of its end.
func (i *Instance) signal(s syscall.Signal) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	_ = i.cmd.Process.Signal(s) // it may have exited
	return i.exited
}

// end kills the process and waits for its end.
func (i *Instance) end() {
	i.takeDown()
	<-i.signal(syscall.SIGKILL)
}

// Replace stops the process in order and starts one of another binary.
func (i *Instance) Replace(binary string) error {
	if !i.takeDown() {
		return crank.Fail("instance replacement", crank.KindUnavailable, "%s is down", i.Name)
	}
	i.mu.Lock()
	i.Binary = binary
	i.mu.Unlock()
	return i.terminate()
}

// LogPath returns the path of the log of all its processes.
func (i *Instance) LogPath() string { return i.logPath }

// terminate stops the process in order and starts the next one.
func (i *Instance) terminate() error {
	begun, exited := time.Now(), i.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(i.Bounds.GraceTime):
		if !i.pausedSince(begun) { // a process that stood still could not use its time
			i.Ended(i.Name, EndGraceOver)
		}
		i.end()
	}
	return i.start()
}

// pausedSince reports whether the process was paused at some time after t.
func (i *Instance) pausedSince(t time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.pauses > 0 || i.resumed.After(t)
}

// losePower stops the process without any packet to others.
func (i *Instance) losePower() error {
	i.signal(syscall.SIGSTOP)
	i.setDark(true)
	return i.store.SetMode(crankfakenet.ModeSilent)
}

func (i *Instance) regainPower() error {
	i.end()
	i.setDark(false)
	if err := i.store.SetMode(crankfakenet.ModePass); err != nil {
		return err
	}
	return i.start()
}

func (i *Instance) setDark(dark bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dark = dark
}

// maxMisses is the number of probes without an answer after which an instance isn't
// ready.
const maxMisses = 2

// Probe asks the instance for its readiness.
func (i *Instance) Probe(client *http.Client) {
	res, err := client.Get("http://" + i.ready + "/api/readyz")
	if err == nil {
		res.Body.Close()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if err == nil && res.StatusCode == http.StatusOK {
		i.misses, i.isReady = 0, true
	} else if i.misses++; i.misses >= maxMisses {
		i.isReady = false
	}
}

// IsReady reports whether callers are sent to the instance.
func (i *Instance) IsReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isReady
}

// Reconnect ends a cut from the store, unless the instance has lost power.
func (i *Instance) Reconnect() error {
	i.mu.Lock()
	dark := i.dark
	i.mu.Unlock()
	if dark {
		return nil
	}
	return i.store.SetMode(crankfakenet.ModePass)
}

// Disturb applies a disturbance and returns what ends it, or nil if the instance is
// down already.
func (i *Instance) Disturb(d crankfakeplan.Disturbance) (func() error, error) {
	switch d.Kind {
	case crankfakeplan.HangUp, crankfakeplan.CutStore, crankfakeplan.CutCallers, crankfakeplan.CutPeers, crankfakeplan.Pause:
		if i.IsDown() {
			return nil, nil
		}
	default:
		if !i.takeDown() {
			return nil, nil
		}
	}
	switch d.Kind {
	case crankfakeplan.Terminate:
		return i.terminate, nil
	case crankfakeplan.Kill:
		<-i.signal(syscall.SIGKILL)
		return i.start, nil
	case crankfakeplan.Pause:
		i.mu.Lock()
		process := i.cmd.Process
		i.pauses++
		i.mu.Unlock()
		_ = process.Signal(syscall.SIGSTOP)
		return func() error {
			_ = process.Signal(syscall.SIGCONT) // it may have been replaced
			i.mu.Lock()
			defer i.mu.Unlock()
			i.pauses--
			i.resumed = time.Now()
			return nil
		}, nil
	case crankfakeplan.LosePower:
		return i.regainPower, i.losePower()
	case crankfakeplan.HangUp:
		i.signal(syscall.SIGHUP)
		return func() error { return nil }, nil
	case crankfakeplan.CutStore:
		return i.Reconnect, i.store.SetMode(crankfakenet.Mode(d.How))
	case crankfakeplan.CutCallers:
		return cut(i.callers, d)
	case crankfakeplan.CutPeers:
		return cut(i.peers, d)
	}
	return nil, crank.Fail("instance disturbance", crank.KindInvalid, "%q is no disturbance of an instance", d.Kind)
}
