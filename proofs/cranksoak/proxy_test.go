package cranksoak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does to connections.
type mode int

// Modes.
const (
	modePass    mode = iota
	modeDelay        // bytes arrive later
	modeReset        // connections are reset, new ones too
	modeSilent       // nothing arrives either way, connections stay open
	modeOneWay       // requests arrive, answers do not
	delayedTime = 150 * time.Millisecond
)

// proxy forwards TCP connections to an address.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	open     map[net.Conn]bool
}

// newProxy listens on loopback.
func newProxy(t *testing.T, target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: l, target: target, open: make(map[net.Conn]bool)}
	t.Cleanup(func() { l.Close() })
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.open {
			reset(c)
		}
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close that follows matters
	}
	c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.current() == modeReset {
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
	p.open[in] = true
	p.mu.Unlock()
	go func() {
		p.copy(out, in, false)
		out.Close()
	}()
	p.copy(in, out, true)
	in.Close()
	p.mu.Lock()
	delete(p.open, in)
	p.mu.Unlock()
}

const (
	copyBytes    = 32 << 10
	silencePause = 20 * time.Millisecond
)

// copy forwards bytes under the mode of the moment. What arrives during
// silence is lost, and so is the connection after it.
func (p *proxy) copy(to io.Writer, from io.Reader, answers bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		m := p.current()
		if m == modeSilent || (m == modeOneWay && answers) {
			for p.current() == m {
				time.Sleep(silencePause)
			}
			return
		}
		if m == modeDelay {
			time.Sleep(delayedTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
