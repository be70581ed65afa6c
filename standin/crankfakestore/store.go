// Package crankfakestore is a stand-in of the platform's store: keyed topics in
// memory that keep the newest record of each key, and faults on demand.
package crankfakestore

import (
	"context"
	"sort"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Fault is what happens to one call.
type Fault struct {
	Delay  time.Duration // before the call is carried out
	Refuse bool          // nothing is done
	Lose   bool          // it is done, and the answer is lost
	Late   time.Duration // it is done so much later, and the answer is lost
	Miss   time.Duration // a read overlooks appends that come so soon after it, until the next one
}

// Faults chooses the fault of a call by the caller's name and the call's.
type Faults func(caller, call string) Fault

// repeats is how many of a producer's last appends are answered again.
const repeats = 5

// Store holds the topics. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	topics  map[crank.Topic]*topic
	changed chan struct{}
	calls   int
}

type topic struct {
	records   []crank.KeyedRecord // from first on
	first     crank.Offset
	newest    map[string]crank.KeyedRecord
	producers map[string]*producer
}

type producer struct {
	epoch   int64
	next    int64
	answers map[int64]crank.Offset
	started bool
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[crank.Topic]*topic), changed: make(chan struct{}), faults: func(string, string) Fault { return Fault{} }}
}

// SetFaults replaces the faults of all later calls.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ForgetHistory drops all records but the newest of each key.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first += crank.Offset(len(t.records))
		t.records = nil
	}
}

// Put appends a record as another writer would.
func (s *Store) Put(name crank.Topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]crank.KeyedRecord{{Key: key, Value: value}})
	s.wake()
}

// Newest returns the newest records of a topic by key.
func (s *Store) Newest(name crank.Topic) []crank.KeyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).sorted()
}

func (s *Store) topic(name crank.Topic) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]crank.KeyedRecord), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (t *topic) end() crank.Offset { return t.first + crank.Offset(len(t.records)) }

func (t *topic) add(records []crank.KeyedRecord) {
	for _, r := range records {
		r.Offset = t.end()
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			continue
		}
		t.newest[r.Key] = r
	}
}

func (t *topic) sorted() []crank.KeyedRecord {
	records := make([]crank.KeyedRecord, 0, len(t.newest))
	for _, r := range t.newest {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

// append carries an append out.
func (s *Store) append(a crank.StoreAppend) (crank.Offset, error) {
	const op = "store append"
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(a.Topic)
	if a.At != crank.AnyOffset && a.At != t.end() {
		return 0, crank.Fail(op, crank.KindConflict, "the topic ends at %d", t.end())
	}
	p := t.producers[a.Producer]
	if a.Producer != "" {
		if p == nil {
			p = &producer{}
			t.producers[a.Producer] = p
		}
		if a.Epoch < p.epoch {
			return 0, crank.Fail(op, crank.KindFenced, "epoch %d was seen", p.epoch)
		}
		if a.Epoch > p.epoch || !p.started {
			*p = producer{epoch: a.Epoch, next: a.Sequence, answers: make(map[int64]crank.Offset), started: true}
		}
		if end, ok := p.answers[a.Sequence]; ok && a.Sequence < p.next {
			return end, nil
		}
		if a.Sequence != p.next {
			return 0, &crank.Error{Op: op, Kind: crank.KindUnavailable, Cause: &crank.SequenceError{Expected: p.next}}
		}
	}
	t.add(a.Records)
	if p != nil {
		p.answers[a.Sequence] = t.end()
		delete(p.answers, a.Sequence-repeats)
		p.next++
	}
	s.wake()
	return t.end(), nil
}

// Client is the store as one caller reaches it. It implements crank.Store.
type Client struct {
	store *Store
	name  string
}

var _ crank.Store = (*Client)(nil)

// Client returns the store for a caller whose name the faults get.
func (s *Store) Client(name string) *Client { return &Client{store: s, name: name} }

// enter applies the fault that comes before a call.
func (c *Client) enter(ctx context.Context, call string) (Fault, error) {
	c.store.mu.Lock()
	c.store.calls++
	faults := c.store.faults
	c.store.mu.Unlock()
	f := faults(c.name, call)
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return f, crank.Wrap("store call", crank.KindUnknown, ctx.Err())
		}
	}
	if f.Refuse {
		return f, crank.Fail("store call", crank.KindUnavailable, "the store is away")
	}
	return f, nil
}

// lost waits until the caller gives up.
func lost(ctx context.Context) error {
	<-ctx.Done()
	return crank.Wrap("store call", crank.KindUnknown, ctx.Err())
}

// Append implements crank.Store.
func (c *Client) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	f, err := c.enter(ctx, "append")
	if err != nil {
		return 0, err
	}
	if f.Late > 0 {
		time.AfterFunc(f.Late, func() { _, _ = c.store.append(a) }) // nobody gets the answer
		return 0, lost(ctx)
	}
	end, err := c.store.append(a)
	if f.Lose {
		return 0, lost(ctx)
	}
	return end, err
}

// Read implements crank.Store.
func (c *Client) Read(ctx context.Context, name crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	f, err := c.enter(ctx, "read")
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	if f.Lose || f.Late > 0 {
		return crank.KeyedBatch{}, lost(ctx)
	}
	timeout, deaf := time.After(wait), time.Now().Add(f.Miss)
	for {
		c.store.mu.Lock()
		t := c.store.topic(name)
		changed := c.store.changed
		b := crank.KeyedBatch{First: t.first, End: t.end()}
		expired := from < t.first
		if !expired && from < b.End {
			b.Records = append(b.Records, t.records[from-t.first:]...)
		}
		c.store.mu.Unlock()
		if expired {
			return b, crank.Fail("store read", crank.KindExpired, "offset %d is gone", from)
		}
		if len(b.Records) > 0 || wait <= 0 {
			return b, nil
		}
		select {
		case <-changed:
			if time.Now().Before(deaf) {
				c.store.mu.Lock()
				changed = c.store.changed
				c.store.mu.Unlock()
				select {
				case <-changed:
				case <-timeout:
					wait = 0
				case <-ctx.Done():
				}
			}
		case <-timeout:
			return b, nil
		case <-ctx.Done():
			return b, crank.Wrap("store read", crank.KindUnknown, ctx.Err())
		}
	}
}

// Newest implements crank.Store.
func (c *Client) Newest(ctx context.Context, name crank.Topic) (crank.KeyedBatch, error) {
	f, err := c.enter(ctx, "newest")
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	if f.Lose || f.Late > 0 {
		return crank.KeyedBatch{}, lost(ctx)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	t := c.store.topic(name)
	return crank.KeyedBatch{First: t.first, End: t.end(), Records: t.sorted()}, nil
}
