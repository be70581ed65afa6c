package crankprocess

import (
	"io"
	"net"
	"sync"
	"testing"
)

// tcpProxy forwards TCP connections to a target. It can close and refuse them,
// and it can blackhole the open ones: they stay open but carry nothing, while new
// ones work.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxiedConn
	down     bool
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	blackholed     bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	t.Cleanup(func() {
		listener.Close()
		p.setDown(true)
	})
	go p.accept()
	return p
}

func (p *tcpProxy) addr() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		server, err := net.Dial("tcp", p.target)
		if err != nil || down {
			client.Close()
			continue
		}
		c := &proxiedConn{client: client, server: server}
		p.mu.Lock()
		p.conns = append(p.conns, c)
		p.mu.Unlock()
		go c.forward(client, server)
		go c.forward(server, client)
	}
}

// forward copies one direction, or drops the data while blackholed.
func (c *proxiedConn) forward(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		blackholed := c.blackholed
		c.mu.Unlock()
		if n > 0 && !blackholed {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// blackholeOpenConns makes the open connections drop all data.
func (p *tcpProxy) blackholeOpenConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.mu.Lock()
		c.blackholed = true
		c.mu.Unlock()
	}
}

// setDown closes all connections and refuses new ones, or accepts them again.
func (p *tcpProxy) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	if !down {
		return
	}
	for _, c := range p.conns {
		c.client.Close()
		c.server.Close()
	}
	p.conns = nil
}
