package crankplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	crank "cranberrycrank"
)

// countingListener counts the bytes of all its connections, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newCountingServer starts a server that sends value as JSON, or status 304 to a
// conditional request.
func newCountingServer(b *testing.B, value any) (addr string, bytes *atomic.Int64) {
	bytes = &atomic.Int64{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") != "" {
			rw.WriteHeader(http.StatusNotModified)
			return
		}
		rw.Header().Set("Etag", "tag")
		_ = json.NewEncoder(rw).Encode(value)
	}))
	server.Listener = countingListener{server.Listener, bytes}
	server.Start()
	b.Cleanup(server.Close)
	return server.Listener.Addr().String(), bytes
}

// BenchmarkRenew measures one lease renewal by the number of parts at a worker.
func BenchmarkRenew(b *testing.B) {
	for _, parts := range []int{0, 5, 11, 22} {
		b.Run(fmt.Sprintf("parts=%d", parts), func(b *testing.B) {
			addr, bytes := newCountingServer(b, crank.Report{Epoch: "worker-0001-1893456000000000000", Revision: 1000})
			r := crank.Renewal{Lease: crank.TaskLease, Since: 1000, Epoch: "worker-0001-1893456000000000000", Wait: crank.RenewWait}
			for n := range parts {
				r.Attempts = append(r.Attempts, crank.AttemptID{Job: fmt.Sprintf("%024d", n), Number: 1})
			}
			w := NewDialer().Worker(addr)
			n := 0
			for b.Loop() {
				if _, err := w.Renew(context.Background(), r); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "wire-bytes/op")
		})
	}
}

// BenchmarkList measures a read of the whole instance list.
func BenchmarkList(b *testing.B) {
	for _, workers := range []int{50, 400, 1600} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var list []crank.Instance
			for n := range workers {
				list = append(list, crank.Instance{ID: fmt.Sprintf("worker-%04d", n), Role: crank.RoleWorker, Addr: "10.0.100.100:7500", Zone: "zone-1", Rack: "zone-1-rack-1", Epoch: "worker-0001-1893456000000000000"})
			}
			addr, bytes := newCountingServer(b, list)
			n := 0
			for b.Loop() {
				l := NewInstanceList(addr)
				if _, err := l.Instances(context.Background()); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load())/float64(n), "wire-bytes/op")
		})
	}
}

// BenchmarkListUnchanged measures a read of an unchanged instance list.
func BenchmarkListUnchanged(b *testing.B) {
	addr, bytes := newCountingServer(b, []crank.Instance{{ID: "worker"}})
	l := NewInstanceList(addr)
	n := 0
	for b.Loop() {
		if _, err := l.Instances(context.Background()); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "wire-bytes/op")
}
