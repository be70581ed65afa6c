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
