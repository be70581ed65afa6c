package crankentryproof

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	crank "cranberrycrank"
	crankadapter "cranberrycrank/platform"

	"github.com/matryer/is"
)

// A job whose ID does not fit into a record's key or a task's name can't run, so it must
// not be accepted, nor its cancellation stored.
func TestJobWithAnOddIDIsRefused(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		handler := crankadapter.NewJobHandler(c.running["a"].Requests, slog.New(slog.DiscardHandler))
		call := func(method, id string) int {
			body := `{"spec":"x","steps":[{"count":1,"cpu":100,"memory_limit_mb":10,"estimated_duration_ms":100}]}`
			r := httptest.NewRequestWithContext(t.Context(), method, "http://"+host+"/patient/"+url.PathEscape(id), strings.NewReader(body))
			r.Header.Set("X-Cranberrycrank-Key", guaranteedKey)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w.Code
		}
		for _, id := range []string{strings.Repeat("0", 300), strings.Repeat("0", 252), "5c0e7a21.94b36f8", "5c0e/94b36f8", "\xff\xfe", "\x00", "5c0e\n", " ", "\ufffd"} {
			is.Equal(call(http.MethodPost, id), http.StatusBadRequest)
			is.Equal(call(http.MethodDelete, id), http.StatusGone)
		}
		for _, r := range c.store.Newest(crank.JobTopic) {
			is.True(!strings.HasPrefix(r.Key, "job/") && !strings.HasPrefix(r.Key, "withdrawn/"))
		}
		c.update(func() {
			c.jobs["5c0e7a21d94b36f8"] = crank.StepJob{Payload: "x", Steps: []crank.Step{{Tasks: 1, Demand: crank.Demand{MilliCores: 100, MemoryMiB: 10}}}}
		})
		is.Equal(call(http.MethodPost, "5c0e7a21d94b36f8"), http.StatusOK)
	})
}
