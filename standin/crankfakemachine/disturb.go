package crankfakemachine

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
)

// Disturb applies a disturbance and returns what ends it, or nil. Callers of the given
// hosts don't reach a worker that is cut off, all if there is none.
func (m *Machine) Disturb(d crankfakeplan.Disturbance, hosts ...int) (end func() error, err error) {
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
	case crankfakeplan.Silence:
		m.lives++
		m.up, m.reaches, m.serves = false, false, false
		m.Fleet.Crash(m.entry.ID)
		return m.sameLife(func() error { return m.back(d) }), m.leaveReach(crankfakenet.ModeSilent)
	case crankfakeplan.CutOff:
		return m.cutOff(d, hosts)
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
	listed := m.reaches
	m.gone, m.up, m.reaches, m.serves = true, false, false, false
	m.Fleet.Leave(m.entry.ID)
	if listed {
		m.unlist()
	}
	return m.leaveReach(crankfakenet.ModeRefuse)
}

// vanish ends a worker whose entry stays until it has been silent for a while.
func (m *Machine) vanish(how string) error {
	m.gone, m.up, m.reaches, m.serves = true, false, false, false
	m.Fleet.Crash(m.entry.ID)
	return m.leaveReach(crankfakenet.Mode(how))
}

// back starts a worker at the end of a loss.
func (m *Machine) back(d crankfakeplan.Disturbance) error {
	if d.How == crankfakeplan.BackNewID && m.listed {
		m.expire(m.entry.ID)
	}
	m.begin(d.How == crankfakeplan.BackNewID)
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
