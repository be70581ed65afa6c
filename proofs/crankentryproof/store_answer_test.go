package crankentryproof

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	crank "cranberrycrank"
	crankadapter "cranberrycrank/platform"

	"github.com/matryer/is"
)

// storeAnswer serves one answer to each path.
func storeAnswer(t *testing.T, answers map[string][]byte) *crankadapter.Store {
	t.Helper()
	return crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(answers[r.URL.Path]) // the caller may have gone
	})))
}

// An item of the newest records that can't be read must not hide the others.
func TestUnreadableItemHidesNoOtherKey(t *testing.T) {
	is := is.New(t)
	good := base64.StdEncoding.EncodeToString([]byte("{}"))
	items := []string{
		`{"key":"odd1","value":"!","offset":1}`, `{"key":"odd2","value":7,"offset":2}`, `{"key":"odd3","value":{"a":[[[]]]},"offset":3}`, `{"key":4,"value":"e30=","offset":4}`,
		`{"key":"odd5","value":"e30=","offset":1.5}`, `{"key":"odd6","value":"e30=","offset":1e400}`, `{"value":"e30=","offset":7}`, `7`, `null`, `[]`, `"odd"`,
	}
	body := fmt.Sprintf(`{"items":[{"key":"w1","value":%q,"offset":0},%s,{"key":"w2","value":%q,"offset":9}],"has_more":false,"end_offset":10}`, good, strings.Join(items, ","), good)
	store := storeAnswer(t, map[string][]byte{"/api/log-newest": []byte(body)})
	batch, err := store.Newest(t.Context(), crank.WorkerTopic)
	is.NoErr(err)
	is.Equal(batch.End, crank.Offset(10))
	readable := make(map[string]bool)
	for _, r := range batch.Records {
		if string(r.Value) == "{}" && r.Key != "" {
			readable[r.Key] = true
		}
	}
	is.Equal(readable, map[string]bool{"w1": true, "w2": true})
}

// Pages that announce more but name no further key must not be read for ever.
func TestPagesWithoutFurtherKeysEnd(t *testing.T) {
	is := is.New(t)
	for _, items := range []string{`[]`, `[{"key":"w1","value":"e30=","offset":0}]`, `[{"value":"e30=","offset":0}]`, `[7]`} {
		store := storeAnswer(t, map[string][]byte{"/api/log-newest": []byte(`{"items":` + items + `,"has_more":true,"end_offset":1}`)})
		_, err := store.Newest(t.Context(), crank.WorkerTopic)
		is.Equal(crank.KindOf(err), crank.KindInvalid)
	}
}

// A page that was lost in an outage of the store kept instances from loading a topic for
// 10 s.
func TestLostPageIsAskedForAgain(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 1:
			_, _ = w.Write([]byte(`{"items":[{"key":"w1","value":"e30=","offset":0}],"has_more":true,"end_offset":2}`))
		case 2:
			<-r.Context().Done()
		default:
			is.Equal(r.URL.Query().Get("after"), "w1")
			_, _ = w.Write([]byte(`{"items":[{"key":"w2","value":"e30=","offset":1}],"has_more":false,"end_offset":2}`))
		}
	})))
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	batch, err := store.Newest(ctx, crank.WorkerTopic)
	is.NoErr(err)
	is.Equal(len(batch.Records), 2)
}

// A page that arrives slowly is not given up.
func TestSlowPageIsReadOnce(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	store := crankadapter.NewStore(crankadapter.NewClient(), serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		for _, part := range []string{`{"items":[{"key":"w1",`, `"value":"e30=","offset":0}],`, `"has_more":false,`, `"end_offset":1}`} {
			_, _ = w.Write([]byte(part))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(400 * time.Millisecond)
		}
	})))
	batch, err := store.Newest(t.Context(), crank.WorkerTopic)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	is.Equal(requests.Load(), int32(1))
}

// readAnswer encodes the answer to a read.
func readAnswer(end int, records ...string) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, r := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(r)))
		data = append(data, r...)
	}
	return data
}

// Records without a readable key stand between others and must not hide them.
func TestRecordWithoutKeyHidesNoOther(t *testing.T) {
	is := is.New(t)
	store := storeAnswer(t, map[string][]byte{"/api/log-read": readAnswer(6, "\x02w1{}", "", "\xffw", "\x02\xff\xfe{}", "\x00{}", "\x02w2{}")})
	batch, err := store.Read(t.Context(), crank.WorkerTopic, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 6)
	for i, key := range []string{"w1", "", "", "", "", "w2"} {
		is.Equal(batch.Records[i].Key, key)
		is.Equal(batch.Records[i].Offset, crank.Offset(i))
	}
}

// An answer that ends within a record must not hold up the records before it.
func TestReadThatEndsWithinARecordReturnsTheOthers(t *testing.T) {
	is := is.New(t)
	answer := readAnswer(2, "\x02w1{}", "\x02w2{}")
	store := storeAnswer(t, map[string][]byte{"/api/log-read": answer[:len(answer)-1]})
	batch, err := store.Read(t.Context(), crank.WorkerTopic, 0, 0)
	is.NoErr(err)
	is.Equal(len(batch.Records), 1)
	is.Equal(batch.End, crank.Offset(2))
}
