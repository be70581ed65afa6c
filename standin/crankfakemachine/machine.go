// Package crankfakemachine runs the workers of an emulated site, each at an address that
// it keeps, and disturbs them.
package crankfakemachine

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"
)

// Config holds the settings of a Machine.
type Config struct {
	Name       string
	Entry      crank.WorkerEntry // without ID, address and start time
	Ports      *crankfakenet.Ports
	Heartbeat  time.Duration
	Fleet      *crankfakefleet.Fleet
	Dialer     crank.LeaseDialer // of the fleet, unless a test plants a fault
	Store      *crankfakestore.Store
	SetFault   func(worker string, f crankfakefleet.Fault) // of later calls, the zero value for none
	SetFailing func(worker string, share float64)          // of the runs that end from now on
	Plants
}

// Plants are faults that a test plants.
type Plants struct {
	Ghosts bool // workers that left stay listed and answer
	// Impostor, if not nil, answers at the address of a worker that is cut off.
	Impostor func(e crank.WorkerEntry) http.Handler
	// Alter, if not nil, changes the entries of workers that have moved.
	Alter func(e crank.WorkerEntry) crank.WorkerEntry
}

// Machine is an address at which one worker after the other may run.
type Machine struct {
	Config

	mu       sync.Mutex
	listener *crankfakenet.Group
	former   []*crankfakenet.Group // addresses that the worker moved from
	guests   []*guest              // other workers at an address of this one
	entry    crank.WorkerEntry
	workers  int  // so far
	up       bool // the worker lives
	reaches  bool // the store
	away     bool // out of reach while it runs on
	serves   bool // takes tasks
	gone     bool // for good
	lives    int  // disturbances of an earlier life have no effect
	cuts     int  // the end of an earlier cut-off has no effect
	lastBeat time.Time
	listed   bool
}

// silentBeats is the number of missed heartbeats after which an entry is removed.
const silentBeats = 3

// Start starts the first worker.
func Start(c Config) (*Machine, error) {
	m := &Machine{Config: c, entry: c.Entry}
	var err error
	if m.listener, err = c.Ports.ListenAtAllHosts(http.NotFoundHandler()); err != nil {
		return nil, err
	}
	m.entry.Addr = m.listener.Addr()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(true)
	return m, nil
}

// Close ends the listeners.
func (m *Machine) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range append(m.former, m.listener) {
		l.Close()
	}
}

// Current returns the entry of the newest worker, and whether it takes tasks.
func (m *Machine) Current() (e crank.WorkerEntry, serves bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entry, m.serves && m.listed && !m.entry.Draining
}

// begin starts a worker, with a new ID or as a new incarnation of the last.
func (m *Machine) begin(newID bool) {
	if newID {
		if m.workers > 0 {
			m.Fleet.Crash(m.entry.ID)
		}
		m.workers++
		m.entry.ID = fmt.Sprintf("%s-%d", m.Name, m.workers)
	}
	m.entry.Draining = false
	m.entry = m.Fleet.Add(m.entry)
	m.listener.SetHandler(m.handler(m.entry))
	m.up, m.reaches, m.away, m.serves = true, true, false, true
	m.put()
}

func (m *Machine) handler(e crank.WorkerEntry) http.Handler {
	return crankfakeplatform.WorkerHandler{Entry: e, Dial: m.Dialer}
}

func (m *Machine) put() {
	e := m.entry
	if m.Alter != nil && len(m.former) > 0 {
		e = m.Alter(e)
	}
	m.Store.Put(crank.WorkerTopic, e.ID, crankfakeplatform.EncodeEntry(e))
	m.lastBeat, m.listed = time.Now(), true
}

func (m *Machine) unlist() {
	m.Store.Put(crank.WorkerTopic, m.entry.ID, nil)
	m.listed = false
}

// Beat writes the heartbeat, if it is time, or removes the entry of a worker that fell
// silent.
func (m *Machine) Beat() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.guests {
		if time.Since(g.lastBeat) >= m.Heartbeat {
			m.putGuest(g)
		}
	}
	switch silent := time.Since(m.lastBeat); {
	case m.reaches && silent >= m.Heartbeat:
		m.put()
	case !m.reaches && m.listed && silent >= silentBeats*m.Heartbeat:
		m.unlist()
	}
}
