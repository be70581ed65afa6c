package crankfakeplatform

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakestore"
)

func TestAddressesOfWorkersAreReplaced(t *testing.T) {
	is := is.New(t)
	store := crankfakestore.New()
	entry := crank.WorkerEntry{ID: "a", Addr: "127.0.0.1:9", Zone: "north", Labels: []string{"x"}, StartTimeMs: 7}
	store.Put(crank.WorkerTopic, "a", EncodeEntry(entry))
	store.Put(crank.WorkerTopic, "b", nil)
	store.Put(crank.OperatorTopic, "a", EncodeEntry(entry))
	s := addressStore{store.Client(""), Addresses{Worker: func(known string) string { return known + "9" }}}

	read, err := s.Read(t.Context(), crank.WorkerTopic, 0, 0)
	is.NoErr(err)
	newest, err := s.Newest(t.Context(), crank.WorkerTopic)
	is.NoErr(err)
	entry.Addr = "127.0.0.1:99"
	for _, value := range [][]byte{read.Records[0].Value, newest.Records[0].Value} {
		var got, want any
		is.NoErr(json.Unmarshal(value, &got))
		is.NoErr(json.Unmarshal(EncodeEntry(entry), &want))
		is.Equal(got, want)
	}
	is.Equal(len(read.Records[1].Value), 0) // a removed entry
	other, err := s.Newest(t.Context(), crank.OperatorTopic)
	is.NoErr(err)
	entry.Addr = "127.0.0.1:9"
	is.Equal(other.Records[0].Value, EncodeEntry(entry))
}

func TestAnnouncedAddressIsReplaced(t *testing.T) {
	is := is.New(t)
	s := addressStore{crankfakestore.New().Client(""), Addresses{Peer: func(known string) (string, bool) { return "front", known == "behind" }}}
	records := []crank.KeyedRecord{
		{Key: "instance/a", Value: []byte(`{"addr":"behind"}`)}, {Key: "instance/b", Value: []byte(`{"addr":"other"}`)},
		{Key: "job/c", Value: []byte(`{"addr":"behind"}`)}, {Key: "instance/d"},
	}
	_, err := s.Append(t.Context(), crank.StoreAppend{Topic: "jobs", Records: records, ExpectedEnd: crank.AnyOffset})
	is.NoErr(err)
	b, err := s.Read(t.Context(), "jobs", 0, 0)
	is.NoErr(err)
	for n, want := range []string{`{"addr":"front"}`, `{"addr":"other"}`, `{"addr":"behind"}`, ""} {
		is.Equal(string(b.Records[n].Value), want)
	}
	is.Equal(string(records[0].Value), `{"addr":"behind"}`) // the caller's
}
