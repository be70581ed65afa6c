// Package crankwire maps the project's errors to HTTP status codes and back,
// and makes the JSON calls of all HTTP clients in the project.
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

// Problem is the body of every answer that reports an error.
type Problem struct {
	Kind    crank.Kind `json:"kind"`
	Message string     `json:"message"`
}

var statuses = map[crank.Kind]int{
	crank.KindInvalid:     http.StatusUnprocessableEntity,
	crank.KindNotFound:    http.StatusNotFound,
	crank.KindConflict:    http.StatusConflict,
	crank.KindRefused:     http.StatusPreconditionFailed,
	crank.KindUnavailable: http.StatusServiceUnavailable,
	crank.KindExpired:     http.StatusGone,
	crank.KindLimited:     http.StatusTooManyRequests,
	crank.KindUnknown:     http.StatusGatewayTimeout,
}

// Status returns the HTTP status for a kind of error.
func Status(k crank.Kind) int {
	if status, ok := statuses[k]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// NewProblem returns the body for an error.
func NewProblem(err error) Problem {
	var e *crank.Error
	if errors.As(err, &e) {
		return Problem{Kind: e.Kind, Message: e.Message()}
	}
	return Problem{Kind: crank.KindUnknown, Message: err.Error()}
}

// maxProblemBytes bounds the body of an answer that reports an error.
const maxProblemBytes = 16 << 10

// Client makes JSON calls to one address.
type Client struct {
	base   string
	http   *http.Client
	header http.Header
}

// ClientConfig sets up a Client.
type ClientConfig struct {
	Addr      string // IP:port, or a base URL
	Transport http.RoundTripper
	Header    http.Header // sent with every call
}

// NewClient returns a client with idle connections of its own, so that they
// can be closed when one of them goes silent.
func NewClient(c ClientConfig) *Client {
	base := c.Addr
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 4, MaxConnsPerHost: 64}
	}
	return &Client{base: base, http: &http.Client{Transport: c.Transport}, header: c.Header}
}

// Call sends in as JSON and reads the answer into out, either of which may be
// nil. The error is of KindUnavailable when nothing was sent, of the kind that
// the other side names, or of KindUnknown when the answer is missing or cut.
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

// Do sends a body and returns the whole body of the answer and its header. The
// body is empty when the other side says that it has not changed.
func (c *Client) Do(ctx context.Context, op, method, path string, body []byte, header http.Header, limit int64) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, crank.Wrap(op, crank.KindInvalid, err)
	}
	addHeader(req.Header, c.header)
	addHeader(req.Header, header)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, c.failed(op, err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, c.failed(op, err)
	}
	if int64(len(data)) > limit {
		return nil, nil, crank.Fail(op, crank.KindUnknown, "the answer is longer than %d bytes", limit)
	}
	if resp.StatusCode >= http.StatusMultipleChoices && resp.StatusCode != http.StatusNotModified {
		return data, resp.Header, problem(op, resp.StatusCode, data)
	}
	return data, resp.Header, nil
}

// failed closes the idle connections, since others may be as dead as the one
// that failed, and tells a call that was never sent from one that may have been.
func (c *Client) failed(op string, err error) error {
	c.http.CloseIdleConnections()
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return crank.Wrap(op, crank.KindUnavailable, err)
	}
	return crank.Wrap(op, crank.KindUnknown, err)
}

func problem(op string, status int, data []byte) error {
	var p Problem
	if err := json.Unmarshal(data[:min(len(data), maxProblemBytes)], &p); err == nil && p.Kind != "" {
		return crank.Fail(op, p.Kind, "%s", p.Message)
	}
	return crank.Fail(op, crank.KindUnknown, "the answer has status %d", status)
}

func addHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
