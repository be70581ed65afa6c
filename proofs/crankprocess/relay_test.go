package crankprocess

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections. It can cut them, and it can go silent: then
// open connections stay open and carry nothing, while new ones work.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*forwarded
	cut      bool
}

// forwarded is one connection through the relay.
type forwarded struct {
	client, server net.Conn
	mu             sync.Mutex
	silent         bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	t.Cleanup(func() {
		listener.Close()
		r.setCut(true)
	})
	go r.accept()
	return r
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		cut := r.cut
		r.mu.Unlock()
		server, err := net.Dial("tcp", r.target)
		if err != nil || cut {
			client.Close()
			continue
		}
		f := &forwarded{client: client, server: server}
		r.mu.Lock()
		r.conns = append(r.conns, f)
		r.mu.Unlock()
		go f.copy(client, server)
		go f.copy(server, client)
	}
}

// copy forwards one direction; what comes while silent is swallowed.
func (f *forwarded) copy(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		f.mu.Lock()
		silent := f.silent
		f.mu.Unlock()
		if n > 0 && !silent {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// silence makes the connections that are open now carry nothing any more.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.conns {
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
	}
}

// setCut closes all connections and refuses new ones, or lets them pass again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if !cut {
		return
	}
	for _, f := range r.conns {
		f.client.Close()
		f.server.Close()
	}
	r.conns = nil
}
