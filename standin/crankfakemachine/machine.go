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
	"cranberrycrank/standin/crankfakeplan"
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
	Ghosts     bool                                        // a test's: workers that left stay listed and answer
}

// Machine is an address at which one worker after the other may run.
type Machine struct {
	Config
	listener *crankfakenet.Listener

	mu       sync.Mutex
	entry    crank.WorkerEntry
	workers  int  // so far
	reaches  bool // the store
	serves   bool // takes tasks
	gone     bool // for good
	lives    int  // disturbances of an earlier life have no effect
	lastBeat time.Time
	listed   bool
}

// silentBeats is the number of missed heartbeats after which an entry is removed.
const silentBeats = 3

// Start starts the first worker.
func Start(c Config) (*Machine, error) {
	m := &Machine{Config: c, entry: c.Entry}
	var err error
	if m.listener, err = c.Ports.Listen(http.NotFoundHandler()); err != nil {
		return nil, err
	}
	m.entry.Addr = m.listener.Addr()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begin(true)
	return m, nil
}

// Close ends the listener.
func (m *Machine) Close() { m.listener.Close() }

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
	m.listener.SetHandler(crankfakeplatform.WorkerHandler{Entry: m.entry, Dial: m.Dialer})
	m.reaches, m.serves = true, true
	m.put()
}

func (m *Machine) put() {
	m.Store.Put(crank.WorkerTopic, m.entry.ID, crankfakeplatform.EncodeEntry(m.entry))
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
	switch silent := time.Since(m.lastBeat); {
	case m.reaches && silent >= m.Heartbeat:
		m.put()
	case !m.reaches && m.listed && silent >= silentBeats*m.Heartbeat:
		m.unlist()
	}
}

// Disturb applies a disturbance and returns what ends it, or nil.
func (m *Machine) Disturb(d crankfakeplan.Disturbance) (end func() error, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return nil, nil
	}
	switch d.Kind {
	case crankfakeplan.Drain, crankfakeplan.Take:
		if m.entry.Draining || !m.reaches {
			return nil, nil
		}
		m.entry.Draining = true
		m.put()
		m.lives++
		return m.sameLife(func() error {
			if d.Kind == crankfakeplan.Drain {
				return m.leave()
			}
			return m.vanish(d.How)
		}), nil
	case crankfakeplan.Remove:
		m.lives++
		return nil, m.vanish(d.How)
	case crankfakeplan.Silence, crankfakeplan.CutOff:
		m.lives++
		m.reaches, m.serves = false, false
		if d.Kind == crankfakeplan.Silence {
			m.Fleet.Crash(m.entry.ID)
		}
		return m.sameLife(func() error { return m.back(d) }), m.listener.SetMode(crankfakenet.ModeSilent)
	case crankfakeplan.LateCall:
		return m.inject(crankfakefleet.Fault{EffectDelay: 3 * time.Second}), nil
	case crankfakeplan.LoseCall:
		return m.inject(crankfakefleet.Fault{DropResponse: true}), nil
	case crankfakeplan.Unwell:
		return m.injectUnfit(crankfakefleet.Fault{Refuse: true}), nil
	case crankfakeplan.Pretend:
		return m.injectUnfit(crankfakefleet.Fault{RefuseStart: true}), nil
	case crankfakeplan.Slow:
		return m.inject(crankfakefleet.Fault{TransitTime: slowTransit}), nil
	case crankfakeplan.Fail:
		id := m.entry.ID
		m.SetFailing(id, failingShares[d.How])
		return func() error {
			m.SetFailing(id, 0)
			return nil
		}, nil
	case crankfakeplan.Flap:
		return m.flap(), nil
	}
	return nil, crank.Fail("worker disturbance", crank.KindInvalid, "%q is no disturbance of a worker", d.Kind)
}

// sameLife returns f under the lock, without effect after a later disturbance.
func (m *Machine) sameLife(f func() error) func() error {
	life := m.lives
	return func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.lives != life {
			return nil
		}
		return f()
	}
}

// leave ends a worker in order.
func (m *Machine) leave() error {
	if m.Ghosts {
		m.Fleet.Leave(m.entry.ID)
		return nil
	}
	m.gone, m.reaches, m.serves = true, false, false
	m.Fleet.Leave(m.entry.ID)
	m.unlist()
	return m.listener.SetMode(crankfakenet.ModeRefuse)
}

// vanish ends a worker whose entry stays until it has been silent for a while.
func (m *Machine) vanish(how string) error {
	m.gone, m.reaches, m.serves = true, false, false
	m.Fleet.Crash(m.entry.ID)
	return m.listener.SetMode(crankfakenet.Mode(how))
}

func (m *Machine) back(d crankfakeplan.Disturbance) error {
	if d.How == crankfakeplan.BackAlive {
		m.reaches, m.serves = true, true
		m.put()
	} else {
		if d.How == crankfakeplan.BackNewID && m.listed {
			m.expire(m.entry.ID)
		}
		m.begin(d.How == crankfakeplan.BackNewID)
	}
	return m.listener.SetMode(crankfakenet.ModePass)
}

// expire removes the entry of a former worker once it has been silent long enough.
func (m *Machine) expire(id string) {
	left := silentBeats*m.Heartbeat - time.Since(m.lastBeat)
	time.AfterFunc(max(0, left), func() { m.Store.Put(crank.WorkerTopic, id, nil) })
}

func (m *Machine) inject(f crankfakefleet.Fault) func() error {
	id := m.entry.ID
	m.SetFault(id, f)
	return func() error {
		m.SetFault(id, crankfakefleet.Fault{})
		return nil
	}
}
