// Package crankclient is a client of cranberrycrank's HTTP API. It fails over
// between entry instances.
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

// Config holds the addresses and credentials of a Client.
type Config struct {
	Addrs     []string // IP:port or base URL; the next is tried if one is unreachable
	APIKey    string   // of a workspace, or the operator key; may be empty
	Workspace string   // of an anonymous caller
}

// Client calls entry instances, or a load balancer in front of them. It is safe
// for concurrent use.
type Client struct {
	instances []*crankwire.Client
	current   atomic.Int32 // instance to call first, modulo their number
}

// New returns a client that starts with the first address.
func New(c Config) *Client {
	header := http.Header{}
	if c.APIKey != "" {
		header.Set("Authorization", "Bearer "+c.APIKey)
	}
	if c.Workspace != "" {
		header.Set(crankapi.HeaderWorkspace, c.Workspace)
	}
	client := &Client{}
	for _, addr := range c.Addrs {
		client.instances = append(client.instances, crankwire.NewClient(crankwire.ClientConfig{Addr: addr, Header: header}))
	}
	return client
}

// callWithFailover tries one instance after another while the call certainly had
// no effect. Reads are also repeated after errors of KindUnknown.
func (c *Client) callWithFailover(ctx context.Context, read bool, call func(*crankwire.Client) error) error {
	err := error(crank.Fail("call", crank.KindUnavailable, "no address is configured"))
	for range c.instances {
		i := c.current.Load()
		err = call(c.instances[int(i)%len(c.instances)])
		kind := crank.KindOf(err)
		if err == nil || ctx.Err() != nil || (kind != crank.KindUnavailable && !(read && kind == crank.KindUnknown)) {
			return err
		}
		c.current.CompareAndSwap(i, i+1)
	}
	return err
}

func (c *Client) callJSON(ctx context.Context, op, method, path string, in, out any) error {
	return c.callWithFailover(ctx, method == http.MethodGet, func(w *crankwire.Client) error {
		return w.Call(ctx, op, method, path, in, out)
	})
}

// Submission is a job to submit.
type Submission struct {
	Profile        string
	IdempotencyKey string
	ValidUntil     time.Time
	Deadline       time.Time
	Wait           time.Duration // for the outcome
	Payload        []byte
}

// maxJobBytes limits a response that describes a job.
const maxJobBytes = 1 << 20

// Submit submits a job. After an error of KindUnknown it is safe to repeat the
// submission with the same key.
func (c *Client) Submit(ctx context.Context, s Submission) (crankapi.Job, error) {
	header := http.Header{}
	if s.IdempotencyKey != "" {
		header.Set(crankapi.HeaderIdempotencyKey, s.IdempotencyKey)
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
	err := c.callWithFailover(ctx, false, func(w *crankwire.Client) (err error) {
		data, _, err = w.Do(ctx, "job submit", http.MethodPost, path, s.Payload, header, maxJobBytes)
		return err
	})
	if err != nil {
		return job, err
	}
	err = json.Unmarshal(data, &job)
	return job, crank.Wrap("job submit", crank.KindUnknown, err)
}

// Job returns a job. It waits up to wait for the outcome.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (crankapi.Job, error) {
	var job crankapi.Job
	err := c.callJSON(ctx, "job show", http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+wait.String(), nil, &job)
	return job, err
}

// Answer returns the answer of a job and verifies its digest.
func (c *Client) Answer(ctx context.Context, id string) ([]byte, error) {
	var data []byte
	var header http.Header
	err := c.callWithFailover(ctx, true, func(w *crankwire.Client) (err error) {
		data, header, err = w.Do(ctx, "job answer", http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/answer", nil, nil, crank.MaxAnswerBytes)
		return err
	})
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != header.Get(crankapi.HeaderDigest) {
		return nil, crank.Fail("job answer", crank.KindUnavailable, "the answer does not match its digest")
	}
	return data, nil
}

// Cancel cancels a job of the caller's workspace.
func (c *Client) Cancel(ctx context.Context, id string) (crankapi.Job, error) {
	var job crankapi.Job
	err := c.callJSON(ctx, "job cancel", http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}
