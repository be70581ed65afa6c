// Package crankguard keeps callers that misbehave from using up the memory and the
// descriptors of the process. It bounds connections, request heads, bodies and their
// times, and takes the bytes of heads, bodies and requests in progress from one budget
// before they are read.
//
//	Listener    connections: the slowest is closed for a new one
//	conn        heads: size, empty lines, time
//	Handler     bodies: bytes from the budget, time without progress, whole time
//	Reserve     bytes that a handler needs beyond the body, as to decode it
//	SentAfter   a lower bound of the time at which a request was sent
//
// Small requests have a part of the budget to themselves. When the budget is used up, the
// request that holds most without progress is refused first.
package crankguard

import (
	"log/slog"
	"sync"
	"time"

	crank "cranberrycrank"

	"github.com/uber-go/tally/v4"
)

// Config holds the settings and dependencies of a Guard.
type Config struct {
	Settings  Settings
	Budget    Budget
	Published func() crank.RequestLimits // a higher one than in Settings is followed; nil for none
	Logger    *slog.Logger
	Scope     tally.Scope
}

// Guard is the budget of a process. It is safe for concurrent use.
type Guard struct {
	Config
	report *report

	mu    sync.Mutex
	used  int64 // bytes of the budget
	large int   // connections whose request is not small and that hold bytes
	// fragmented counts the requests being read whose bodies come in tiny chunks.
	fragmented int
	conns      map[*conn]bool
	listeners  map[*Listener]bool
}

// New returns a guard without connections.
func New(c Config) *Guard {
	return &Guard{Config: c, report: newReport(c.Logger, c.Scope), conns: make(map[*conn]bool), listeners: make(map[*Listener]bool)}
}

const (
	// stallTime is how long a request makes no progress until it counts as stalled when
	// others need its bytes. Segments of an ordinary body follow each other within it.
	stallTime = 250 * time.Millisecond
	// requestLineBytes are allowed beside the header fields, to which the published limit
	// applies.
	requestLineBytes = 4 << 10
	// readBufferBytes may follow a head in the buffer of net/http.
	readBufferBytes = 4 << 10
	// fieldBytes is what a parsed header field takes beside its text.
	fieldBytes = 128
)

// limits returns the limits in force.
func (g *Guard) limits() crank.RequestLimits {
	l := crank.RequestLimits{HeaderBytes: g.Settings.HeadBytes, HeaderTimeout: g.Settings.HeaderTimeout, IdleTimeout: g.Settings.IdleTimeout}
	if g.Published != nil {
		p := g.Published()
		l.HeaderBytes = max(l.HeaderBytes, p.HeaderBytes)
		l.HeaderTimeout = max(l.HeaderTimeout, p.HeaderTimeout)
		l.IdleTimeout = max(l.IdleTimeout, p.IdleTimeout)
	}
	return l
}

// errRefused is the error of a request that gets no bytes of the budget. It has not run.
func errRefused(op string) error {
	return crank.Fail(op, crank.KindUnavailable, "no memory for the request now")
}

// take takes bytes of the budget for a connection's request. g.mu is held.
func (g *Guard) take(c *conn, n int64, now time.Time) bool {
	if c.shed || c.closed {
		return false
	}
	for !g.fits(c, n) {
		v := g.largestHolder(c, now)
		if v == nil {
			g.report.note(causeMemory)
			return false
		}
		g.report.note(causeShed)
		g.shedLocked(v)
	}
	g.add(c, n)
	return true
}

// fits reports whether the budget has bytes for a request. The only large request gets
// what it needs: it is within the limits for heads and bodies.
func (g *Guard) fits(c *conn, n int64) bool {
	if c.small() {
		return g.used+n <= g.Budget.RequestBytes
	}
	others := g.large
	if c.charge > 0 && c.countedLarge {
		others--
	}
	return others == 0 || g.used+n <= g.Budget.RequestBytes-g.Budget.ReservedBytes
}

// add changes what a connection holds. g.mu is held.
func (g *Guard) add(c *conn, n int64) {
	n = max(n, -c.charge)
	c.charge += n
	g.used += n
	large := c.charge > 0 && !c.small()
	if large && !c.countedLarge {
		g.large++
	} else if !large && c.countedLarge {
		g.large--
	}
	c.countedLarge = large
}

// largestHolder returns the connection to refuse for another one's request: the one that
// holds most without progress or, for a small request, that holds most and more than it.
func (g *Guard) largestHolder(c *conn, now time.Time) *conn {
	var stalled, any *conn
	for o := range g.conns {
		if o == c || o.shed || o.charge == 0 || (o.phase != phaseHead && o.phase != phaseBody) {
			continue
		}
		if now.Sub(o.progress) >= stallTime && (stalled == nil || o.charge > stalled.charge) {
			stalled = o
		}
		if o.charge > c.charge && (any == nil || o.charge > any.charge) {
			any = o
		}
	}
	if stalled == nil && c.small() {
		return any
	}
	return stalled
}

// shedLocked takes a connection's bytes away and ends its request. g.mu is held.
func (g *Guard) shedLocked(c *conn) {
	g.add(c, -c.charge)
	c.shed = true
	if c.phase == phaseBody {
		// The handler's read fails, and it answers that the request has not run.
		_ = c.Conn.SetReadDeadline(longAgo)
		return
	}
	c.closeLocked()
}

const (
	// maxFragmented bodies in tiny chunks are read at a time. Parsing a chunk costs as much
	// for one byte as for thousands: 400 connections with chunks of one byte used 2.4 cores.
	maxFragmented = 2
	// A body comes in tiny chunks if it has more than fragmentRatio bytes of encoding and
	// data for each of data: chunks of one and two bytes.
	fragmentRatio = 3
	fragmentBytes = 4 << 10 // of data, before it is judged
)

// admitBody reports whether a body may be read on as far as its chunks are concerned. g.mu
// is held.
func (g *Guard) admitBody(c *conn) bool {
	if c.fragmented || c.body < fragmentBytes || c.wire.Load() <= int64(fragmentRatio*c.body+readBufferBytes) {
		return true
	}
	if g.fragmented >= maxFragmented {
		g.report.note(causeFragmented)
		return false
	}
	c.fragmented = true
	g.fragmented++
	return true
}

// endFragmented ends the reading of a connection's body. g.mu is held.
func (g *Guard) endFragmented(c *conn) {
	if c.fragmented {
		c.fragmented = false
		g.fragmented--
	}
}

var longAgo = time.Unix(1, 0)
