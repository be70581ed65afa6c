package crankpeer

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpeer/crankpeerpb"
)

// maxRelayedWait limits how long a relayed read waits for new records.
const maxRelayedWait = 2 * time.Second

// NewStoreHandler returns the HTTP handler of the StoreRelay service. Calls must carry
// the key.
func NewStoreHandler(store crank.Store, key string) http.Handler {
	return requireKey(key, crankpeerpb.NewStoreRelayServer(&storeServer{store}))
}

type storeServer struct{ store crank.Store }

// Append implements crankpeerpb.StoreRelay.
func (s *storeServer) Append(ctx context.Context, r *crankpeerpb.StoreAppendRequest) (*crankpeerpb.StoreReply, error) {
	end, err := s.store.Append(ctx, crank.StoreAppend{
		Topic: crank.Topic(r.Topic), Records: fromRecords(r.Records), ExpectedEnd: crank.Offset(r.At), Producer: r.Producer, Epoch: r.Epoch, Sequence: r.Sequence,
	})
	return storeReply(crank.KeyedBatch{End: end}, err), nil
}

// Read implements crankpeerpb.StoreRelay.
func (s *storeServer) Read(ctx context.Context, r *crankpeerpb.StoreReadRequest) (*crankpeerpb.StoreReply, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxRelayedWait)
	return storeReply(s.store.Read(ctx, crank.Topic(r.Topic), crank.Offset(r.From), wait)), nil
}

// Newest implements crankpeerpb.StoreRelay.
func (s *storeServer) Newest(ctx context.Context, r *crankpeerpb.StoreNewestRequest) (*crankpeerpb.StoreReply, error) {
	return storeReply(s.store.Newest(ctx, crank.Topic(r.Topic))), nil
}

// storeReply encodes a batch, or an error with the kind that the client acts on.
func storeReply(b crank.KeyedBatch, err error) *crankpeerpb.StoreReply {
	if err == nil {
		return &crankpeerpb.StoreReply{Records: toRecords(b.Records), First: int64(b.First), End: int64(b.End)}
	}
	reply := &crankpeerpb.StoreReply{ErrorKind: string(crank.KindOf(err)), ErrorMessage: strings.ToValidUTF8(err.Error(), "?")}
	var sequenceErr *crank.SequenceError
	if errors.As(err, &sequenceErr) {
		reply.WrongSequence, reply.ExpectedSequence = true, sequenceErr.Expected
	}
	return reply
}
