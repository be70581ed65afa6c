package crankguard

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	crank "cranberrycrank"
)

// ListenerConfig holds the settings of one listener.
type ListenerConfig struct {
	Address         string
	Connections     int
	Backlog         int           // of the kernel, 0 for its default
	ReceiveBuffer   int           // of each connection, 0 for the kernel's default
	IdleTimeout     time.Duration // instead of that of the limits, 0 for it
	BodyTimeout     time.Duration
	ProgressTimeout time.Duration
	ChargeBodies    bool // bodies are taken from the budget
}

// Listener accepts connections up to a number. For a new one beyond it, the slowest one
// that is not handling a request is closed.
type Listener struct {
	net.Listener
	ListenerConfig
	guard *Guard

	marksAsked  atomic.Int64 // number of calls of mark
	marksPlaced atomic.Int64 // of these, all up to the one that was placed last
	marked      time.Time    // when that was placed

	// Guarded by guard.mu.
	open    int // connections
	serving int // goroutines of net/http, which end a moment after their connection
}

// Listen listens at an address.
func (g *Guard) Listen(ctx context.Context, c ListenerConfig) (*Listener, error) {
	const op = "guard listen"
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if c.ReceiveBuffer == 0 {
			return nil
		}
		// Connections inherit it, also while they wait to be accepted.
		return control(raw, func(fd int) error {
			return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.ReceiveBuffer)
		})
	}}
	inner, err := config.Listen(ctx, "tcp", c.Address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := inner.(*net.TCPListener); ok && c.Backlog > 0 {
		raw, err := tcp.SyscallConn()
		if err == nil {
			// A further listen(2) only changes the length of the queue.
			err = control(raw, func(fd int) error { return syscall.Listen(fd, c.Backlog) })
		}
		if err != nil {
			inner.Close()
			return nil, crank.Wrap(op, crank.KindUnavailable, err)
		}
	}
	l := &Listener{Listener: inner, ListenerConfig: c, guard: g}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[l] = true
	return l, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.guard.mu.Lock()
	defer l.guard.mu.Unlock()
	delete(l.guard.listeners, l)
	return l.Listener.Close()
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var inner error
	if err := raw.Control(func(fd uintptr) { inner = f(int(fd)) }); err != nil {
		return err
	}
	return inner
}

const (
	// servingExcess divides the connections: so many more goroutines may still be ending
	// before the next connection waits.
	servingExcess = 4
	servingWait   = 200 * time.Millisecond // at most
	servingPoll   = time.Millisecond
)

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.placeMark()
		inner, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.endInterrupt()
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
	}
}

// admit makes room for a connection. It returns nil for one that is refused.
func (l *Listener) admit(inner net.Conn) net.Conn {
	g := l.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &conn{Conn: inner, listener: l, sentAfter: l.marked}
	if l.open >= l.Connections {
		slowest := l.slowest(time.Now())
		if slowest == nil {
			g.report.note(causeNoSlot)
			c.answer(http.StatusServiceUnavailable)
			inner.Close()
			return nil
		}
		g.report.note(causeSlot)
		_ = slowest.closeLocked() // nothing is left to do if it fails
	}
	for until := time.Now().Add(servingWait); l.serving >= l.Connections+l.Connections/servingExcess && time.Now().Before(until); {
		g.mu.Unlock()
		time.Sleep(servingPoll)
		g.mu.Lock()
	}
	l.open++
	l.serving++
	g.conns[c] = true
	c.enter(phaseIdle, time.Now())
	return c
}

// requestWeight is how much longer an idle connection may be without a byte than one that
// has begun a request or never sent one: ordinary callers keep idle connections.
const requestWeight = 4

// slowest returns the connection that has been without progress for longest, or nil if all
// are handling requests.
func (l *Listener) slowest(now time.Time) *conn {
	var slowest *conn
	longest := time.Duration(-1)
	for c := range l.guard.conns {
		if c.listener != l || c.phase == phaseHandling {
			continue
		}
		silent := now.Sub(c.progress)
		if c.phase != phaseIdle || c.requests == 0 {
			silent *= requestWeight
		}
		if silent > longest {
			slowest, longest = c, silent
		}
	}
	return slowest
}

func (l *Listener) idleTimeout(limit time.Duration) time.Duration {
	if l.IdleTimeout > 0 {
		return l.IdleTimeout
	}
	return limit
}

type connKey struct{}

// serverHeadBytes is the limit of net/http, above all that may be published: the limit in
// force is that of the connection, since the one of a running server can't be changed.
const serverHeadBytes = 16 << 20

// NewServer returns a server for the connections of a listener.
func (g *Guard) NewServer(handler http.Handler, c ListenerConfig) *http.Server {
	return &http.Server{
		Addr:           c.Address,
		Handler:        limitBodies(handler),
		MaxHeaderBytes: serverHeadBytes,
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*conn); ok {
				c.setState(s)
			}
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}
