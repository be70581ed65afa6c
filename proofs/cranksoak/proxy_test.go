package cranksoak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// proxyMode is what a proxy does with connections.
type proxyMode int

const (
	modePass      proxyMode = iota
	modeDelay               // bytes are delayed by forwardDelay
	modeReset               // open and new connections are reset
	modeBlackhole           // bytes are dropped in both directions, connections stay open
	modeOneWay              // requests are forwarded, responses are dropped
	forwardDelay  = 150 * time.Millisecond
)

// proxy forwards TCP connections to a target address.
type proxy struct {
	listener    net.Listener
	target      string
	mu          sync.Mutex
	mode        proxyMode
	connections map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, connections: make(map[net.Conn]bool)}
	t.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.connections {
			reset(c)
		}
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the close is an ordinary one
	}
	c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			reset(in)
			continue
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		in.Close()
		return
	}
	p.mu.Lock()
	p.connections[in] = true
	p.mu.Unlock()
	go func() {
		p.forward(out, in, false)
		out.Close()
	}()
	p.forward(in, out, true)
	in.Close()
	p.mu.Lock()
	delete(p.connections, in)
	p.mu.Unlock()
}

const (
	bufferSize       = 32 << 10
	modePollInterval = 20 * time.Millisecond
)

// forward copies bytes in one direction under the current mode. Once it has
// dropped bytes, it waits for the mode to change and ends the connection, since
// the stream has a gap.
func (p *proxy) forward(to io.Writer, from io.Reader, isResponse bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m := p.currentMode()
		if m == modeBlackhole || (m == modeOneWay && isResponse) {
			for p.currentMode() == m {
				time.Sleep(modePollInterval)
			}
			return
		}
		if m == modeDelay {
			time.Sleep(forwardDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
