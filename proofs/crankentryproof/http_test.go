package crankentryproof

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	crankadapter "cranberrycrank/platform"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// serve runs an HTTP server until the test ends and returns its address.
func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestStoreOverHTTP(t *testing.T) {
	is := is.New(t)
	fake := crankfakestore.New()
	store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, crankfakeplatform.StoreHandler(fake)))
	ctx := t.Context()

	end, err := store.Append(ctx, crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: crank.AnyOffset, Records: []crank.KeyedRecord{{Key: "k1", Value: []byte("v1")}, {Key: "k2", Value: []byte("v2")}}})
	is.NoErr(err)
	is.Equal(end, crank.Offset(2))
	b, err := store.Read(ctx, crank.JobTopic, 0, time.Second)
	is.NoErr(err)
	is.Equal(len(b.Records), 2)
	is.Equal(b.Records[1], crank.KeyedRecord{Key: "k2", Value: []byte("v2"), Offset: 1})

	_, err = store.Append(ctx, crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: 1, Records: b.Records[:1]})
	is.Equal(crank.KindOf(err), crank.KindConflict)

	raiseEpoch := crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: crank.AnyOffset, Producer: "planner", Epoch: 2}
	_, err = store.Append(ctx, raiseEpoch)
	is.NoErr(err)
	raiseEpoch.Epoch = 1
	_, err = store.Append(ctx, raiseEpoch)
	is.Equal(crank.KindOf(err), crank.KindFenced)
	raiseEpoch.Epoch, raiseEpoch.Sequence = 2, 7
	_, err = store.Append(ctx, raiseEpoch)
	is.Equal(crank.KindOf(err), crank.KindUnavailable)

	fake.Compact()
	_, err = store.Read(ctx, crank.JobTopic, 0, 0)
	is.Equal(crank.KindOf(err), crank.KindExpired)
	for i := range 120 {
		fake.Put(crank.WorkerTopic, "w"+string(rune('a'+i%26))+string(rune('a'+i/26)), []byte("{}"))
	}
	newest, err := store.Newest(ctx, crank.WorkerTopic)
	is.NoErr(err)
	is.Equal(len(newest.Records), 120) // read over several pages
	is.Equal(newest.End, crank.Offset(120))
}

// The end of a topic must be told at any offset, also one that the store has dropped,
// and without the records before it.
func TestTopicEndOverHTTP(t *testing.T) {
	is := is.New(t)
	fake := crankfakestore.New()
	handler, longest := crankfakeplatform.StoreHandler(fake), 0
	store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		longest = max(longest, answer.Body.Len())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes()) // the caller may have gone
	})))
	for i, from := range []crank.Offset{0, 20, 40, 40} {
		for range 20 {
			fake.Put(crank.WorkerTopic, "w1", make([]byte, 300))
		}
		if i == 2 {
			fake.Compact()
		}
		end, err := store.End(t.Context(), crank.WorkerTopic, from)
		is.NoErr(err)
		is.Equal(end, crank.Offset(20*(i+1)))
	}
	is.True(longest < 2048)
	fake.SetFaults(func(string, string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} })
	_, err := store.End(t.Context(), crank.WorkerTopic, 0)
	is.True(err != nil)
}

// An append that the store refuses for good must not be taken for one whose outcome
// is unknown, which is repeated, nor a full store for one that may have appended.
func TestRefusedAppendIsNotTakenForUnknown(t *testing.T) {
	is := is.New(t)
	for status, kind := range map[int]crank.Kind{
		http.StatusRequestEntityTooLarge: crank.KindTooLarge,
		http.StatusBadRequest:            crank.KindInvalid,
		http.StatusForbidden:             crank.KindInvalid,
		http.StatusNotFound:              crank.KindInvalid,
		http.StatusUnprocessableEntity:   crank.KindInvalid,
		http.StatusInsufficientStorage:   crank.KindUnavailable,
		http.StatusRequestTimeout:        crank.KindUnknown,
		http.StatusConflict:              crank.KindUnknown, // without a reason
		http.StatusInternalServerError:   crank.KindUnknown,
		http.StatusBadGateway:            crank.KindUnknown,
		http.StatusGatewayTimeout:        crank.KindUnknown,
	} {
		store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })))
		_, err := store.Append(t.Context(), crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: crank.AnyOffset})
		is.Equal(crank.KindOf(err), kind)
	}
}

func TestUnavailableStoreHasAppendedNothing(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })))
		_, err := store.Append(t.Context(), crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: crank.AnyOffset})
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
	}
	hung := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := hung.Append(ctx, crank.StoreAppend{Topic: crank.JobTopic, ExpectedEnd: crank.AnyOffset})
	is.Equal(crank.KindOf(err), crank.KindUnknown) // the append may have been carried out
}

func TestWorkerOverHTTP(t *testing.T) {
	is := is.New(t)
	spec := crank.StepJob{ID: "job1", Payload: "p", Steps: []crank.Step{independentTasks(2, 10*time.Millisecond)}}
	fleet := crankfakefleet.New(crankfakefleet.Config{
		Bounds: leaseBounds, Specs: func(id string) (crank.StepJob, bool) { return spec, id == spec.ID },
		RunTime: func(crank.TaskID, string) time.Duration { return 10 * time.Millisecond },
	})
	e := fleet.Add(crank.WorkerEntry{ID: "w1", Pool: "desk", Zone: "z1", Labels: []string{"a", "r1"}, Capacity: crank.Demand{MilliCores: 8000, MemoryMiB: 20000, Accelerators: 4}})
	e.Addr = serve(t, crankfakeplatform.WorkerHandler{Entry: e, Dial: fleet})
	decoded, err := crankadapter.DecodeWorker(crank.KeyedRecord{Key: "w1", Value: crankfakeplatform.EncodeEntry(e)})
	is.NoErr(err)
	is.Equal(decoded.Rack, "r1")
	is.Equal(decoded.Capacity, e.Capacity)
	is.Equal(decoded.StartTimeMs, e.StartTimeMs)

	w := crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(decoded)
	ctx := t.Context()
	id := crank.TaskID{Job: "job1", Index: 1}
	reply, err := w.Start(ctx, crank.RunOrder{Task: id, Run: 3, Payload: "p", Fence: 5, DeadlineMs: 4000})
	is.NoErr(err)
	is.Equal(reply.Refusal, crank.RefusalNone)
	report, err := w.Renew(ctx, crank.RenewOrder{Fence: 5, Wait: time.Second})
	is.NoErr(err)
	is.Equal(len(report.Ended), 1)
	is.Equal(report.Ended[0], crank.EndedRun{Number: 1, Task: id, Run: 3, Kind: crank.EndDone})
	reply, err = w.Start(ctx, crank.RunOrder{Task: id, Run: 4, Payload: "p", Fence: 4, DeadlineMs: 4000})
	is.NoErr(err)
	is.Equal(reply.Refusal, crank.RefusalFence)
	_, err = w.Renew(ctx, crank.RenewOrder{Fence: 4})
	is.Equal(crank.KindOf(err), crank.KindFenced)
	decoded.ID = "another"
	_, err = crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(decoded).Renew(ctx, crank.RenewOrder{Fence: 5})
	is.Equal(crank.KindOf(err), crank.KindNotFound)
}

func TestMalformedWorkerEntryIsInvalid(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		``, `7`, `{`, `{}`, `{"service":"desk"}`, `{"service":7,"address":"a","zone":"z","state":"ready","capacity":{}}`,
		`{"service":"desk","address":"a","zone":"z","state":"resting","capacity":{}}`,
	} {
		_, err := crankadapter.DecodeWorker(crank.KeyedRecord{Key: "w1", Value: []byte(text)})
		is.Equal(crank.KindOf(err), crank.KindInvalid)
	}
}

// TestDecodersDoNotPanic feeds random bytes to the decoders.
func TestDecodersDoNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		key := rapid.SampledFrom([]string{"config", "evacuate/z1", "wave/1", ""}).Draw(t, "key")
		r := crank.KeyedRecord{Key: key, Value: value}
		_, workerErr := crankadapter.DecodeWorker(r)
		_, operatorErr := crankadapter.DecodeOperator(r)
		_, _ = workerErr, operatorErr // either an error or a value is fine
	})
}
