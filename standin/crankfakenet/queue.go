package crankfakenet

import (
	"net"
	"syscall"
	"time"
)

// acceptor accepts connections as the mode of a Listener has it.
type acceptor struct {
	net.Listener
	l *Listener
}

// Accept implements net.Listener.
func (a acceptor) Accept() (net.Conn, error) {
	for {
		if err := a.l.awaitAccepting(); err != nil {
			return nil, err
		}
		in, err := a.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// One that was awaited as the mode began is as if it were in the queue.
		if err := a.l.awaitAccepting(); err != nil {
			in.Close()
			return nil, err
		}
		a.l.mu.Lock()
		m := a.l.mode
		c := &conn{in, a.l}
		if m != ModeReset {
			a.l.conns[c] = true
		}
		a.l.mu.Unlock()
		if m != ModeReset {
			return c, nil
		}
		reset(in)
	}
}

// awaitAccepting waits until the mode lets connections be accepted. It fails once nothing
// listens.
func (l *Listener) awaitAccepting() error {
	for {
		m, _, changed := l.state()
		switch {
		case m == ModeRefuse:
			return net.ErrClosed
		case m.accepts():
			return nil
		}
		<-changed
	}
}

// queueLength is that of Go's listeners, which the kernel limits.
const queueLength = 1<<16 - 1

// limitQueue sets how many connections more than one may wait to be accepted.
func limitQueue(in net.Listener, most int) error {
	raw, err := in.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = syscall.Listen(int(fd), most) }); err != nil {
		return err
	}
	return failure
}

// Connections that fill a queue.
const (
	fillingConns = 4
	fillTimeout  = 30 * time.Millisecond
)

// fill takes all places of the queue at an address, whose length is limited.
func fill(addr string) (conns []net.Conn) {
	for range fillingConns {
		// It is full until the connection that was awaited as the mode began is taken out.
		if c, err := net.DialTimeout("tcp", addr, fillTimeout); err == nil {
			conns = append(conns, c)
		}
	}
	return conns
}
