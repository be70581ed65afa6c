package crankpeer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpeer/crankpeerpb"

	"github.com/twitchtv/twirp"
)

// Dialer returns clients of peers by address, one per peer.
type Dialer struct {
	key     string
	mu      sync.Mutex
	clients map[string]*Client // by address
}

// NewDialer returns a dialer whose clients authenticate with the peer key.
func NewDialer(key string) *Dialer {
	return &Dialer{key: key, clients: make(map[string]*Client)}
}

// Peer implements crank.PeerDialer.
func (d *Dialer) Peer(addr string) crank.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients[addr]
	if !ok {
		client := newHTTPClient(d.key)
		c = &Client{rpc: crankpeerpb.NewPeerProtobufClient("http://"+addr, client), http: client}
		d.clients[addr] = c
	}
	return c
}

// Limits of the connections to peers.
const (
	maxIdlePerPeer = 4                      // idle connections to one peer
	dialTimeout    = 500 * time.Millisecond // for a new connection
)

func newHTTPClient(key string) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &keyTransport{key: key, next: &http.Transport{MaxIdleConnsPerHost: maxIdlePerPeer, DialContext: dialer.DialContext}}}
}

// keyTransport adds the peer key to every call and checks the type of its answer.
type keyTransport struct {
	key  string
	next *http.Transport
}

// messageType is the content type of the answer to an RPC.
const messageType = "application/protobuf"

// RoundTrip implements http.RoundTripper. It fails for an answer of another program that
// has the peer's address: an empty body would pass for a message without fields.
func (t *keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var gotConnection atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) }}
	r = r.Clone(httptrace.WithClientTrace(r.Context(), trace))
	r.Header.Set("Authorization", "Bearer "+t.key)
	res, err := t.next.RoundTrip(r)
	if err != nil && !gotConnection.Load() {
		err = crank.NotSent{Cause: err}
	}
	if err != nil || res.StatusCode != http.StatusOK || res.Header.Get("Content-Type") == messageType {
		return res, err
	}
	res.Body.Close()
	return nil, crank.Fail("peer call", crank.KindUnknown, "the answer has the type %q", res.Header.Get("Content-Type"))
}

// CloseIdleConnections lets http.Client close the transport's idle connections.
func (t *keyTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// Client calls one peer.
type Client struct {
	rpc  crankpeerpb.Peer
	http *http.Client
}

// Status implements crank.Peer.
func (c *Client) Status(ctx context.Context) (crank.PeerStatus, error) {
	r, err := c.rpc.Status(ctx, &crankpeerpb.StatusRequest{})
	if err != nil {
		return crank.PeerStatus{}, c.callError("peer status", err)
	}
	return crank.PeerStatus{
		Instance:      r.Instance,
		Next:          crank.Offset(r.Next),
		ConfigVersion: int(r.ConfigVersion),
		Ready:         r.Ready,
		Draining:      r.Draining,
	}, nil
}

// Read implements crank.Log.
func (c *Client) Read(ctx context.Context, stream crank.Stream, from crank.Offset, limit int, wait time.Duration) (crank.LogBatch, error) {
	r, err := c.rpc.ReadLog(ctx, &crankpeerpb.ReadLogRequest{
		Stream: string(stream),
		From:   int64(from),
		Limit:  int32(limit),
		WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		failure := c.callError("peer read", err)
		failure.Kind = crank.KindUnavailable
		return crank.LogBatch{}, failure
	}
	batch := crank.LogBatch{First: crank.Offset(r.First), End: crank.Offset(r.End)}
	if r.Expired {
		return batch, crank.Fail("peer read", crank.KindExpired, "offset %d is no longer kept", from)
	}
	for _, e := range r.Entries {
		batch.Entries = append(batch.Entries, crank.LogEntry{Offset: crank.Offset(e.Offset), Data: e.Data})
	}
	return batch, nil
}

// Append implements crank.Log.
func (c *Client) Append(ctx context.Context, stream crank.Stream, data []byte) (crank.Offset, error) {
	r, err := c.rpc.AppendLog(ctx, &crankpeerpb.AppendLogRequest{Stream: string(stream), Data: data})
	if err != nil {
		return 0, c.callError("peer append", err)
	}
	return crank.Offset(r.Offset), nil
}

func (c *Client) callError(op string, err error) *crank.Error { return newCallError(op, c.http, err) }

// intermediaryMeta marks errors that Twirp made of an HTTP status without an RPC error. It
// calls 502, 503 and 504 unavailable, but they come from a proxy that may have passed the
// call on.
const intermediaryMeta = "http_error_from_intermediary"

// newCallError classifies the failure of a call. One that the peer itself rejected as
// unavailable, or whose connection was not established, had no effect:
// KindUnavailable. Any other is KindUnknown, and idle connections are closed because
// they may be dead.
func newCallError(op string, client *http.Client, err error) *crank.Error {
	var twirpErr twirp.Error
	var opErr *net.OpError
	kind := crank.KindUnknown
	refused := errors.As(err, &twirpErr) && twirpErr.Code() == twirp.Unavailable && twirpErr.Meta(intermediaryMeta) == ""
	if refused || (errors.As(err, &opErr) && opErr.Op == "dial") {
		kind = crank.KindUnavailable
	}
	if kind == crank.KindUnknown {
		client.CloseIdleConnections()
	}
	return &crank.Error{Op: op, Kind: kind, Cause: err}
}
