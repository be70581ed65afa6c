package crankentryproof

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"
	crankadapter "cranberrycrank/platform"
)

// FuzzWorkerEntry checks that an entry names a worker that can be called, or none, and
// that it leaves the worker of another key alone.
func FuzzWorkerEntry(f *testing.F) {
	f.Add("w2", entryWith("", ""))
	for _, r := range oddEntries() {
		if len(r.Value) < 4096 {
			f.Add(r.Key, r.Value)
		}
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	good := crank.KeyedRecord{Key: "w1", Value: entryWith("", "")}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r := crank.KeyedRecord{Key: key, Value: value}
		if e, err := crankadapter.DecodeWorker(r); err == nil {
			if addr, err := netip.ParseAddrPort(e.Addr); err != nil || addr.Port() == 0 {
				t.Fatalf("address %q", e.Addr)
			}
			if e.ID != key || e.Pool == "" || e.Zone == "" || e.StartTimeMs < 0 || !e.Capacity.Covers(crank.Demand{}) || strings.ContainsAny(e.ID, "\x00\r\n") {
				t.Fatalf("entry %+v", e)
			}
		} else if crank.KindOf(err) != crank.KindInvalid {
			t.Fatal(err)
		}
		list := crankfleet.NewList(crankfleet.ListConfig{Decode: crankadapter.DecodeWorker, Logger: logger})
		list.Reset([]crank.KeyedRecord{good, r})
		list.Apply([]crank.KeyedRecord{r})
		if _, listed := list.Entries()["w1"]; key != "w1" && !listed {
			t.Fatal("the other worker is gone")
		}
	})
}

// FuzzOperatorRecord checks that a record of the operator topic is decoded or invalid.
func FuzzOperatorRecord(f *testing.F) {
	f.Add("config", []byte(`{"version":3,"routes":[{"name":"a","advisor":{}}],"tenants":[{"name":"t","guaranteed_gpus":{"gpu":4}}],"limits":{}}`))
	f.Add("config", []byte(`{"version":1e400}`))
	f.Add("evacuate/z1", []byte("{"))
	f.Add("evacuate/", []byte("{}"))
	f.Add("wave/1", []byte(`{"wave":"1"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		r, err := crankadapter.DecodeOperator(crank.KeyedRecord{Key: key, Value: value})
		if err != nil && (crank.KindOf(err) != crank.KindInvalid || r.Config != nil) {
			t.Fatalf("record %+v, error %v", r, err)
		}
	})
}

// cannedAnswer answers all requests with one body.
type cannedAnswer struct{ body []byte }

// ServeHTTP implements http.Handler.
func (a *cannedAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write(a.body) // the caller may have gone
}

// FuzzAnswer checks that any answer of a store or a worker gives a result or an error.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"items":[{"key":"w1","value":"e30=","offset":0},7],"has_more":true,"end_offset":10}`))
	f.Add(readAnswer(2, "\x02w1{}", "\xff"))
	f.Add([]byte(`{"clock_ms":7,"born":5,"active":[["job1.0.1.2",3,"c",41,0],7],"finished":[[1,"job1.0.1.2",3,"done","c"],[2]]}`))
	f.Add([]byte(`{"clock_ms":7,"reason":"fence"}`))
	answer := &cannedAnswer{}
	server := httptest.NewServer(answer)
	f.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	store := crankadapter.NewStore(crankadapter.NewClient(), addr)
	worker := crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(crank.WorkerEntry{ID: "w1", Addr: addr})
	f.Fuzz(func(t *testing.T, body []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		answer.body = body
		batch, err := store.Read(ctx, crank.WorkerTopic, 5, 0)
		for i, r := range batch.Records {
			if err == nil && r.Offset != crank.Offset(5+i) {
				t.Fatalf("record %d has offset %d", i, r.Offset)
			}
		}
		_, _ = store.Newest(ctx, crank.WorkerTopic) // a batch or an error
		if ctx.Err() != nil {
			t.Fatal("an answer was read for ever")
		}
		report, err := worker.Renew(ctx, crank.RenewOrder{Fence: 1})
		if err != nil {
			return
		}
		for _, a := range report.Active {
			if a.Run <= 0 || a.Task.Job == "" {
				t.Fatalf("run %+v", a)
			}
		}
		for _, e := range report.Ended {
			if e.Number <= 0 || e.Run < 0 {
				t.Fatalf("end %+v", e)
			}
		}
	})
}
