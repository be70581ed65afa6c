package crankstream

import (
	"context"
	"encoding/json"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
)

// chunk is one entry of the snapshot stream.
type chunk struct {
	Snapshot string       `json:"snapshot"` // identity
	Next     crank.Offset `json:"next"`     // first event that the snapshot lacks
	Index    int          `json:"index"`
	Count    int          `json:"count"`
	Data     []byte       `json:"data"`
}

const chunkBytes = 256 << 10

// WriteSnapshot appends the state to the snapshot stream under an identity. A
// snapshot that misses a chunk is never used.
func WriteSnapshot(ctx context.Context, log crank.Log, id string, s crankfold.State) (size int, err error) {
	data, err := s.Snapshot()
	if err != nil {
		return 0, err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		entry, err := json.Marshal(chunk{Snapshot: id, Next: s.Next, Index: i, Count: count, Data: part})
		if err != nil {
			return 0, crank.Wrap("snapshot write", crank.KindInvalid, err)
		}
		call, cancel := context.WithTimeout(ctx, crank.CallTimeout)
		_, err = log.Append(call, crank.SnapshotStream, entry)
		cancel()
		if err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// ReadSnapshot returns the newest whole snapshot that is kept.
func ReadSnapshot(ctx context.Context, log crank.Log) (s crankfold.State, found bool, err error) {
	head, err := log.Read(ctx, crank.SnapshotStream, endOfStream, 1, 0)
	if err != nil {
		return s, false, err
	}
	assembly := newAssembly()
	for next := head.First; next < head.End; {
		batch, err := log.Read(ctx, crank.SnapshotStream, next, readLimit, 0)
		if crank.KindOf(err) == crank.KindExpired && err != nil {
			next = batch.First
			continue
		}
		if err != nil {
			return s, false, err
		}
		for _, e := range batch.Entries {
			assembly.add(e.Data)
		}
		next += crank.Offset(len(batch.Entries))
	}
	return assembly.newest()
}

// assembly collects chunks by snapshot and keeps the newest whole one.
type assembly struct {
	chunks map[string][]chunk
	whole  []chunk
}

func newAssembly() *assembly { return &assembly{chunks: make(map[string][]chunk)} }

// add takes one entry; one that can't be decoded is passed over.
func (a *assembly) add(entry []byte) {
	var c chunk
	if err := json.Unmarshal(entry, &c); err != nil || c.Count < 1 {
		return
	}
	known := a.chunks[c.Snapshot]
	if c.Index != len(known) {
		return
	}
	known = append(known, c)
	a.chunks[c.Snapshot] = known
	if len(known) < c.Count {
		return
	}
	delete(a.chunks, c.Snapshot)
	if len(a.whole) == 0 || a.whole[0].Next <= c.Next {
		a.whole = known
	}
}

func (a *assembly) newest() (crankfold.State, bool, error) {
	if len(a.whole) == 0 {
		return crankfold.State{}, false, nil
	}
	var data []byte
	for _, c := range a.whole {
		data = append(data, c.Data...)
	}
	s, err := crankfold.Restore(data)
	return s, err == nil, err
}
