package crankfakemachine

import (
	"time"

	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplan"
)

const (
	slowTransit = 700 * time.Millisecond // of calls to a slow worker
	flapPeriod  = 1400 * time.Millisecond
)

var failingShares = map[string]float64{crankfakeplan.FailAll: 1, crankfakeplan.FailSome: 0.45}

// injectUnfit injects a fault that makes the worker useless meanwhile.
func (m *Machine) injectUnfit(f crankfakefleet.Fault) func() error {
	m.serves = false
	end := m.inject(f)
	return func() error {
		m.mu.Lock()
		m.serves = m.reaches && !m.away
		m.mu.Unlock()
		return end()
	}
}

// flap lets the worker refuse all calls in every other period.
func (m *Machine) flap() func() error {
	end := m.injectUnfit(crankfakefleet.Fault{Refuse: true})
	id, refuses := m.entry.ID, true
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(flapPeriod):
				refuses = !refuses
				m.SetFault(id, crankfakefleet.Fault{Refuse: refuses})
			}
		}
	}()
	return func() error {
		close(stop)
		<-stopped
		return end()
	}
}
