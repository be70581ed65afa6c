// Package crankpeer implements the calls between entry instances as Twirp RPCs.
//
// Peer reports an instance's status and relays the platform's log, StoreRelay the
// platform's store, for instances that can't reach them directly. Every call carries
// the peer key.
package crankpeer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpeer/crankpeerpb"

	"github.com/twitchtv/twirp"
)

// ServerConfig holds the settings and dependencies of the handler of the peer service.
type ServerConfig struct {
	Log    crank.Log               // the platform's own log, not a relay
	Status func() crank.PeerStatus // of this instance
	Key    string                  // shared by all instances
}

// PathPrefix is the path prefix of all methods of the peer service.
const PathPrefix = crankpeerpb.PeerPathPrefix

// NewHandler returns the HTTP handler of the peer service.
func NewHandler(c ServerConfig) http.Handler {
	return requireKey(c.Key, crankpeerpb.NewPeerServer(&server{c}))
}

// requireKey rejects calls that don't carry the key.
func requireKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		want := "Bearer " + key
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(want)) != 1 {
			_ = twirp.WriteError(rw, twirp.Unauthenticated.Error("the peer key is wrong"))
			return
		}
		next.ServeHTTP(rw, r)
	})
}

type server struct{ ServerConfig }

// Status implements crankpeerpb.Peer.
func (s *server) Status(context.Context, *crankpeerpb.StatusRequest) (*crankpeerpb.StatusReply, error) {
	status := s.ServerConfig.Status()
	return &crankpeerpb.StatusReply{
		Instance:      status.Instance,
		Next:          int64(status.Next),
		ConfigVersion: int64(status.ConfigVersion),
		Ready:         status.Ready,
		Draining:      status.Draining,
	}, nil
}

// ReadLog implements crankpeerpb.Peer.
func (s *server) ReadLog(ctx context.Context, r *crankpeerpb.ReadLogRequest) (*crankpeerpb.ReadLogReply, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, crank.LogReadWait)
	batch, err := s.Log.Read(ctx, crank.Stream(r.Stream), crank.Offset(r.From), int(r.Limit), wait)
	reply := &crankpeerpb.ReadLogReply{First: int64(batch.First), End: int64(batch.End)}
	if err != nil && crank.KindOf(err) == crank.KindExpired {
		reply.Expired = true
		return reply, nil
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	for _, e := range batch.Entries {
		reply.Entries = append(reply.Entries, &crankpeerpb.Entry{Offset: int64(e.Offset), Data: e.Data})
	}
	return reply, nil
}

// AppendLog implements crankpeerpb.Peer.
func (s *server) AppendLog(ctx context.Context, r *crankpeerpb.AppendLogRequest) (*crankpeerpb.AppendLogReply, error) {
	offset, err := s.Log.Append(ctx, crank.Stream(r.Stream), r.Data)
	if err != nil {
		return nil, toTwirp(err)
	}
	return &crankpeerpb.AppendLogReply{Offset: int64(offset)}, nil
}

// toTwirp maps an error to a Twirp code. The client only distinguishes KindUnavailable
// (no effect) from the rest.
func toTwirp(err error) error {
	if crank.KindOf(err) == crank.KindUnavailable {
		return twirp.Unavailable.Error(err.Error())
	}
	return twirp.DeadlineExceeded.Error(err.Error())
}
