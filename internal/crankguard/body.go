package crankguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	crank "cranberrycrank"
)

// limitBodies applies the limits of bodies.
func limitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		if r.Body == nil || r.Body == http.NoBody {
			c.bodyRead()
		} else {
			// net/http keeps its own request, whose body it knows how to end.
			r = r.WithContext(r.Context())
			r.Body = &body{ReadCloser: r.Body, conn: c, response: w, begun: time.Now()}
		}
		next.ServeHTTP(w, r)
	})
}

const (
	// pieceBytes is the most of a body that is read at once, since it is charged before.
	pieceBytes = 16 << 10
	// growthFactor is how much memory a reader that collects a body needs for each of its
	// bytes, as io.ReadAll: the new buffer while the old one is copied.
	growthFactor = 2
)

// body is a request's body that is taken from the budget as it is read.
type body struct {
	io.ReadCloser
	conn     *conn
	response http.ResponseWriter
	begun    time.Time
	err      error
}

// Read implements io.Reader. An error of KindUnavailable means that the request is refused.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	p = p[:min(len(p), pieceBytes)]
	if b.err = b.begin(len(p)); b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.end(len(p), n)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.err = err
		if !b.conn.bodyRead() {
			b.response.Header().Set("Connection", "close")
			b.err = errRefused("body read")
		}
		return n, b.err
	}
	b.err = b.fail(err)
	return n, b.err
}

// begin takes the bytes of a piece and limits the time of its read.
func (b *body) begin(n int) error {
	c, now := b.conn, time.Now()
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if !g.admitBody(c) {
		b.refuse()
		return crank.Fail("body read", crank.KindUnavailable, "too many bodies in tiny chunks now")
	}
	c.body += n
	taken := !c.shed && (!c.listener.ChargeBodies || g.take(c, int64(growthFactor*n), now))
	c.body -= n
	if !taken {
		b.refuse()
		return errRefused("body read")
	}
	deadline := now.Add(c.listener.ProgressTimeout)
	if whole := b.begun.Add(c.listener.BodyTimeout); whole.Before(deadline) {
		deadline = whole
	}
	_ = c.Conn.SetReadDeadline(deadline)
	return nil
}

// refuse ends the reading of the body. Without the deadline net/http would read and parse
// up to 256 KiB more of it after the answer. Guard.mu is held.
func (b *body) refuse() {
	b.response.Header().Set("Connection", "close")
	_ = b.conn.Conn.SetReadDeadline(longAgo)
}

// end gives back what a read of a piece did not need.
func (b *body) end(asked, read int) {
	c := b.conn
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.body += read
	if read > 0 {
		c.progress = time.Now()
	}
	if c.listener.ChargeBodies && !c.shed {
		g.add(c, -int64(growthFactor*(asked-read)))
	}
}

// fail classifies the error of a read. A request whose body did not arrive in time has
// not run.
func (b *body) fail(err error) error {
	const op = "body read"
	c := b.conn
	g := c.guard()
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		return err
	}
	b.response.Header().Set("Connection", "close")
	g.mu.Lock()
	shed, late := c.shed, time.Since(b.begun) >= c.listener.BodyTimeout
	g.mu.Unlock()
	switch {
	case shed:
		return errRefused(op)
	case late:
		g.report.note(causeBodyTime)
		return crank.Fail(op, crank.KindUnavailable, "the body did not arrive within %s", c.listener.BodyTimeout)
	}
	g.report.note(causeProgress)
	return crank.Fail(op, crank.KindUnavailable, "no byte of the body arrived for %s", c.listener.ProgressTimeout)
}

// Reserve takes bytes of the budget for a request whose body is read, until it ends or
// Settle gives them back. An error of KindUnavailable means that there are none; the
// request must be refused then.
func Reserve(ctx context.Context, n int) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.take(c, int64(n), time.Now()) {
		return errRefused("request")
	}
	return nil
}

// Settle lowers what a request holds to n bytes.
func Settle(ctx context.Context, n int) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	g := c.guard()
	g.mu.Lock()
	defer g.mu.Unlock()
	if excess := c.charge - int64(n); excess > 0 {
		g.add(c, -excess)
	}
}
