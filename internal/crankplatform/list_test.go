package crankplatform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// One odd entry must not hide the other instances of the list.
func TestOddEntryHidesNoOtherInstance(t *testing.T) {
	is := is.New(t)
	good := `{"id":"w1","role":"worker","addr":"192.0.2.1:8080","zone":"z1"}`
	odd := []string{
		`7`, `"w"`, `null`, `[]`, `{}`, `{"id":7,"role":"worker","addr":"192.0.2.1:8080"}`, `{"id":"","role":"worker","addr":"192.0.2.1:8080"}`, `{"id":"w2","role":"worker"}`,
		`{"id":"w2","role":"worker","addr":"192.0.2.1"}`, `{"id":"w2","role":"worker","addr":"192.0.2.1:70000"}`, `{"id":"w2","role":"worker","addr":"192.0.2.1:0"}`,
		`{"id":"w2","role":"worker","addr":"192.0.2.1:8080","capacity":7}`, `{"id":"w2","role":"worker","addr":"192.0.2.1:8080/path"}`,
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("[" + strings.Join(odd, ",") + "," + good + "]")) // the caller may have gone
	}))
	defer server.Close()
	instances, err := NewInstanceList(strings.TrimPrefix(server.URL, "http://")).Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(instances), 1)
	is.Equal(instances[0].ID, "w1")
}

// An empty answer of another program was taken for a list that has not changed.
func TestEmptyAnswerIsNoUnchangedList(t *testing.T) {
	is := is.New(t)
	status, body := http.StatusOK, `[{"id":"w1","role":"worker","addr":"192.0.2.1:8080"}]`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Etag", `"1"`)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body)) // the caller may have gone
	}))
	defer server.Close()
	list := NewInstanceList(strings.TrimPrefix(server.URL, "http://"))
	_, err := list.Instances(t.Context())
	is.NoErr(err)
	status, body = http.StatusNotModified, ""
	instances, err := list.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(instances), 1)
	status = http.StatusOK
	_, err = list.Instances(t.Context())
	is.True(err != nil)
}
