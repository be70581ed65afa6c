//go:build review3

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Store is a stand-in of the platform's metadata store: topics with one partition, appends
// with a condition or a producer, reads that wait, and the newest record of each key.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type topic struct {
	records   []storedRecord
	newest    map[string]int // by key, without removed keys
	producers map[string]*producer
	changed   chan struct{}
}

type producer struct {
	epoch, next int64
	last        map[int64][2]int64 // first and end offset by sequence number
}

func NewStore() *Store { return &Store{topics: make(map[string]*topic)} }

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records []storedRecord) (first, end int64) {
	first = int64(len(t.records))
	for _, r := range records {
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = len(t.records) - 1
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first, int64(len(t.records))
}

func encodeRecord(key string, value []byte) storedRecord {
	raw := append([]byte{byte(len(key))}, key...)
	return storedRecord{key, value, append(raw, value...)}
}

// Put writes a record as the operator or a worker does.
func (s *Store) Put(topicName, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([]storedRecord{encodeRecord(key, data)})
}

// Link is how one machine reaches the store.
type Link struct {
	Name   string
	Addr   string
	silent atomic.Bool // requests are not carried out and get no answer
	store  *Store
}

// Link opens an address of the store for one machine.
func (s *Store) Link(name string) *Link {
	l := &Link{Name: name, store: s}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	fatal(err)
	l.Addr = listener.Addr().String()
	go http.Serve(listener, l)
	return l
}

// SetSilent makes the store answer nothing on this link, or answer again.
func (l *Link) SetSilent(silent bool) { l.silent.Store(silent) }

func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(2 * time.Millisecond)
	if l.silent.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		l.store.append(w, q.Get("topic"), q, body)
	case "/api/log-read":
		l.store.read(w, r, q.Get("topic"))
		if l.silent.Load() {
			panic(http.ErrAbortHandler)
		}
	case "/api/log-newest":
		l.store.readNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) append(w http.ResponseWriter, name string, q map[string][]string, body []byte) {
	get := func(k string) string {
		if v := q[k]; len(v) > 0 {
			return v[0]
		}
		return ""
	}
	if !strings.HasPrefix(name, "keyed.") || name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records []storedRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) || n < 1 || 1+int(body[0]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k := int(body[0])
		records = append(records, storedRecord{string(body[1 : 1+k]), body[1+k : n], body[:n]})
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)})
		return
	}
	var p *producer
	var sequence int64
	if id := get("producer"); id != "" {
		epoch, _ := strconv.ParseInt(get("epoch"), 10, 64)
		sequence, _ = strconv.ParseInt(get("sequence"), 10, 64)
		p = t.producers[id]
		switch {
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, next: sequence, last: make(map[int64][2]int64)}
			t.producers[id] = p
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if done, ok := p.last[sequence]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": done[0], "end_offset": done[1]})
			return
		}
		if sequence != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
			return
		}
	}
	first, end := t.add(records)
	if p != nil {
		p.next++
		p.last[sequence] = [2]int64{first, end}
		delete(p.last, sequence-5)
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_timeout_ms"))
	limit, err := strconv.Atoi(q.Get("max_read_kb"))
	if err != nil {
		limit = 1024
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, changed := len(t.records), t.changed
		if from < end || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < end && len(out) < limit<<10; i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].raw)))
				out = append(out, t.records[i].raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) readNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := make([]any, 0, len(keys))
	for _, k := range keys {
		n := t.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(t.records[n].value), "offset": n})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}

// Keys returns the keys of a topic with a prefix.
func (s *Store) Keys(topicName, prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.topic(topicName).newest {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func fatal(err error) {
	if err != nil {
		panic(unable(fmt.Sprint(err)))
	}
}
