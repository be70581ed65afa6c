package crankfakenet

import (
	"net"
	"sync"
	"time"
)

// Front is an address in front of that of a process. While the process is down, nothing
// listens there either.
type Front struct {
	listener *Listener
	behind   string

	mu        sync.Mutex
	mode      Mode // while the process is up
	up        bool
	processes int // so far
}

const awaitPeriod = 10 * time.Millisecond

// Front returns an address in front of another, whose process is down.
func (p *Ports) Front(behind string) (*Front, error) {
	l, err := p.Listen(NewProxy(behind))
	if err != nil {
		return nil, err
	}
	f := &Front{listener: l, behind: behind}
	return f, f.apply()
}

// Addr returns the address.
func (f *Front) Addr() string { return f.listener.Addr() }

// SetMode replaces the mode while a process is up.
func (f *Front) SetMode(m Mode) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mode = m
	return f.apply()
}

// Begin waits until the next process listens, at most until one ends.
func (f *Front) Begin() error {
	f.mu.Lock()
	f.processes++
	process := f.processes
	f.mu.Unlock()
	for {
		c, err := net.Dial("tcp", f.behind)
		if err == nil {
			c.Close()
		}
		f.mu.Lock()
		switch {
		case f.processes != process:
			f.mu.Unlock()
			return nil
		case err == nil:
			defer f.mu.Unlock()
			f.up = true
			return f.apply()
		}
		f.mu.Unlock()
		time.Sleep(awaitPeriod)
	}
}

// End tells that the process has ended.
func (f *Front) End() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes++
	f.up = false
	return f.apply()
}

// Close ends the front for good.
func (f *Front) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes++
	return f.listener.Close()
}

func (f *Front) apply() error {
	if !f.up {
		return f.listener.SetMode(ModeRefuse)
	}
	return f.listener.SetMode(f.mode)
}
