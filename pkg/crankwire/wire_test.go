package crankwire

import (
	"net/http"
	"net/http/httptest"
	"testing"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// post returns the error of a POST that is answered by a handler.
func post(t *testing.T, h http.HandlerFunc) error {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	return NewClient(ClientConfig{Addr: server.URL}).Call(t.Context(), "test", http.MethodPost, "/parts/start", struct{}{}, nil)
}

// A call that was redirected became a GET, whose answer was taken for that to the call.
func TestRedirectedCallIsNotCalledDone(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{http.StatusMovedPermanently, http.StatusFound, http.StatusSeeOther, http.StatusTemporaryRedirect} {
		err := post(t, func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/parts/start" {
				http.Redirect(rw, r, "/login", status)
				return
			}
			_, _ = rw.Write([]byte("{}")) // the caller may have gone
		})
		is.Equal(crank.KindOf(err), crank.KindUnknown)
		is.True(err != nil)
	}
}

// Status 304 answers only a request with a condition.
func TestNotModifiedDoesNotAnswerACall(t *testing.T) {
	is := is.New(t)
	is.True(post(t, func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusNotModified) }) != nil)
}

// The kind in the error of another program, or of a proxy, told what had become of a call.
func TestErrorOfAnotherProgramTellsNothing(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		status int
		body   string
	}{
		{http.StatusServiceUnavailable, "upstream connect error"},
		{http.StatusServiceUnavailable, ""},
		{http.StatusNotFound, `{"kind":"Status","apiVersion":"v1","code":404}`},
		{http.StatusNotFound, "404 page not found"},
		{http.StatusBadGateway, `{"kind":"unavailable","message":"no upstream"}`},
		{http.StatusInternalServerError, `{"kind":"not-found"}`},
		{http.StatusServiceUnavailable, `{"kind":"invalid"}`},
		{http.StatusTooManyRequests, `{"kind":7}`},
	} {
		err := post(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(c.status)
			_, _ = rw.Write([]byte(c.body)) // the caller may have gone
		})
		is.Equal(crank.KindOf(err), crank.KindUnknown)
	}
}

// The kinds of errors of this project pass over the wire.
func TestKindsPassOverTheWire(t *testing.T) {
	is := is.New(t)
	for kind, status := range statusCodes {
		err := post(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
			_, _ = rw.Write([]byte(`{"kind":"` + string(kind) + `","message":"m"}`)) // the caller may have gone
		})
		is.Equal(crank.KindOf(err), kind)
	}
	for _, status := range []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusRequestEntityTooLarge} {
		err := post(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
			_, _ = rw.Write([]byte(`{"kind":"invalid","message":"m"}`)) // the caller may have gone
		})
		is.Equal(crank.KindOf(err), crank.KindInvalid)
	}
}
