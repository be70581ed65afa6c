package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRecord is a keyed record of a topic.
type storeRecord struct {
	key    string
	value  []byte
	offset int64
}

type producerState struct {
	epoch, next int64
	ends        map[int64][2]int64 // first and end offset of the last appends
}

type storeTopic struct {
	records   []storeRecord
	newest    map[string]storeRecord
	producers map[string]*producerState
}

// store is the platform's metadata store. Each instance reaches it at an address of its own,
// which tells the store who calls.
type store struct {
	mu      sync.Mutex
	topics  map[string]*storeTopic
	changed chan struct{}
	// lastConditional is the caller of the newest append with a condition that was stored.
	lastConditional string
}

func newStore() *store {
	return &store{topics: make(map[string]*storeTopic), changed: make(chan struct{})}
}

func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: make(map[string]storeRecord), producers: make(map[string]*producerState)}
		s.topics[name] = t
	}
	return t
}

func (t *storeTopic) add(key string, value []byte) {
	r := storeRecord{key, value, int64(len(t.records))}
	t.records = append(t.records, r)
	if len(value) == 0 {
		delete(t.newest, key)
		return
	}
	t.newest[key] = r
}

// put adds a record as the operator or a server does.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(key, value)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// conditional returns the caller of the newest conditional append.
func (s *store) conditional() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

// handler serves the store to one caller.
func (s *store) handler(caller string) http.Handler {
	mux := http.NewServeMux()
	timed := func(f func(w http.ResponseWriter, r *http.Request, caller string)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(2 * time.Millisecond)
			f(w, r, caller)
		}
	}
	mux.HandleFunc("POST /api/log-append", timed(s.append))
	mux.HandleFunc("GET /api/log-read", timed(s.read))
	mux.HandleFunc("GET /api/log-newest", timed(s.readNewest))
	return mux
}

func number(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, caller string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	var records []storeRecord
	for len(body) > 0 {
		if len(body) < 5 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		n := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+n]
		body = body[4+n:]
		k := int(data[0])
		if 1+k > n {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		records = append(records, storeRecord{key: string(data[1 : 1+k]), value: append([]byte(nil), data[1+k:]...)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := int64(len(t.records))
	if q.Has("at") && number(r, "at", -1) != end {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	sequence := number(r, "sequence", 0)
	var p *producerState
	if producer := q.Get("producer"); producer != "" {
		epoch := number(r, "epoch", 0)
		p = t.producers[producer]
		switch {
		case p != nil && epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case p == nil || epoch > p.epoch:
			p = &producerState{epoch: epoch, next: sequence, ends: make(map[int64][2]int64)}
			t.producers[producer] = p
		}
		if former, ok := p.ends[sequence]; ok {
			reply(w, http.StatusOK, map[string]any{"offset": former[0], "end_offset": former[1]})
			return
		}
		if sequence != p.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next})
			return
		}
	}
	for _, rec := range records {
		t.add(rec.key, rec.value)
	}
	newEnd := int64(len(t.records))
	if p != nil && len(records) > 0 {
		p.ends[sequence] = [2]int64{end, newEnd}
		delete(p.ends, sequence-5)
		p.next = sequence + 1
	}
	if q.Has("at") {
		s.lastConditional = caller
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"offset": end, "end_offset": newEnd})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, _ string) {
	from, limit := number(r, "from", 0), 1024*number(r, "max_read_kb", 1024)
	timeout := time.After(time.Duration(number(r, "wait_timeout_ms", 0)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := int64(len(t.records)), s.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i >= 0 && i < end; i++ {
			rec := t.records[i]
			n := 1 + len(rec.key) + len(rec.value)
			if i > from && int64(len(out)+n) > limit {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(n))
			out = append(out, byte(len(rec.key)))
			out = append(out, rec.key...)
			out = append(out, rec.value...)
		}
		s.mu.Unlock()
		if from < end || !waiting {
			_, _ = w.Write(out) // the caller may have left
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, _ string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, more := []item{}, false
	for _, k := range keys {
		if len(items) == 500 {
			more = true
			break
		}
		rec := t.newest[k]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": len(t.records)})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}
