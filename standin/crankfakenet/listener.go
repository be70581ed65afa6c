package crankfakenet

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
)

// Listener serves HTTP at an address that it keeps. Its handler and its mode can be
// replaced.
type Listener struct {
	addr    string
	handler atomic.Pointer[http.Handler]

	switching sync.Mutex // held while the mode is replaced
	in        net.Listener
	server    *http.Server
	served    chan struct{} // closed once the server accepts no more
	filling   []net.Conn    // of a full queue
	closed    bool

	mu      sync.Mutex
	mode    Mode
	delay   time.Duration
	changed chan struct{} // closed and replaced on each change of the mode
	conns   map[*conn]bool
}

func newListener(addr string, h http.Handler) *Listener {
	l := &Listener{addr: addr, changed: make(chan struct{}), conns: make(map[*conn]bool)}
	l.SetHandler(h)
	return l
}

// Addr returns the address.
func (l *Listener) Addr() string { return l.addr }

// SetHandler replaces the handler.
func (l *Listener) SetHandler(h http.Handler) { l.handler.Store(&h) }

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, delay, _ := l.state(); delay > 0 {
		time.Sleep(delay)
	}
	(*l.handler.Load()).ServeHTTP(w, r)
}

func (l *Listener) open() error {
	in, err := net.Listen("tcp", l.addr)
	if err != nil {
		return crank.Wrap("listen", crank.KindUnavailable, err)
	}
	l.serve(in)
	return nil
}

func (l *Listener) serve(in net.Listener) {
	l.in, l.server, l.served = in, &http.Server{Handler: l}, make(chan struct{})
	go func(s *http.Server, served chan struct{}) {
		defer close(served)
		_ = s.Serve(acceptor{in, l}) // it always returns an error
	}(l.server, l.served)
}

// endServing frees the address, also if the server has hardly begun.
func (l *Listener) endServing() error {
	err := l.server.Close()
	<-l.served
	if errors.Is(err, net.ErrClosed) { // it had ended by itself, as the mode has it
		return nil
	}
	return err
}

// SetMode replaces the mode. Connections that lost bytes are closed on the way back.
func (l *Listener) SetMode(m Mode) error {
	l.switching.Lock()
	defer l.switching.Unlock()
	if l.closed {
		return nil
	}
	return l.switchMode(m)
}

// switchMode replaces the mode under the lock.
func (l *Listener) switchMode(m Mode) error {
	old := l.replaceMode(m)
	if m == old {
		return nil
	}
	if old == ModeRefuse {
		if err := l.open(); err != nil {
			return err
		}
	}
	if old == ModeFullQueue {
		for _, c := range l.filling {
			c.Close()
		}
		l.filling = nil
	}
	switch {
	case m == ModeRefuse:
		return l.endServing()
	case m == ModeFullQueue:
		if err := limitQueue(l.in, 0); err != nil {
			return crank.Wrap("listen", crank.KindUnavailable, err)
		}
		l.filling = fill(l.addr)
	case old == ModeFullQueue:
		return crank.Wrap("listen", crank.KindUnavailable, limitQueue(l.in, queueLength))
	}
	return nil
}

// replaceMode returns the mode of before. It closes the connections that can't go on.
func (l *Listener) replaceMode(m Mode) (old Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old = l.mode
	if m == old {
		return old
	}
	l.mode = m
	close(l.changed)
	l.changed = make(chan struct{})
	if m == ModeReset || old.dropsBytes() {
		for c := range l.conns {
			reset(c.Conn)
		}
	}
	return old
}

// SetDelay delays the effect of each request.
func (l *Listener) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Close ends the listener for good.
func (l *Listener) Close() error {
	l.switching.Lock()
	defer l.switching.Unlock()
	l.closed = true
	return l.switchMode(ModeRefuse)
}

func (l *Listener) state() (Mode, time.Duration, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.delay, l.changed
}
