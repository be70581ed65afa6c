// Package crankclient calls the HTTP API of cranberrycrank.
package crankclient

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankwire"
)

// Config sets up a Client.
type Config struct {
	Addrs     []string // IP:port, or a base URL; the next is asked when one is out of reach
	Key       string   // of a workspace or of an operator, may be empty
	Workspace string   // of a caller without a key
}

// Client calls entry instances, or a balancer in front of them.
type Client struct {
	wires []*crankwire.Client
	next  atomic.Int32 // index of the instance that answered last
}

// New returns a client.
func New(c Config) *Client {
	header := http.Header{}
	if c.Key != "" {
		header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Workspace != "" {
		header.Set(crankapi.HeaderWorkspace, c.Workspace)
	}
	client := &Client{}
	for _, addr := range c.Addrs {
		client.wires = append(client.wires, crankwire.NewClient(crankwire.ClientConfig{Addr: addr, Header: header}))
	}
	return client
}

// try makes a call at one instance after another while it certainly had no
// effect. A read is also repeated after any other failure of the connection.
func (c *Client) try(ctx context.Context, read bool, call func(*crankwire.Client) error) error {
	err := error(crank.Fail("call", crank.KindUnavailable, "no address is given"))
	for range c.wires {
		i := c.next.Load()
		err = call(c.wires[int(i)%len(c.wires)])
		kind := crank.KindOf(err)
		if err == nil || ctx.Err() != nil || (kind != crank.KindUnavailable && !(read && kind == crank.KindUnknown)) {
			return err
		}
		c.next.CompareAndSwap(i, i+1)
	}
	return err
}

// call makes a JSON call.
func (c *Client) call(ctx context.Context, op, method, path string, in, out any) error {
	return c.try(ctx, method == http.MethodGet, func(w *crankwire.Client) error {
		return w.Call(ctx, op, method, path, in, out)
	})
}

// Submission is a job to submit.
type Submission struct {
	Profile    string
	Key        string // idempotency key
	ValidUntil time.Time
	Deadline   time.Time
	Wait       time.Duration // for the outcome
	Payload    []byte
}

// maxJobBytes bounds the description of a job.
const maxJobBytes = 1 << 20

// Submit submits a job. After an error of KindUnknown the same submission can
// be sent again under the same key.
func (c *Client) Submit(ctx context.Context, s Submission) (crankapi.Job, error) {
	header := http.Header{}
	if s.Key != "" {
		header.Set(crankapi.HeaderKey, s.Key)
	}
	if !s.ValidUntil.IsZero() {
		header.Set(crankapi.HeaderValidUntil, s.ValidUntil.UTC().Format(time.RFC3339))
	}
	if !s.Deadline.IsZero() {
		header.Set(crankapi.HeaderDeadline, s.Deadline.UTC().Format(time.RFC3339))
	}
	path := "/v1/jobs?profile=" + url.QueryEscape(s.Profile) + "&wait=" + s.Wait.String()
	var job crankapi.Job
	var data []byte
	err := c.try(ctx, false, func(w *crankwire.Client) (err error) {
		data, _, err = w.Do(ctx, "job submit", http.MethodPost, path, s.Payload, header, maxJobBytes)
		return err
	})
	if err != nil {
		return job, err
	}
	err = json.Unmarshal(data, &job)
	return job, crank.Wrap("job submit", crank.KindUnknown, err)
}

// Job returns a job, after a wait for its outcome.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (crankapi.Job, error) {
	var job crankapi.Job
	err := c.call(ctx, "job show", http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+wait.String(), nil, &job)
	return job, err
}

// Answer returns the answer of a job that is done. Its digest was checked.
func (c *Client) Answer(ctx context.Context, id string) ([]byte, error) {
	var data []byte
	var header http.Header
	err := c.try(ctx, true, func(w *crankwire.Client) (err error) {
		data, header, err = w.Do(ctx, "job answer", http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/answer", nil, nil, crank.MaxAnswerBytes)
		return err
	})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != header.Get(crankapi.HeaderDigest) {
		return nil, crank.Fail("job answer", crank.KindUnavailable, "the answer is damaged")
	}
	return data, nil
}

// Cancel ends a job of the caller's workspace.
func (c *Client) Cancel(ctx context.Context, id string) (crankapi.Job, error) {
	var job crankapi.Job
	err := c.call(ctx, "job cancel", http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}
