package crankclient

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// closeConnection breaks the connection of a request that was read.
func closeConnection(rw http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(rw).Hijack(); err == nil {
		conn.Close()
	}
}

// A submission with a key whose connection broke was sent again by http.Transport, and the
// refused connection of that copy was told as a submission that never was sent.
func TestSubmissionWithoutAnswerIsNotCalledNotSent(t *testing.T) {
	for _, key := range []string{"", "key1"} {
		t.Run("key_"+key, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var submissions atomic.Int32
			server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodGet {
					_, _ = rw.Write([]byte("{}")) // the caller may have gone
					return
				}
				submissions.Add(1)
				listener.Close()
				closeConnection(rw)
			})}
			go func() { _ = server.Serve(listener) }() // ends with the listener
			defer server.Close()
			client := New(Config{Addrs: []string{listener.Addr().String()}})
			_, err = client.Job(t.Context(), "job1", 0) // leaves an idle connection
			is.NoErr(err)
			_, err = client.Submit(t.Context(), Submission{Profile: "p", IdempotencyKey: key, Payload: []byte("x")})
			is.Equal(submissions.Load(), int32(1))
			is.Equal(crank.KindOf(err), crank.KindUnknown)
		})
	}
}

// The server reads the key whatever the case of its header.
func TestSubmissionCarriesItsKey(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Values("Idempotency-Key"), []string{"key1"})
		_, _ = rw.Write([]byte(`{"job":"job1"}`)) // the caller may have gone
	}))
	defer server.Close()
	_, err := New(Config{Addrs: []string{server.URL}}).Submit(t.Context(), Submission{Profile: "p", IdempotencyKey: "key1"})
	is.NoErr(err)
}

// A submission without an answer is not sent to another instance, nor is one that another
// instance refuses afterwards told as not accepted.
func TestFailoverEndsWithASubmissionWithoutAnswer(t *testing.T) {
	is := is.New(t)
	var submissions atomic.Int32
	silent := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { closeConnection(rw) }))
	defer silent.Close()
	other := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		submissions.Add(1)
		rw.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer other.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	client := New(Config{Addrs: []string{closed.URL, silent.URL, strings.TrimPrefix(other.URL, "http://")}})
	_, err := client.Submit(t.Context(), Submission{Profile: "p", IdempotencyKey: "key1", Deadline: time.Now().Add(time.Minute)})
	is.Equal(crank.KindOf(err), crank.KindUnknown)
	is.Equal(submissions.Load(), int32(0))
}
