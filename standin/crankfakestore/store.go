// Package crankfakestore is an in-memory stand-in for the platform's store with
// fault injection. Store.Compact drops all records but the newest of each key.
// Appends by a producer are deduplicated by sequence number and fenced by epoch.
package crankfakestore

import (
	"context"
	"sort"
	"sync"
	"time"

	crank "cranberrycrank"
)

// Fault is the fault injected into one call.
type Fault struct {
	Delay        time.Duration // before the call takes effect
	Refuse       bool          // the call has no effect
	DropResponse bool          // the call takes effect, its response is lost
	EffectDelay  time.Duration // the call takes effect this late, its response is lost
	MissWakeups  time.Duration // a waiting read misses an append this soon after its start, until the next one
}

// Faults chooses the fault of a call (append, read, end or newest) by the caller's name.
type Faults func(caller, call string) Fault

// RecordFaults returns an error if the store refuses every append with a record, or nil.
type RecordFaults func(r crank.KeyedRecord) error

// dedupWindow is how many of a producer's last appends are deduplicated.
const dedupWindow = 5

// Store holds the topics. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	faults  Faults
	term    Faults       // of calls to the term topic, nil for none beside faults
	records RecordFaults // nil for none
	limits  crank.StoreLimits
	topics  map[crank.Topic]*topic
	changed chan struct{} // closed and replaced on each append
	calls   int
}

type topic struct {
	records   []crank.KeyedRecord // from offset first on
	first     crank.Offset
	newest    map[string]crank.KeyedRecord // by key, without removed keys
	producers map[string]*producer
}

type producer struct {
	epoch        int64
	nextSequence int64
	ends         map[int64]crank.Offset // results of the last appends, by sequence number
	initialized  bool
}

// New returns an empty store.
func New() *Store {
	return &Store{topics: make(map[crank.Topic]*topic), changed: make(chan struct{}), faults: func(string, string) Fault { return Fault{} }}
}

// SetFaults replaces the fault function for later calls.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetTermFaults replaces the fault function for later calls to the term topic. Calls for
// which it chooses no fault have that of SetFaults.
func (s *Store) SetTermFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = f
}

// SetRecordFaults replaces the function that refuses records for good in later calls.
func (s *Store) SetRecordFaults(f RecordFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = f
}

// SetLimits replaces the limits on later appends.
func (s *Store) SetLimits(l crank.StoreLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// Calls returns the number of calls so far, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// NextSequence returns the sequence number that a topic expects from a producer.
func (s *Store) NextSequence(name crank.Topic, producer string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.topic(name).producers[producer]; p != nil {
		return p.nextSequence
	}
	return 0
}

// Compact drops all records but the newest of each key: reads from older offsets
// fail with KindExpired.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.first += crank.Offset(len(t.records))
		t.records = nil
	}
}

// Put appends a record without a producer and without faults.
func (s *Store) Put(name crank.Topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([]crank.KeyedRecord{{Key: key, Value: value}})
	s.notifyReaders()
}

// Newest returns the newest records of a topic, sorted by key.
func (s *Store) Newest(name crank.Topic) []crank.KeyedRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newestByKey()
}

func (s *Store) topic(name crank.Topic) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]crank.KeyedRecord), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) notifyReaders() {
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

func (t *topic) newestByKey() []crank.KeyedRecord {
	records := make([]crank.KeyedRecord, 0, len(t.newest))
	for _, r := range t.newest {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	return records
}

func (s *Store) append(a crank.StoreAppend) (crank.Offset, error) {
	const op = "store append"
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(a.Topic)
	if err := s.checkRecords(a.Records); err != nil {
		return 0, err
	}
	if a.ExpectedEnd != crank.AnyOffset && a.ExpectedEnd != t.end() {
		return 0, crank.Fail(op, crank.KindConflict, "the topic ends at %d", t.end())
	}
	p := t.producers[a.Producer]
	if a.Producer != "" {
		if p == nil {
			p = &producer{}
			t.producers[a.Producer] = p
		}
		if a.Epoch < p.epoch {
			return 0, crank.Fail(op, crank.KindFenced, "a higher epoch was seen: %d", p.epoch)
		}
		if a.Epoch > p.epoch || !p.initialized {
			*p = producer{epoch: a.Epoch, nextSequence: a.Sequence, ends: make(map[int64]crank.Offset), initialized: true}
		}
		if end, ok := p.ends[a.Sequence]; ok && a.Sequence < p.nextSequence {
			return end, nil
		}
		if a.Sequence != p.nextSequence {
			return 0, &crank.Error{Op: op, Kind: crank.KindUnavailable, Cause: &crank.SequenceError{Expected: p.nextSequence}}
		}
	}
	t.add(a.Records)
	if p != nil {
		p.ends[a.Sequence] = t.end()
		delete(p.ends, a.Sequence-dedupWindow)
		p.nextSequence++
	}
	s.notifyReaders()
	return t.end(), nil
}

func (s *Store) checkRecords(records []crank.KeyedRecord) error {
	for _, r := range records {
		if s.records == nil {
			break
		}
		if err := s.records(r); err != nil {
			return err
		}
	}
	return s.limits.Check(records...)
}

// Client implements crank.Store and crank.TopicEnds for one caller.
type Client struct {
	store *Store
	name  string
}

var (
	_ crank.Store     = (*Client)(nil)
	_ crank.TopicEnds = (*Client)(nil)
)

// Client returns a client whose calls pass the given name to Faults.
func (s *Store) Client(name string) *Client { return &Client{store: s, name: name} }

// beforeCall injects the faults that precede the effect of a call.
func (c *Client) beforeCall(ctx context.Context, call string, t crank.Topic) (Fault, error) {
	c.store.mu.Lock()
	c.store.calls++
	faults, term := c.store.faults, c.store.term
	c.store.mu.Unlock()
	f := faults(c.name, call)
	if t == crank.TermTopic && term != nil {
		if chosen := term(c.name, call); chosen != (Fault{}) {
			f = chosen
		}
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return f, crank.Wrap("store call", crank.KindUnknown, ctx.Err())
		}
	}
	if f.Refuse {
		return f, crank.Fail("store call", crank.KindUnavailable, "the store is unavailable")
	}
	return f, nil
}

// awaitCancel simulates a lost response: it blocks until the caller gives up.
func awaitCancel(ctx context.Context) error {
	<-ctx.Done()
	return crank.Wrap("store call", crank.KindUnknown, ctx.Err())
}

// Append implements crank.Store.
func (c *Client) Append(ctx context.Context, a crank.StoreAppend) (crank.Offset, error) {
	f, err := c.beforeCall(ctx, "append", a.Topic)
	if err != nil {
		return 0, err
	}
	if f.EffectDelay > 0 {
		time.AfterFunc(f.EffectDelay, func() { _, _ = c.store.append(a) }) // the response is lost
		return 0, awaitCancel(ctx)
	}
	end, err := c.store.append(a)
	if f.DropResponse {
		return 0, awaitCancel(ctx)
	}
	return end, err
}

// Read implements crank.Store.
func (c *Client) Read(ctx context.Context, name crank.Topic, from crank.Offset, wait time.Duration) (crank.KeyedBatch, error) {
	f, err := c.beforeCall(ctx, "read", name)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	if f.DropResponse || f.EffectDelay > 0 {
		return crank.KeyedBatch{}, awaitCancel(ctx)
	}
	timeout, missUntil := time.After(wait), time.Now().Add(f.MissWakeups)
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
			if time.Now().Before(missUntil) {
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

// End implements crank.TopicEnds.
func (c *Client) End(ctx context.Context, name crank.Topic, _ crank.Offset) (crank.Offset, error) {
	f, err := c.beforeCall(ctx, "end", name)
	if err != nil {
		return 0, err
	}
	if f.DropResponse || f.EffectDelay > 0 {
		return 0, awaitCancel(ctx)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return c.store.topic(name).end(), nil
}

// Newest implements crank.Store.
func (c *Client) Newest(ctx context.Context, name crank.Topic) (crank.KeyedBatch, error) {
	f, err := c.beforeCall(ctx, "newest", name)
	if err != nil {
		return crank.KeyedBatch{}, err
	}
	if f.DropResponse || f.EffectDelay > 0 {
		return crank.KeyedBatch{}, awaitCancel(ctx)
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	t := c.store.topic(name)
	return crank.KeyedBatch{First: t.first, End: t.end(), Records: t.newestByKey()}, nil
}
