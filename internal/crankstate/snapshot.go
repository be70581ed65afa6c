package crankstate

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"strings"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// snapshotData is the JSON form of a State.
type snapshotData struct {
	Next        crank.Offset       `json:"next"`
	LogTime     time.Time          `json:"horizon"`
	Term        Term               `json:"term"`
	Config      crank.Config       `json:"config"`
	History     []Publication      `json:"history"`
	Zones       []Zone             `json:"zones"`
	Jobs        []Job              `json:"jobs"`
	Workers     []Worker           `json:"workers"`
	Writers     map[string]Writer  `json:"writers"`
	Burn        []BurnSeries       `json:"burn"`
	Corrections map[string]float64 `json:"corrections"`
}

// Snapshot encodes the state as gzip-compressed JSON.
func (s State) Snapshot() ([]byte, error) {
	d := snapshotData{Next: s.Next, LogTime: s.LogTime, Term: s.Term, Config: s.Config, History: s.History, Burn: s.Burn()}
	for i := s.zones.Iterator(); !i.Done(); {
		_, z, _ := i.Next()
		d.Zones = append(d.Zones, z)
	}
	d.Jobs = append(d.Jobs, s.Waiting()...)
	d.Jobs = append(d.Jobs, s.Active()...)
	d.Jobs = append(d.Jobs, s.Ended()...)
	d.Workers = s.Workers()
	d.Writers = make(map[string]Writer, s.writers.Len())
	for i := s.writers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		d.Writers[id] = w
	}
	d.Corrections = make(map[string]float64, s.corrections.Len())
	for i := s.corrections.Iterator(); !i.Done(); {
		profile, logRatio, _ := i.Next()
		d.Corrections[profile] = logRatio
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return nil, crank.Wrap("snapshot encode", crank.KindInvalid, err)
	}
	err := z.Close()
	return out.Bytes(), crank.Wrap("snapshot encode", crank.KindInvalid, err)
}

// maxSnapshotBytes bounds the decompressed size of a snapshot.
const maxSnapshotBytes = 1 << 30

// Restore decodes a snapshot. Errors are of KindInvalid.
func Restore(data []byte) (State, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, crank.Wrap("snapshot decode", crank.KindInvalid, err)
	}
	var d snapshotData
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshotBytes)).Decode(&d); err != nil {
		return State{}, crank.Wrap("snapshot decode", crank.KindInvalid, err)
	}
	s := New()
	s.Next, s.LogTime, s.Term, s.Config, s.History = d.Next, d.LogTime, d.Term, d.Config, d.History
	for _, z := range d.Zones {
		s.zones = s.zones.Set(z.Name, z)
	}
	for _, w := range d.Workers {
		s.workers = s.workers.Set(w.ID, w)
	}
	for id, w := range d.Writers {
		s.writers = s.writers.Set(id, w)
	}
	for _, b := range d.Burn {
		s.burn = s.burn.Set(compositeKey(b.Profile, b.Workspace), b.Buckets)
	}
	for profile, logRatio := range d.Corrections {
		s.corrections = s.corrections.Set(profile, logRatio)
	}
	for _, j := range d.Jobs {
		s = s.restoreJob(j)
	}
	return s, nil
}

// restoreJob adds a job to the maps, its index and the usage of its workspace.
func (s State) restoreJob(j Job) State {
	if j.Key != "" {
		s.keys = s.keys.Set(compositeKey(j.Workspace, j.Key), j.Job)
	}
	s.jobs = s.jobs.Set(j.Job, j)
	var index **immutable.SortedMap[crank.Position, string]
	switch j.State {
	case JobWaiting:
		index = &s.queue
		s = s.addUsage(j.Workspace, 1, 0)
	case JobEnded:
		index = &s.ended
	default:
		index = &s.active
		s = s.addUsage(j.Workspace, 0, j.Rules.Shape.Total().Accelerators)
	}
	*index = (*index).Set(j.Position, j.Job)
	return s
}

func splitCompositeKey(key string) (first, second string) {
	first, second, _ = strings.Cut(key, "\x00")
	return first, second
}
