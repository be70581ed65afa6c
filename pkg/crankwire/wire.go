// Package crankwire maps error kinds to HTTP status codes and Problem bodies. Its
// Client makes the JSON calls of the project's HTTP clients and turns such
// responses back into errors.
package crankwire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	crank "cranberrycrank"
)

// Problem is the JSON body of every error response.
type Problem struct {
	Kind    crank.Kind `json:"kind"`
	Message string     `json:"message"`
}

var statusCodes = map[crank.Kind]int{
	crank.KindInvalid:     http.StatusUnprocessableEntity,
	crank.KindNotFound:    http.StatusNotFound,
	crank.KindConflict:    http.StatusConflict,
	crank.KindRefused:     http.StatusPreconditionFailed,
	crank.KindUnavailable: http.StatusServiceUnavailable,
	crank.KindExpired:     http.StatusGone,
	crank.KindLimited:     http.StatusTooManyRequests,
	crank.KindUnknown:     http.StatusGatewayTimeout,
}

// Status returns the HTTP status for a kind of error, 500 for a kind without one.
func Status(k crank.Kind) int {
	if status, ok := statusCodes[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// NewProblem returns the response body for an error.
func NewProblem(err error) Problem {
	var e *crank.Error
	if errors.As(err, &e) {
		return Problem{Kind: e.Kind, Message: e.Message()}
	}
	return Problem{Kind: crank.KindUnknown, Message: err.Error()}
}

// maxProblemBytes limits a decoded error response.
const maxProblemBytes = 16 << 10

// Client calls one address over HTTP.
type Client struct {
	base   string
	http   *http.Client
	header http.Header
}

// ClientConfig holds the address and the options of a Client.
type ClientConfig struct {
	Addr      string            // IP:port, or a base URL
	Transport http.RoundTripper // nil for one of its own
	Header    http.Header       // sent with every call
}

// NewClient returns a client, by default with its own connections, so that a
// failed call closes only idle connections to this address.
func NewClient(c ClientConfig) *Client {
	base := c.Addr
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 64}
	}
	return &Client{base: base, http: &http.Client{Transport: c.Transport, CheckRedirect: doNotFollow}, header: c.Header}
}

// doNotFollow makes a redirect the answer. Followed, a POST may become a GET, whose answer
// tells nothing of the call.
func doNotFollow(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call sends in as JSON and decodes the response into out; either may be nil. The
// error is of KindUnavailable if nothing was sent, of the kind in an error
// response, or of KindUnknown if the response is missing or incomplete.
func (c *Client) Call(ctx context.Context, op, method, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return crank.Wrap(op, crank.KindInvalid, err)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	data, _, err := c.Do(ctx, op, method, path, body, header, crank.MaxAnswerBytes*2)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return crank.Wrap(op, crank.KindUnknown, err)
	}
	return nil
}

// Do sends a body and returns the response's body, of at most limit bytes, and
// header. The body is nil for status 304 (not modified) only, which only a request with an
// entity tag may get.
func (c *Client) Do(ctx context.Context, op, method, path string, body []byte, header http.Header, limit int64) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, crank.Wrap(op, crank.KindInvalid, err)
	}
	copyHeader(req.Header, c.header)
	copyHeader(req.Header, header)
	hideKey(req.Header)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, c.transportError(op, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, c.transportError(op, err)
	}
	if int64(len(data)) > limit {
		return nil, nil, crank.Fail(op, crank.KindUnknown, "the answer is longer than %d bytes", limit)
	}
	notModified := resp.StatusCode == http.StatusNotModified && req.Header.Get("If-None-Match") != ""
	switch {
	case notModified:
		return nil, resp.Header, nil
	case resp.StatusCode >= http.StatusMultipleChoices:
		return data, resp.Header, decodeProblem(op, resp.StatusCode, data)
	}
	return data, resp.Header, nil
}

// transportError closes the idle connections, since they may be broken too. The
// kind is KindUnavailable if no connection was made, else KindUnknown.
func (c *Client) transportError(op string, err error) error {
	c.http.CloseIdleConnections()
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return crank.Wrap(op, crank.KindUnavailable, err)
	}
	return crank.Wrap(op, crank.KindUnknown, err)
}

func decodeProblem(op string, status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data[:min(len(data), maxProblemBytes)], &p); err == nil && p.matches(status) {
		return crank.Fail(op, p.Kind, "%s", p.Message)
	}
	return crank.Fail(op, crank.KindUnknown, "the answer has status %d: %.200s", status, data)
}

// matches reports whether a Problem comes with the status of its kind. Other programs send
// other JSON with a kind.
func (p Problem) matches(status int) bool {
	if want, ok := statusCodes[p.Kind]; ok && want == status {
		return true
	}
	return p.Kind == crank.KindInvalid && status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// hideKey keeps http.Transport, which looks for the header by this name, from repeating a
// request without an answer: only what became of the last copy would be known. Servers
// read the header whatever its case.
func hideKey(header http.Header) {
	const name = "Idempotency-Key"
	if values, ok := header[name]; ok {
		delete(header, name)
		header[strings.ToLower(name)] = values
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
