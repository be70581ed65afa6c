package crankpeer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpeer/crankpeerpb"
)

// maxAwait limits how long a call of AwaitEnd waits at the leader.
const maxAwait = 2 * time.Second

// NewLeaderHandler returns the HTTP handler of the Leader service. Calls must carry the
// key.
func NewLeaderHandler(leader crank.Leader, key string) http.Handler {
	return requireKey(key, crankpeerpb.NewLeaderServer(&leaderServer{leader}))
}

// LeaderPathPrefix is the path prefix of all methods of the Leader service.
const LeaderPathPrefix = crankpeerpb.LeaderPathPrefix

type leaderServer struct{ leader crank.Leader }

// Submit implements crankpeerpb.Leader.
func (s *leaderServer) Submit(ctx context.Context, r *crankpeerpb.SubmitRequest) (*crankpeerpb.LeaderReply, error) {
	var job crank.StepJob
	if err := json.Unmarshal(r.Job, &job); err != nil {
		return leaderReply("", crank.Wrap("leader submit", crank.KindInvalid, err)), nil
	}
	if err := job.Validate(); err != nil {
		return leaderReply("", err), nil
	}
	return leaderReply("", s.leader.Submit(ctx, job)), nil
}

// AwaitEnd implements crankpeerpb.Leader.
func (s *leaderServer) AwaitEnd(ctx context.Context, r *crankpeerpb.AwaitEndRequest) (*crankpeerpb.LeaderReply, error) {
	phase, err := s.leader.AwaitEnd(ctx, r.Job, min(time.Duration(r.WaitMs)*time.Millisecond, maxAwait))
	return leaderReply(phase, err), nil
}

func leaderReply(phase crank.Phase, err error) *crankpeerpb.LeaderReply {
	if err == nil {
		return &crankpeerpb.LeaderReply{Phase: string(phase)}
	}
	return &crankpeerpb.LeaderReply{ErrorKind: string(crank.KindOf(err)), ErrorMessage: strings.ToValidUTF8(err.Error(), "?")}
}

// LeaderDialer returns clients of the Leader service of other instances, one per
// instance.
type LeaderDialer struct {
	mu      sync.Mutex
	clients map[string]*leaderClient // by address
}

// NewLeaderDialer returns a dialer without clients.
func NewLeaderDialer() *LeaderDialer { return &LeaderDialer{clients: make(map[string]*leaderClient)} }

// Leader implements crank.LeaderDialer.
func (d *LeaderDialer) Leader(addr, key string) crank.Leader {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil || c.key != key {
		client := newHTTPClient(key)
		c = &leaderClient{rpc: crankpeerpb.NewLeaderProtobufClient("http://"+addr, client), http: client, key: key}
		d.clients[addr] = c
	}
	return c
}

// leaderClient is the crank.Leader at one instance.
type leaderClient struct {
	rpc  crankpeerpb.Leader
	http *http.Client
	key  string
}

// Submit implements crank.Leader.
func (c *leaderClient) Submit(ctx context.Context, job crank.StepJob) error {
	const op = "peer submit"
	data, err := json.Marshal(job)
	if err != nil {
		return crank.Wrap(op, crank.KindInvalid, err)
	}
	if err := ctx.Err(); err != nil {
		return newCallError(op, c.http, crank.NotSent{Cause: err})
	}
	r, err := c.rpc.Submit(ctx, &crankpeerpb.SubmitRequest{Job: data})
	if err != nil {
		return newCallError(op, c.http, err)
	}
	return leaderError(op, r)
}

// AwaitEnd implements crank.Leader.
func (c *leaderClient) AwaitEnd(ctx context.Context, job string, wait time.Duration) (crank.Phase, error) {
	const op = "peer await"
	r, err := c.rpc.AwaitEnd(ctx, &crankpeerpb.AwaitEndRequest{Job: job, WaitMs: wait.Milliseconds()})
	if err != nil {
		return "", newCallError(op, c.http, err)
	}
	return crank.Phase(r.Phase), leaderError(op, r)
}

func leaderError(op string, r *crankpeerpb.LeaderReply) error {
	if r.ErrorKind == "" {
		return nil
	}
	return crank.Fail(op, crank.Kind(r.ErrorKind), "%s", r.ErrorMessage)
}
