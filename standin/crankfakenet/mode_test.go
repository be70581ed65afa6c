package crankfakenet

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newClient returns a client without connections.
func newClient() *http.Client {
	return &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{}}
}

// call returns the error of a call, and whether it had a connection.
func call(t *testing.T, l *Listener, c *http.Client) (err error, connected bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr(), nil)
	if err != nil {
		t.Fatal(err)
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	res, err := c.Do(req.WithContext(httptrace.WithClientTrace(t.Context(), trace)))
	if err == nil {
		res.Body.Close()
	}
	return err, connected
}

func TestClientsSeeTheMode(t *testing.T) {
	for _, c := range []struct {
		mode             Mode
		connected, known bool // whether a client with connections is connected and is answered
		isError          func(err error) bool
	}{
		{ModeSilent, true, false, os.IsTimeout},
		{ModeOneWay, true, false, os.IsTimeout},
		{ModeReset, true, false, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) }},
		{ModeRefuse, false, false, func(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }},
		{ModeLate, true, false, os.IsTimeout},
		{ModeNoAccept, true, true, os.IsTimeout},
		{ModeFullQueue, false, true, os.IsTimeout},
	} {
		t.Run(string(c.mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, known := listen(t)
			is.True(answers(l, known)) // a connection is open
			is.NoErr(l.SetMode(c.mode))
			is.Equal(answers(l, known), c.known) // on that connection
			err, connected := call(t, l, newClient())
			is.True(err != nil)
			is.True(c.isError(err))
			if c.mode != ModeReset { // which may come before the connection is used
				is.Equal(connected, c.connected)
			}
			is.NoErr(l.SetMode(ModePass))
			is.True(answers(l, newClient()))
		})
	}
}

func TestLateAnswersArrive(t *testing.T) {
	is := is.New(t)
	l, c := listen(t)
	arrived := make(chan bool, 1)
	l.SetHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- true }))
	is.NoErr(l.SetMode(ModeLate))
	c.Timeout = 0
	answered := make(chan error, 1)
	go func() {
		err, _ := call(t, l, c)
		answered <- err
	}()
	<-arrived
	select {
	case err := <-answered:
		t.Fatalf("an answer in the mode, error %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	is.NoErr(l.SetMode(ModePass))
	is.NoErr(<-answered)
}

func TestModesFollowEachOther(t *testing.T) {
	modes := []Mode{ModeSilent, ModeOneWay, ModeReset, ModeRefuse, ModeLate, ModeNoAccept, ModeFullQueue}
	for _, first := range modes {
		t.Run(string(first), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, _ := listen(t)
			for _, second := range modes {
				is.NoErr(l.SetMode(first))
				is.NoErr(l.SetMode(second))
				c := newClient()
				c.Timeout = 30 * time.Millisecond
				is.True(!answers(l, c))
				is.NoErr(l.SetMode(ModePass))
				if !answers(l, newClient()) {
					t.Errorf("no answer after %s", second)
				}
			}
		})
	}
}

func TestClosedListenerStaysClosed(t *testing.T) {
	is := is.New(t)
	l, _ := listen(t)
	is.NoErr(l.Close())
	is.NoErr(l.SetMode(ModeSilent))
	is.NoErr(l.SetMode(ModePass))
	is.True(!answers(l, newClient()))
}
