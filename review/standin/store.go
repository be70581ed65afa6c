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
	"sync"
	"time"
)

// Limits and times of the store, as the settings of the deployment name them.
const (
	maxRecordBytes  = 262144
	maxCallBytes    = 2097152
	storeAnswerTime = 4 * time.Millisecond
	newestPage      = 500
	maxReadBytes    = 1 << 20
)

// store is a stand-in of the platform's metadata store: keyed topics with one
// partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	down    chan struct{} // closed when the store is back; nil while it is up
	noted   time.Time     // when a refused append was last recorded
	rec     *recorder
}

type topicRecord struct {
	key   string
	value []byte
}

type topic struct {
	records   []topicRecord
	newest    map[string]int
	producers map[string]*producer
}

type producer struct {
	epoch, next int64
	ends        map[int64]int
}

func newStore(rec *recorder) *store {
	return &store{topics: make(map[string]*topic), changed: make(chan struct{}), rec: rec}
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.readNewest)
	server := &http.Server{Handler: mux}
	_ = server.Serve(l) // ends with the process
}

// setDown makes the store silent, or brings it back.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.down == nil:
		s.down = make(chan struct{})
	case !down && s.down != nil:
		close(s.down)
		s.down = nil
	}
}

// lost reports whether a call got lost in an outage. The call is not done.
func (s *store) lost(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down == nil {
		time.Sleep(storeAnswerTime)
		return false
	}
	select {
	case <-r.Context().Done():
	case <-down:
	}
	return true
}

// refused records a refused append, at most one a second.
func (s *store) refused(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.noted) < time.Second {
		return
	}
	s.noted = time.Now()
	s.rec.event("%s", event)
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producer)}
		s.topics[name] = t
	}
	return t
}

// put writes as an operator or a worker does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(topicRecord{key, value})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (t *topic) add(r topicRecord) {
	t.records = append(t.records, r)
	if len(r.value) == 0 {
		delete(t.newest, r.key)
		return
	}
	t.newest[r.key] = len(t.records) - 1
}

func number(r *http.Request, name string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

// reset ends a channel without an answer.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.lost(r) {
		reset(w)
		return
	}
	name := r.URL.Query().Get("topic")
	if len(body) > maxCallBytes {
		s.rec.event("store refuses an append to %s: the call has %d bytes", name, len(body))
		answer(w, http.StatusRequestEntityTooLarge, map[string]any{})
		return
	}
	var records []topicRecord
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > len(rest)-4 {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		data := rest[4 : 4+n]
		rest = rest[4+n:]
		if n > maxRecordBytes {
			s.refused(fmt.Sprintf("store refuses an append to %s: a record has %d bytes, the limit is %d", name, n, maxRecordBytes))
			answer(w, http.StatusRequestEntityTooLarge, map[string]any{})
			return
		}
		if n == 0 || 1+int(data[0]) > n {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		k := int(data[0])
		records = append(records, topicRecord{string(data[1 : 1+k]), append([]byte(nil), data[1+k:]...)})
	}
	s.mu.Lock()
	status, out := s.store(name, records, r)
	s.mu.Unlock()
	answer(w, status, out)
}

// store appends the records of one call. The caller holds the lock.
func (s *store) store(name string, records []topicRecord, r *http.Request) (int, map[string]any) {
	t := s.topic(name)
	if at := number(r, "at", -1); at >= 0 && at != int64(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)}
	}
	id, epoch, sequence := r.URL.Query().Get("producer"), number(r, "epoch", 0), number(r, "sequence", 0)
	p := t.producers[id]
	if id != "" {
		switch {
		case p != nil && epoch < p.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, next: sequence, ends: make(map[int64]int)}
			t.producers[id] = p
		}
		if end, ok := p.ends[sequence]; ok {
			return http.StatusOK, map[string]any{"offset": end - len(records), "end_offset": end}
		}
		if sequence != p.next {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.next}
		}
	}
	first := len(t.records)
	for _, rec := range records {
		t.add(rec)
	}
	if id != "" {
		p.ends[sequence] = len(t.records)
		delete(p.ends, sequence-5)
		p.next++
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	if s.lost(r) {
		reset(w)
		return
	}
	from := int(number(r, "from", 0))
	wait := time.After(time.Duration(number(r, "wait_timeout_ms", 0)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		t, changed := s.topic(r.URL.Query().Get("topic")), s.changed
		end := len(t.records)
		var records []topicRecord
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if len(records) > 0 || last {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records {
				if len(out) > maxReadBytes {
					break
				}
				out = appendRecord(out, rec)
			}
			_, _ = w.Write(out) // the caller may have left
			return
		}
		select {
		case <-changed:
		case <-wait:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func appendRecord(out []byte, r topicRecord) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
	out = append(out, byte(len(r.key)))
	out = append(out, r.key...)
	return append(out, r.value...)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	if s.lost(r) {
		reset(w)
		return
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, key := range keys {
		if len(items) == newestPage || size > maxReadBytes {
			break
		}
		rec := t.records[t.newest[key]]
		items, size = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), t.newest[key]}), size+len(rec.value)
	}
	end := len(t.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": end})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the caller has left
	}
}

// listen opens a port on the loopback address.
func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", fmt.Errorf("no free port: %w", err)
	}
	return l, l.Addr().String(), nil
}
