package crankfakeplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"
)

// Addresses replaces addresses by those at which callers of the store find the same.
type Addresses struct {
	Worker func(known string) string         // in workers' entries
	Peer   func(known string) (string, bool) // in what instances announce; may be nil
}

// StoreHandlerWithAddresses serves a store with other addresses.
func StoreHandlerWithAddresses(store *crankfakestore.Store, a Addresses) http.Handler {
	return handler(addressStore{store.Client("http"), a})
}

// addressStore is a store with other addresses.
type addressStore struct {
	crank.Store
	Addresses
}

// Append implements crank.Store.
func (s addressStore) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	a.Records = slices.Clone(a.Records)
	for n, r := range a.Records {
		if s.Peer != nil && strings.HasPrefix(r.Key, announcementPrefix) {
			a.Records[n].Value = replaceIn(r.Value, "addr", s.Peer)
		}
	}
	return s.Store.Append(ctx, a)
}

// announcementPrefix begins the keys of the records in which instances announce themselves.
const announcementPrefix = "instance/"

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
		r.Value = replaceIn(r.Value, "address", func(known string) (string, bool) { return s.Worker(known), true })
		records[n] = r
	}
	b.Records = records
	return b
}

// replaceIn returns a JSON object with another address in a field. One that can't be read
// is left as it is.
func replaceIn(object []byte, field string, address func(known string) (string, bool)) []byte {
	var fields map[string]json.RawMessage
	var known string
	if json.Unmarshal(object, &fields) != nil || json.Unmarshal(fields[field], &known) != nil {
		return object
	}
	addr, ok := address(known)
	if !ok {
		return object
	}
	var err error
	if fields[field], err = json.Marshal(addr); err != nil {
		return object
	}
	replaced, err := json.Marshal(fields)
	if err != nil {
		return object
	}
	return replaced
}
