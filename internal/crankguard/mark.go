package crankguard

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Mark has connections that are opened from now on count as opened after now, see SentAfter.
// Those that wait to be accepted were opened before: an instance that was suspended can't tell
// when.
func (g *Guard) Mark() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l := range g.listeners {
		l.mark()
	}
}

// deadliner is a listener whose Accept can be interrupted, as net.TCPListener.
type deadliner interface{ SetDeadline(time.Time) error }

func (l *Listener) mark() {
	l.marksAsked.Add(1)
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(longAgo) // Accept returns and places the mark
	}
}

// placeMark notes the time, if it was asked to, once no connection waits to be accepted.
// Only Accept calls it.
func (l *Listener) placeMark() {
	asked := l.marksAsked.Load()
	if asked == l.marksPlaced.Load() {
		return
	}
	l.endInterrupt()
	if now := time.Now(); l.queueEmpty() {
		l.marked = now
		l.marksPlaced.Store(asked)
	}
}

// endInterrupt lets Accept wait again.
func (l *Listener) endInterrupt() {
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(time.Time{})
	}
}

// queueEmpty reports whether certainly no connection waits to be accepted.
func (l *Listener) queueEmpty() bool {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = control(raw, func(fd int) error {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		empty = n == 0
		return err
	})
	return err == nil && empty
}

// SentAfter returns a time after which a caller has sent the request of a context, the zero
// time if none is known: when the last mark before its connection was placed or, if later,
// when the request before it on the connection was answered. A caller that sends a request
// before the answer to the one before it is not told apart.
func SentAfter(ctx context.Context) time.Time {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return time.Time{}
	}
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.sentAfter
}
