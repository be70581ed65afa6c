// Package crankfakeplatform serves the stand-ins of the store and of leased
// workers over the platform's HTTP protocols, for tests of the real clients.
package crankfakeplatform

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"
)

// keyedPrefix begins the platform's names of keyed topics.
const keyedPrefix = "keyed."

// externalTopics maps the platform's names of the topics that instances only read.
var externalTopics = map[string]crank.Topic{"op": crank.OperatorTopic, "servers": crank.WorkerTopic}

// Sizes of the answer to a read.
const (
	defaultReadKiB    = 1024
	recordLengthBytes = 4
)

// pageSize is the number of newest records per page.
const pageSize = 50

// StoreHandler serves a store. All callers share the name "http" in the store's
// Faults.
func StoreHandler(store *crankfakestore.Store) http.Handler { return handler(store.Client("http")) }

func handler(store crank.Store) http.Handler {
	s := &storeServer{store: store}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/log-append", s.append)
	mux.HandleFunc("GET /api/log-read", s.read)
	mux.HandleFunc("GET /api/log-newest", s.newest)
	return mux
}

type storeServer struct{ store crank.Store }

func topicParam(r *http.Request) crank.Topic {
	name := strings.TrimPrefix(r.URL.Query().Get("topic"), keyedPrefix)
	if t, ok := externalTopics[name]; ok {
		return t
	}
	return crank.Topic(name)
}

func intParam(r *http.Request, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func (s *storeServer) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, err := splitRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a := crank.StoreAppend{
		Topic: topicParam(r), Records: records, ExpectedEnd: crank.Offset(intParam(r, "at", int64(crank.AnyOffset))),
		Producer: r.URL.Query().Get("producer"), Epoch: intParam(r, "epoch", 0), Sequence: intParam(r, "sequence", 0),
	}
	end, err := s.store.Append(r.Context(), a)
	var seqErr *crank.SequenceError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]any{"offset": int64(end) - int64(len(records)), "end_offset": end})
	case errors.As(err, &seqErr):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": seqErr.Expected})
	case crank.KindOf(err) == crank.KindFenced:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case crank.KindOf(err) == crank.KindTooLarge:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case crank.KindOf(err) == crank.KindInvalid:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case crank.KindOf(err) == crank.KindConflict:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
	default:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
	}
}

// splitRecords decodes a sequence of records. Each has a big-endian 4-byte
// length of the rest, a 1-byte key length, the key and the value.
func splitRecords(body []byte) ([]crank.KeyedRecord, error) {
	var records []crank.KeyedRecord
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			return nil, errors.New("a record is truncated")
		}
		n := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+n]
		body = body[4+n:]
		if n == 0 || 1+int(data[0]) > n {
			return nil, errors.New("a record has no complete key")
		}
		k := int(data[0])
		records = append(records, crank.KeyedRecord{Key: string(data[1 : 1+k]), Value: data[1+k:]})
	}
	return records, nil
}

func (s *storeServer) read(w http.ResponseWriter, r *http.Request) {
	wait := time.Duration(intParam(r, "wait_timeout_ms", 0)) * time.Millisecond
	b, err := s.store.Read(r.Context(), topicParam(r), crank.Offset(intParam(r, "from", 0)), wait)
	switch {
	case crank.KindOf(err) == crank.KindExpired && err != nil:
		writeJSON(w, http.StatusGone, map[string]any{"first_offset": b.First})
		return
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(b.End))
	out = binary.BigEndian.AppendUint64(out, uint64(b.First))
	limit := 1024 * int(intParam(r, "max_read_kb", defaultReadKiB))
	for i, rec := range b.Records {
		if n := rec.EncodedBytes() - 1 + recordLengthBytes; i > 0 && len(out)+n > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.Key)+len(rec.Value)))
		out = append(out, byte(len(rec.Key)))
		out = append(out, rec.Key...)
		out = append(out, rec.Value...)
	}
	if _, err := w.Write(out); err != nil {
		return // the caller has disconnected
	}
}

func (s *storeServer) newest(w http.ResponseWriter, r *http.Request) {
	b, err := s.store.Newest(r.Context(), topicParam(r))
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	type item struct {
		Key    string       `json:"key"`
		Value  string       `json:"value"`
		Offset crank.Offset `json:"offset"`
	}
	items := []item{}
	more := false
	for _, rec := range b.Records {
		if rec.Key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, item{rec.Key, base64.StdEncoding.EncodeToString(rec.Value), rec.Offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": b.End})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return // the caller has disconnected
	}
}
