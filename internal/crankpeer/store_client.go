package crankpeer

import (
	"context"
	"net/http"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpeer/crankpeerpb"
)

// StoreDialer returns clients of the store through other instances, one per
// instance.
type StoreDialer struct {
	mu      sync.Mutex
	clients map[string]*storeClient // by address
}

// NewStoreDialer returns a dialer without clients.
func NewStoreDialer() *StoreDialer { return &StoreDialer{clients: make(map[string]*storeClient)} }

// StorePeer implements crank.StorePeerDialer.
func (d *StoreDialer) StorePeer(addr, key string) crank.Store {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil || c.key != key {
		client := newHTTPClient(key)
		c = &storeClient{rpc: crankpeerpb.NewStoreRelayProtobufClient("http://"+addr, client), http: client, key: key}
		d.clients[addr] = c
	}
	return c
}

// storeClient is a crank.Store that relays calls through one instance.
type storeClient struct {
	rpc  crankpeerpb.StoreRelay
	http *http.Client
	key  string
}

// Append implements crank.Store.
func (c *storeClient) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	const op = "peer store append"
	if err := ctx.Err(); err != nil {
		return 0, newCallError(op, c.http, crank.NotSent{Cause: err})
	}
	r, err := c.rpc.Append(ctx, &crankpeerpb.StoreAppendRequest{
		Topic: string(a.Topic), Records: toRecords(a.Records), At: int64(a.ExpectedEnd), Producer: a.Producer, Epoch: a.Epoch, Sequence: a.Sequence,
	})
	if err != nil {
		return 0, newCallError(op, c.http, err)
	}
	return crank.Offset(r.End), replyError(op, r)
}

// Read implements crank.Store.
func (c *storeClient) Read(ctx context.Context, topic crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	const op = "peer store read"
	r, err := c.rpc.Read(ctx, &crankpeerpb.StoreReadRequest{Topic: string(topic), From: int64(from), WaitMs: wait.Milliseconds()})
	if err != nil {
		return crank.KeyedBatch{}, newCallError(op, c.http, err)
	}
	return fromReply(r), replyError(op, r)
}

// Newest implements crank.Store.
func (c *storeClient) Newest(ctx context.Context, topic crank.Topic) (crank.KeyedBatch, error) {
	const op = "peer store newest"
	r, err := c.rpc.Newest(ctx, &crankpeerpb.StoreNewestRequest{Topic: string(topic)})
	if err != nil {
		return crank.KeyedBatch{}, newCallError(op, c.http, err)
	}
	return fromReply(r), replyError(op, r)
}

func replyError(op string, r *crankpeerpb.StoreReply) error {
	switch {
	case r.ErrorKind == "":
		return nil
	case r.WrongSequence:
		return &crank.Error{Op: op, Kind: crank.Kind(r.ErrorKind), Cause: &crank.SequenceError{Expected: r.ExpectedSequence}}
	}
	return crank.Fail(op, crank.Kind(r.ErrorKind), "%s", r.ErrorMessage)
}

func toRecords(records []crank.KeyedRecord) []*crankpeerpb.StoreRecord {
	out := make([]*crankpeerpb.StoreRecord, len(records))
	for i, r := range records {
		out[i] = &crankpeerpb.StoreRecord{Key: r.Key, Value: r.Value, Offset: int64(r.Offset)}
	}
	return out
}

func fromRecords(records []*crankpeerpb.StoreRecord) []crank.KeyedRecord {
	out := make([]crank.KeyedRecord, len(records))
	for i, r := range records {
		out[i] = crank.KeyedRecord{Key: r.Key, Value: r.Value, Offset: crank.Offset(r.Offset)}
	}
	return out
}

func fromReply(r *crankpeerpb.StoreReply) crank.KeyedBatch {
	return crank.KeyedBatch{Records: fromRecords(r.Records), First: crank.Offset(r.First), End: crank.Offset(r.End)}
}
