package crankguard

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// phase is where a connection is between and within requests.
type phase int

const (
	phaseIdle     phase = iota // no byte of a request
	phaseHead                  // in a head
	phaseBody                  // the head is read, the body may not be
	phaseHandling              // the request is read whole
)

// conn is a connection of a listener. Its fields are guarded by Guard.mu.
type conn struct {
	net.Conn
	listener *Listener

	phase        phase
	begun        time.Time // of the phase
	progress     time.Time // the last byte
	sentAfter    time.Time // the caller has sent the request later, see SentAfter
	requests     int       // begun on the connection
	head         int       // bytes of the head
	blank        int       // bytes of empty lines before it
	body         int       // bytes of the body
	charge       int64     // bytes of the budget
	countedLarge bool
	shed         bool // its request was refused for others
	answered     bool // with a refusal, before its head was read whole
	closed       bool
	fragmented   bool         // counted in Guard.fragmented
	wire         atomic.Int64 // bytes read since the head, without Guard.mu
	wireLimit    atomic.Int64 // of wire after the answer, 0 for none
}

func (c *conn) guard() *Guard { return c.listener.guard }

// small reports whether the request may use the reserved part of the budget.
func (c *conn) small() bool {
	return c.head <= requestLineBytes && c.body <= c.guard().Settings.SmallBytes
}

// enter begins a phase. Guard.mu is held.
func (c *conn) enter(p phase, now time.Time) { c.phase, c.begun, c.progress = p, now, now }

// Read implements net.Conn. Outside a body it applies the limits of heads and of idle
// connections; net/http reads then in one goroutine only, so that its own deadlines and
// those here do not replace each other.
func (c *conn) Read(p []byte) (int, error) {
	g := c.guard()
	limits := g.limits()
	g.mu.Lock()
	if c.closed {
		g.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.answered {
		g.mu.Unlock()
		return 0, io.EOF
	}
	inHead := c.phase == phaseIdle || c.phase == phaseHead
	if inHead {
		wait := limits.HeaderTimeout
		if c.phase == phaseIdle && c.requests > 0 {
			wait = c.listener.idleTimeout(limits.IdleTimeout)
		}
		_ = c.Conn.SetReadDeadline(c.begun.Add(wait))
	}
	g.mu.Unlock()
	if limit := c.wireLimit.Load(); !inHead && limit > 0 && c.wire.Load() >= limit {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	if !inHead {
		c.wire.Add(int64(n))
		return n, err
	}
	if n == 0 {
		c.noteHeadTimeout(err)
		return n, err
	}
	if status, why := c.headRead(p[:n], limits.HeaderBytes); status != 0 {
		if why != noCause {
			g.report.note(why)
		}
		c.answer(status)
		c.endWriting()
		return 0, io.EOF
	}
	return n, err
}

func (c *conn) noteHeadTimeout(err error) {
	if e, ok := err.(net.Error); !ok || !e.Timeout() {
		return
	}
	g := c.guard()
	g.mu.Lock()
	inHead := c.phase == phaseHead || c.requests == 0
	g.mu.Unlock()
	if inHead {
		g.report.note(causeHeadTime)
	}
}

// headRead accounts for bytes of a head. A status other than 0 refuses it.
func (c *conn) headRead(data []byte, headLimit int) (status int, why cause) {
	g, now := c.guard(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == phaseIdle {
		c.enter(phaseHead, now)
		c.head, c.blank, c.body, c.shed = 0, 0, 0, false
	}
	c.progress = now
	if c.head == 0 {
		rest := bytes.TrimLeft(data, "\r\n")
		c.blank += len(data) - len(rest)
		if c.blank > len("\r\n")*g.Settings.EmptyLines {
			return http.StatusBadRequest, causeEmptyLines
		}
		data = rest
	}
	c.head += len(data)
	if c.head > headLimit+requestLineBytes+readBufferBytes {
		return http.StatusRequestHeaderFieldsTooLarge, causeHeadSize
	}
	if !g.take(c, int64(len(data)+fieldBytes*bytes.Count(data, []byte("\n"))), now) {
		return http.StatusServiceUnavailable, noCause // noted where the bytes are refused
	}
	return 0, noCause
}

// answer answers a request whose head is not read whole. It has not run.
func (c *conn) answer(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(answerTimeout))
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

// endWriting keeps net/http from adding an answer of its own.
func (c *conn) endWriting() {
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.answered = true
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !c.closed {
		_ = half.CloseWrite() // the connection is closed next in any case
	}
}

// unreadBytes of a body that its handler has not read may follow its answer, for callers
// that send all of it before they read. net/http reads as much, but counts the data only,
// which is a sixth of it in chunks of one byte.
const unreadBytes = 256 << 10

const (
	retryAfterSeconds = 1
	answerTimeout     = 100 * time.Millisecond // a short answer fits into the send buffer
)

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.closeLocked()
}

// closeLocked closes the connection and frees its slot. Guard.mu is held.
func (c *conn) closeLocked() error {
	if c.closed {
		return nil
	}
	g := c.guard()
	c.closed = true
	g.add(c, -c.charge)
	g.endFragmented(c)
	delete(g.conns, c)
	c.listener.open--
	return c.Conn.Close()
}

// setState follows the state of the connection in net/http.
func (c *conn) setState(s http.ConnState) {
	g, now := c.guard(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s {
	case http.StateActive:
		c.requests++
		c.enter(phaseBody, now)
		c.wire.Store(0)
		c.wireLimit.Store(0)
		if !c.closed {
			_ = c.Conn.SetReadDeadline(now.Add(c.listener.BodyTimeout))
		}
	case http.StateIdle:
		g.add(c, -c.charge)
		c.enter(phaseIdle, now)
		c.head, c.body = 0, 0
	case http.StateClosed, http.StateHijacked:
		c.listener.serving--
	}
}

// bodyRead tells that the request is read whole: from now on it may run, and the
// connection is not closed for another one. It returns false if that happened before.
func (c *conn) bodyRead() bool {
	g, now := c.guard(), time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.shed || c.closed {
		return false
	}
	if c.phase == phaseBody {
		c.enter(phaseHandling, now)
		g.endFragmented(c)
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return true
}

// endRequest gives the bytes of a request back.
func (c *conn) endRequest() {
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.sentAfter = time.Now() // the answer is sent later
	g.add(c, -c.charge)
	g.endFragmented(c)
	if c.phase == phaseBody {
		c.wireLimit.Store(c.wire.Load() + unreadBytes)
	}
}
