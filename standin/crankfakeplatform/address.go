package crankfakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"
)

// StoreHandlerWithAddresses serves a store to callers that know the addresses of workers
// by others, which a function returns.
func StoreHandlerWithAddresses(store *crankfakestore.Store, address func(known string) string) http.Handler {
	return handler(addressStore{store.Client("http"), address})
}

// addressStore replaces the addresses in workers' entries.
type addressStore struct {
	crank.Store
	address func(known string) string
}

// Read implements crank.Store.
func (s addressStore) Read(ctx context.Context, t crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	b, err := s.Store.Read(ctx, t, from, wait)
	return s.replace(t, b), err
}

// Newest implements crank.Store.
func (s addressStore) Newest(ctx context.Context, t crank.Topic) (crank.KeyedBatch, error) {
	b, err := s.Store.Newest(ctx, t)
	return s.replace(t, b), err
}

func (s addressStore) replace(t crank.Topic, b crank.KeyedBatch) crank.KeyedBatch {
	if t != crank.WorkerTopic {
		return b
	}
	records := make([]crank.KeyedRecord, len(b.Records))
	for n, r := range b.Records {
		r.Value = s.replaceIn(r.Value)
		records[n] = r
	}
	b.Records = records
	return b
}

// replaceIn returns an entry with another address. One that can't be read is left as it is.
func (s addressStore) replaceIn(entry []byte) []byte {
	var fields map[string]json.RawMessage
	var known string
	if json.Unmarshal(entry, &fields) != nil || json.Unmarshal(fields["address"], &known) != nil {
		return entry
	}
	var err error
	if fields["address"], err = json.Marshal(s.address(known)); err != nil {
		return entry
	}
	replaced, err := json.Marshal(fields)
	if err != nil {
		return entry
	}
	return replaced
}
