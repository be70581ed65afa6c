package crankfakenet

import (
	"net/http"
	"net/http/httputil"
	"net/url"
)

// NewProxy returns a handler that passes requests on to an address. The caller's
// connection is closed if there is no complete answer.
func NewProxy(addr string) http.Handler {
	to := &url.URL{Scheme: "http", Host: addr}
	return &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(to)
			r.Out.Host = r.In.Host
		},
		Transport:    &http.Transport{MaxIdleConnsPerHost: idleConns},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) },
	}
}

const idleConns = 16
