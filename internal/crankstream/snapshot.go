package crankstream

import (
	"context"
	"encoding/json"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankstate"
)

// chunk is one entry of the snapshot stream.
type chunk struct {
	Snapshot string       `json:"snapshot"` // its ID
	Next     crank.Offset `json:"next"`     // first event that the snapshot lacks
	Index    int          `json:"index"`
	Count    int          `json:"count"`
	Data     []byte       `json:"data"`
}

const chunkBytes = 256 << 10

// WriteSnapshot appends the state to the snapshot stream in chunks and returns its
// size in bytes. Readers ignore a snapshot that lacks a chunk.
func WriteSnapshot(ctx context.Context, log crank.Log, id string, s crankstate.State) (size int, err error) {
	data, err := s.Snapshot()
	if err != nil {
		return 0, err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		piece := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		entry, err := json.Marshal(chunk{Snapshot: id, Next: s.Next, Index: i, Count: count, Data: piece})
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

// ReadSnapshot returns the newest complete snapshot.
func ReadSnapshot(ctx context.Context, log crank.Log) (s crankstate.State, found bool, err error) {
	head, err := log.Read(ctx, crank.SnapshotStream, endOfStream, 1, 0)
	if err != nil {
		return s, false, err
	}
	a := newAssembler()
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
			a.add(e.Data)
		}
		next += crank.Offset(len(batch.Entries))
	}
	return a.newest()
}

// assembler collects chunks by snapshot and keeps the newest complete one.
type assembler struct {
	chunks   map[string][]chunk
	complete []chunk
}

func newAssembler() *assembler { return &assembler{chunks: make(map[string][]chunk)} }

// add skips entries that can't be decoded and chunks out of order.
func (a *assembler) add(entry []byte) {
	var c chunk
	if err := json.Unmarshal(entry, &c); err != nil || c.Count < 1 {
		return
	}
	chunks := a.chunks[c.Snapshot]
	if c.Index != len(chunks) {
		return
	}
	chunks = append(chunks, c)
	a.chunks[c.Snapshot] = chunks
	if len(chunks) < c.Count {
		return
	}
	delete(a.chunks, c.Snapshot)
	if len(a.complete) == 0 || a.complete[0].Next <= c.Next {
		a.complete = chunks
	}
}

func (a *assembler) newest() (crankstate.State, bool, error) {
	if len(a.complete) == 0 {
		return crankstate.State{}, false, nil
	}
	var data []byte
	for _, c := range a.complete {
		data = append(data, c.Data...)
	}
	s, err := crankstate.Restore(data)
	return s, err == nil, err
}
