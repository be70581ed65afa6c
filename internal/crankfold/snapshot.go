package crankfold

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

// image is the form of a State in a snapshot.
type image struct {
	Next        crank.Offset       `json:"next"`
	Horizon     time.Time          `json:"horizon"`
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

// Snapshot returns the state as compressed JSON.
func (s State) Snapshot() ([]byte, error) {
	m := image{Next: s.Next, Horizon: s.Horizon, Term: s.Term, Config: s.Config, History: s.History, Burn: s.Burn()}
	for i := s.zones.Iterator(); !i.Done(); {
		_, z, _ := i.Next()
		m.Zones = append(m.Zones, z)
	}
	m.Jobs = append(m.Jobs, s.Waiting()...)
	m.Jobs = append(m.Jobs, s.Active()...)
	m.Jobs = append(m.Jobs, s.Ended()...)
	m.Workers = s.Workers()
	m.Writers = make(map[string]Writer, s.writers.Len())
	for i := s.writers.Iterator(); !i.Done(); {
		id, w, _ := i.Next()
		m.Writers[id] = w
	}
	m.Corrections = make(map[string]float64, s.corrections.Len())
	for i := s.corrections.Iterator(); !i.Done(); {
		profile, factor, _ := i.Next()
		m.Corrections[profile] = factor
	}
	var out bytes.Buffer
	z := gzip.NewWriter(&out)
	if err := json.NewEncoder(z).Encode(m); err != nil {
		return nil, crank.Wrap("snapshot encode", crank.KindInvalid, err)
	}
	err := z.Close()
	return out.Bytes(), crank.Wrap("snapshot encode", crank.KindInvalid, err)
}

// maxSnapshotBytes bounds the decompressed size of a snapshot.
const maxSnapshotBytes = 1 << 30

// Restore returns the state of a snapshot. Errors are of KindInvalid.
func Restore(data []byte) (State, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, crank.Wrap("snapshot decode", crank.KindInvalid, err)
	}
	var m image
	if err := json.NewDecoder(io.LimitReader(z, maxSnapshotBytes)).Decode(&m); err != nil {
		return State{}, crank.Wrap("snapshot decode", crank.KindInvalid, err)
	}
	s := New()
	s.Next, s.Horizon, s.Term, s.Config, s.History = m.Next, m.Horizon, m.Term, m.Config, m.History
	for _, z := range m.Zones {
		s.zones = s.zones.Set(z.Name, z)
	}
	for _, w := range m.Workers {
		s.workers = s.workers.Set(w.ID, w)
	}
	for id, w := range m.Writers {
		s.writers = s.writers.Set(id, w)
	}
	for _, b := range m.Burn {
		s.burn = s.burn.Set(identity(b.Profile, b.Workspace), b.Buckets)
	}
	for profile, factor := range m.Corrections {
		s.corrections = s.corrections.Set(profile, factor)
	}
	for _, j := range m.Jobs {
		s = s.restoreJob(j)
	}
	return s, nil
}

func (s State) restoreJob(j Job) State {
	if j.Key != "" {
		s.keys = s.keys.Set(identity(j.Workspace, j.Key), j.Job)
	}
	s.jobs = s.jobs.Set(j.Job, j)
	var index **immutable.SortedMap[crank.Position, string]
	switch j.State {
	case JobWaiting:
		index = &s.queue
		s = s.count(j.Workspace, 1, 0)
	case JobEnded:
		index = &s.ended
	default:
		index = &s.active
		s = s.count(j.Workspace, 0, j.Rules.Shape.Total().Accelerators)
	}
	*index = (*index).Set(j.Position, j.Job)
	return s
}

func splitIdentity(key string) (first, second string) {
	first, second, _ = strings.Cut(key, "\x00")
	return first, second
}
