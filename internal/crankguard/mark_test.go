package crankguard

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// markedServer is a server whose handler tells when its requests were sent.
type markedServer struct {
	guard     *Guard
	listener  *Listener
	server    *http.Server
	sentAfter chan time.Time
}

func newMarkedServer(t *testing.T) *markedServer {
	t.Helper()
	s := &markedServer{sentAfter: make(chan time.Time, 1)}
	s.guard = New(Config{Settings: Settings{HeadBytes: 1 << 10, EmptyLines: 1, HeaderTimeout: time.Minute, IdleTimeout: time.Minute},
		Budget: Budget{RequestBytes: 1 << 20}, Logger: slog.New(slog.DiscardHandler), Scope: tally.NoopScope})
	c := ListenerConfig{Address: "127.0.0.1:0", Connections: 10, BodyTimeout: time.Minute, ProgressTimeout: time.Minute}
	s.server = s.guard.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { s.sentAfter <- SentAfter(r.Context()) }), c)
	l, err := s.guard.Listen(t.Context(), c)
	is.New(t).NoErr(err)
	s.listener = l
	t.Cleanup(func() { s.server.Close() })
	return s
}

func (s *markedServer) serve() { go func() { _ = s.server.Serve(s.listener) }() }

func (s *markedServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	return c
}

// call sends a request and returns what the handler says of it once it is answered.
func (s *markedServer) call(t *testing.T, c net.Conn) time.Time {
	t.Helper()
	is := is.New(t)
	_, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	is.NoErr(err)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(r.Body.Close())
	return <-s.sentAfter
}

// awaitMark waits until a mark that was asked for is placed.
func (s *markedServer) awaitMark(t *testing.T) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); s.listener.marksPlaced.Load() < s.listener.marksAsked.Load(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the mark was not placed")
		}
	}
}

// A connection that waited to be accepted while the instance was suspended must not count as
// opened after it woke.
func TestWaitingConnectionsAreOpenedBeforeTheMark(t *testing.T) {
	is := is.New(t)
	s := newMarkedServer(t)
	waiting := []net.Conn{s.dial(t), s.dial(t)}
	s.guard.Mark()
	s.serve()
	for _, c := range waiting {
		is.True(s.call(t, c).IsZero())
	}
	s.awaitMark(t)
	is.True(!s.call(t, s.dial(t)).IsZero())
}

func TestConnectionsAreOpenedAfterTheMark(t *testing.T) {
	is := is.New(t)
	s := newMarkedServer(t)
	s.serve()
	old := s.dial(t)
	is.True(s.call(t, old).IsZero())
	for range 3 {
		marked := time.Now()
		s.guard.Mark()
		s.awaitMark(t)
		is.True(!s.call(t, s.dial(t)).Before(marked))
	}
}

// A caller that has read an answer sends its next request later.
func TestNextRequestIsSentAfterTheAnswer(t *testing.T) {
	is := is.New(t)
	s := newMarkedServer(t)
	s.serve()
	c := s.dial(t)
	is.True(s.call(t, c).IsZero())
	answered := time.Now()
	second := s.call(t, c)
	is.True(!second.IsZero() && second.Before(answered))
	is.True(SentAfter(context.Background()).IsZero())
}
