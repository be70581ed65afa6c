// Package crankfakecrowd plays callers that misbehave: many connections that send request
// heads, empty lines or bodies in a way that makes a server keep as much as it can.
package crankfakecrowd

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Pattern is what each connection of a crowd sends.
type Pattern string

// Patterns.
const (
	EndlessHeads Pattern = "endless-heads" // header fields without end
	LargeHeads   Pattern = "large-heads"   // heads just over the published limit
	EmptyLines   Pattern = "empty-lines"   // empty lines without end before a request
	WholeBodies  Pattern = "whole-bodies"  // bodies of the largest legal size, complete
	OpenBodies   Pattern = "open-bodies"   // the same piece by piece, without the last byte
	LargeChunks  Pattern = "large-chunks"  // chunked bodies without the last byte
	SmallChunks  Pattern = "small-chunks"  // the same in chunks of one byte
)

// Patterns lists all patterns.
var Patterns = []Pattern{EndlessHeads, LargeHeads, EmptyLines, WholeBodies, OpenBodies, LargeChunks, SmallChunks}

// Config holds the settings of a crowd.
type Config struct {
	Addr        string // of the server
	Host        string // named in the requests
	Path        string
	Header      string // further fields, each with its end of line
	Pattern     Pattern
	Connections int
	HeadBytes   int // published limit of the header fields
	BodyBytes   int // published limit of the body
}

// Crowd is a number of connections that misbehave until their context ends. A connection
// that the server closes is replaced.
type Crowd struct {
	Config
	data    [variants][]byte // that connections send, once or again and again
	opened  atomic.Int64
	closed  atomic.Int64
	mu      sync.Mutex
	answers map[int]int // by status
}

// Pauses of a connection.
const (
	reopenDelay = 100 * time.Millisecond // after a connection that ended
	piecePause  = 10 * time.Millisecond  // between the pieces of what has no end
	dialTimeout = 2 * time.Second
)

// pieceBytes is the size of the pieces in which bodies and chunks are sent.
const pieceBytes = 32 << 10

// variants is the number of contents that the connections of a crowd send in turn.
const variants = 2

// New returns a crowd that has not started.
func New(c Config) *Crowd {
	crowd := &Crowd{Config: c, answers: make(map[int]int)}
	for n := range crowd.data {
		crowd.data[n] = crowd.content(n)
	}
	return crowd
}

// Run keeps the connections busy until ctx ends, then closes them.
func (c *Crowd) Run(ctx context.Context) {
	var all sync.WaitGroup
	for n := range c.Connections {
		all.Go(func() {
			for ctx.Err() == nil {
				c.connect(ctx, n)
				select {
				case <-ctx.Done():
				case <-time.After(reopenDelay):
				}
			}
		})
	}
	all.Wait()
}

// Counts are what a crowd met.
type Counts struct {
	Opened, Closed int64       // connections; Closed only those that the server ended
	Answers        map[int]int // by status
}

// Counts returns what the crowd has met so far.
func (c *Crowd) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := make(map[int]int, len(c.answers))
	for status, n := range c.answers {
		answers[status] = n
	}
	return Counts{Opened: c.opened.Load(), Closed: c.closed.Load(), Answers: answers}
}

// connect plays one connection to its end.
func (c *Crowd) connect(ctx context.Context, n int) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return
	}
	c.opened.Add(1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.readAnswers(conn)
	}()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	c.send(ctx, conn, n, ended)
	if c.Pattern != LargeHeads && c.Pattern != WholeBodies {
		<-ended // stays open until the server or ctx ends it
	}
	if ctx.Err() == nil {
		c.closed.Add(1)
	}
	stop()
	conn.Close()
	<-ended
}

// readAnswers counts the answers on a connection until it ends.
func (c *Crowd) readAnswers(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.answers[res.StatusCode]++
		c.mu.Unlock()
		buf := make([]byte, 1024)
		for err == nil {
			_, err = res.Body.Read(buf)
		}
		res.Body.Close()
	}
}

// send sends what the pattern has for one connection.
func (c *Crowd) send(ctx context.Context, conn net.Conn, n int, ended <-chan struct{}) {
	data := c.data[n%variants]
	switch c.Pattern {
	case EndlessHeads:
		if _, err := conn.Write([]byte(c.requestLine())); err == nil {
			c.repeat(ctx, conn, ended, data)
		}
	case OpenBodies, LargeChunks, SmallChunks:
		sendPieces(conn, data)
	default:
		c.repeat(ctx, conn, ended, data)
	}
}

// content returns what a variant of the pattern sends.
func (c *Crowd) content(variant int) []byte {
	short := variant == 0
	switch c.Pattern {
	case EndlessHeads:
		return fields(short, pieceBytes/2)
	case LargeHeads:
		return []byte(c.requestLine() + string(fields(short, c.HeadBytes+64)) + "\r\n")
	case WholeBodies:
		return append(c.head(c.BodyBytes), body(variant, c.BodyBytes)...)
	case OpenBodies:
		return append(c.head(c.BodyBytes), body(variant, c.BodyBytes)[:c.BodyBytes-1]...)
	case LargeChunks:
		return append(c.head(-1), chunks(body(variant, c.BodyBytes)[:c.BodyBytes-1], pieceBytes)...)
	case SmallChunks:
		return append(c.head(-1), chunks(body(variant, c.BodyBytes)[:c.BodyBytes-1], 1)...)
	}
	return emptyLines(pieceBytes / 2)
}

// repeat sends a piece again and again until the connection ends.
func (c *Crowd) repeat(ctx context.Context, conn net.Conn, ended <-chan struct{}, piece []byte) {
	for {
		if _, err := conn.Write(piece); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(piecePause):
		}
	}
}

func sendPieces(conn net.Conn, data []byte) {
	for len(data) > 0 {
		n := min(pieceBytes, len(data))
		if _, err := conn.Write(data[:n]); err != nil {
			return
		}
		data = data[n:]
	}
}
