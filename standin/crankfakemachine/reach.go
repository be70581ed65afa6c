package crankfakemachine

import (
	"fmt"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakeplatform"
)

// guest is another worker at an address that a worker of the machine has or had.
type guest struct {
	entry    crank.WorkerEntry
	stays    bool // when that one is in reach again
	lastBeat time.Time
}

// cutOff puts a worker that runs on out of reach.
func (m *Machine) cutOff(d crankfakeplan.Disturbance, hosts []int) (end func() error, err error) {
	isAlive := d.How == crankfakeplan.BackAlive
	if isAlive && !m.up {
		return nil, nil
	}
	if !isAlive {
		m.lives++
	}
	m.away = d.For >= m.Heartbeat // a shorter gap is no excuse
	m.serves = m.serves && !m.away
	m.reaches = m.reaches && d.Store == crankfakeplan.StoreKept
	if err := m.leaveReach(crankfakenet.ModePass); err != nil {
		return nil, err
	}
	if err := m.cut(d, hosts); err != nil {
		return nil, err
	}
	if !isAlive {
		return m.sameLife(func() error {
			if err := m.leaveReach(crankfakenet.ModePass); err != nil {
				return err
			}
			return m.back(d)
		}), nil
	}
	cut := m.cuts
	return func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.cuts != cut {
			return nil
		}
		m.away, m.reaches, m.serves = false, true, true
		m.put()
		return m.leaveReach(crankfakenet.ModePass)
	}, nil
}

// cut applies the way of a cut-off.
func (m *Machine) cut(d crankfakeplan.Disturbance, hosts []int) error {
	if m.Impostor != nil {
		return replace(m.listener, m.Impostor(m.entry))
	}
	switch d.Way {
	case crankfakeplan.WayMoved:
		return m.move(crankfakenet.ModeRefuse)
	case crankfakeplan.WayTaken:
		return m.addGuest(m.listener, false)
	case crankfakeplan.WayMovedTaken:
		if err := m.move(crankfakenet.ModePass); err != nil {
			return err
		}
		return m.addGuest(m.former[len(m.former)-1], true)
	}
	return m.listener.SetMode(crankfakenet.Mode(d.CallWay()), hosts...)
}

// leaveReach ends what an earlier cut-off did to the address and gives it a mode.
func (m *Machine) leaveReach(mode crankfakenet.Mode) error {
	m.cuts++
	var staying []*guest
	for _, g := range m.guests {
		if g.stays {
			staying = append(staying, g)
			continue
		}
		m.Fleet.Leave(g.entry.ID)
		m.Store.Put(crank.WorkerTopic, g.entry.ID, nil)
		if err := replace(m.listener, m.handler(m.entry)); err != nil {
			return err
		}
	}
	m.guests = staying
	if m.Impostor != nil {
		if err := replace(m.listener, m.handler(m.entry)); err != nil {
			return err
		}
	}
	return m.listener.SetMode(mode)
}

// move moves the worker to another address. What the old one does is a mode.
func (m *Machine) move(old crankfakenet.Mode) error {
	l, err := m.Ports.ListenAtAllHosts(m.handler(m.entry))
	if err != nil {
		return err
	}
	left := m.listener
	m.former, m.listener = append(m.former, left), l
	m.entry.Addr = l.Addr()
	l.SetHandler(m.handler(m.entry))
	if m.reaches {
		m.put()
	}
	return left.SetMode(old)
}

// addGuest starts a worker at an address, whose connections end.
func (m *Machine) addGuest(l *crankfakenet.Group, stays bool) error {
	m.workers++
	e := m.entry
	e.ID, e.Draining = fmt.Sprintf("%s-%d", m.Name, m.workers), false
	g := &guest{entry: m.Fleet.Add(e), stays: stays}
	m.guests = append(m.guests, g)
	m.putGuest(g)
	return replace(l, m.handler(g.entry))
}

// replace lets another process answer at an address. The connections of the old one end.
func replace(l *crankfakenet.Group, h http.Handler) error {
	if err := l.SetMode(crankfakenet.ModeReset); err != nil {
		return err
	}
	l.SetHandler(h)
	return l.SetMode(crankfakenet.ModePass)
}

func (m *Machine) putGuest(g *guest) {
	m.Store.Put(crank.WorkerTopic, g.entry.ID, crankfakeplatform.EncodeEntry(g.entry))
	g.lastBeat = time.Now()
}
