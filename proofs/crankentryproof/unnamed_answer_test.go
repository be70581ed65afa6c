package crankentryproof

import (
	"net/http"
	"testing"

	crank "cranberrycrank"
	crankadapter "cranberrycrank/platform"

	"github.com/matryer/is"
)

// An answer without a start time, which anything that listens at the address may give,
// counted as a complete report of the incarnation without any run.
func TestAnswerWithoutAStartTimeIsNoReport(t *testing.T) {
	is := is.New(t)
	for _, answer := range []string{`{}`, `null`, `{"status":"ok"}`, `{"clock_ms":7,"active":[],"finished":[]}`, `{"clock_ms":7,"born":0,"active":[],"finished":[]}`} {
		addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(answer)) // the caller may have gone
		}))
		w := crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(crank.WorkerEntry{ID: "w1", StartTimeMs: 5, Addr: addr})
		_, err := w.Renew(t.Context(), crank.RenewOrder{Fence: 1})
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnknown)
	}
}

// An answer without the worker's clock counted as one at time 0, which made any report
// conclusive about a run.
func TestAnswerWithoutAClockIsUnknown(t *testing.T) {
	is := is.New(t)
	for _, v := range []struct {
		status int
		answer string
	}{
		{http.StatusOK, `{"born":5,"active":[],"finished":[]}`},
		{http.StatusOK, `{}`},
		{http.StatusConflict, `{"reason":"old"}`},
	} {
		addr := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(v.status)
			_, _ = w.Write([]byte(v.answer)) // the caller may have gone
		}))
		w := crankadapter.NewWorkerDialer(crankadapter.NewClient()).LeasedWorker(crank.WorkerEntry{ID: "w1", Addr: addr})
		_, renewErr := w.Renew(t.Context(), crank.RenewOrder{Fence: 1})
		_, stopErr := w.Stop(t.Context(), crank.StopOrder{Task: crank.TaskID{Job: "j"}, Run: 1, Fence: 1})
		_, startErr := w.Start(t.Context(), crank.RunOrder{Task: crank.TaskID{Job: "j"}, Run: 1, Fence: 1, DeadlineMs: 9})
		for _, err := range []error{renewErr, stopErr, startErr} {
			is.True(err != nil)
			is.Equal(crank.KindOf(err), crank.KindUnknown)
		}
	}
}
