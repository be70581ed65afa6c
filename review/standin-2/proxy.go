package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// proxy forwards connections to an address. Open ones can be silenced for good, while new
// ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*atomic.Bool // of each connection that is not silent, whether it is
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		silent := new(atomic.Bool)
		p.mu.Lock()
		p.open = append(p.open, silent)
		p.mu.Unlock()
		go forward(t, c, silent)
		go forward(c, t, silent)
	}
}

// forward copies data, or drops it once the connection is silent.
func forward(to, from net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// silence has the open connections go silent for good, and returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open)
	for _, s := range p.open {
		s.Store(true)
	}
	p.open = nil
	return n
}
