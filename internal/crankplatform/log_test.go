package crankplatform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// answer serves one body to all requests and returns the address.
func answer(t *testing.T, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		_, _ = rw.Write([]byte(body)) // the caller may have gone
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// An answer that does not show the bounds of the stream was taken for an empty one: the
// state as applied so far, also none, counted as current.
func TestAnswerWithoutBoundsIsNoEmptyStream(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"{}", "null", `{"status":"ok"}`, `{"first":0}`, `{"end":0}`, `{"first":2,"end":1}`, `{"first":-1,"end":1}`} {
		_, err := NewLog(answer(t, body)).Read(t.Context(), crank.EventStream, 0, 1, 0)
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
	}
	batch, err := NewLog(answer(t, `{"first":0,"end":0,"entries":null}`)).Read(t.Context(), crank.EventStream, 0, 1, 0)
	is.NoErr(err)
	is.Equal(batch, crank.LogBatch{})
}

// An answer that does not show the offset may be another program's.
func TestAnswerWithoutOffsetIsNotCalledAppended(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"{}", "null", `{"status":"ok"}`} {
		_, err := NewLog(answer(t, body)).Append(t.Context(), crank.SnapshotStream, []byte("x"))
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnknown)
	}
}
