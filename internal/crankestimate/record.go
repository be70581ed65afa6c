package crankestimate

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"

	crank "cranberrycrank"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Format is that of records. A change that this version would misread adds one.
const Format = 1

// record is the encoding of a model.
type record struct {
	Format  int               `json:"format"`
	Runs    int64             `json:"runs"`
	Classes []classRecord     `json:"classes,omitempty"`
	Speeds  map[string][2]int `json:"speeds,omitempty"` // by incarnation: mean logarithm and weight, in parts of speedUnits
}

type classRecord struct {
	Queue     string       `json:"queue,omitempty"`
	Workspace string       `json:"workspace,omitempty"`
	Demand    crank.Demand `json:"demand,omitzero"`
	Gang      bool         `json:"gang,omitempty"`
	Members   int          `json:"members,omitempty"`
	Last      int64        `json:"last"`
	Ratio     []byte       `json:"ratio,omitempty"` // encoded sketches
	Work      []byte       `json:"work,omitempty"`
	Alike     []byte       `json:"alike,omitempty"`
}

// Limits of records.
const (
	countUnits      = 4       // counts of a sketch are rounded to 1/4 of a run, which takes 2 bytes instead of 9
	speedUnits      = 1000    // of a logarithm and a weight
	maxCount        = 1e9     // of a sketch that was read
	maxRecordedRuns = 1 << 53 // integers above are not exact in all JSON libraries
	keptShare       = 0.9     // of what is recorded, each time a record is too long
)

// Encode returns the record of a model in at most some bytes. Where it would be longer, it
// leaves out the classes and workers of which least is known.
func (m Model) Encode(maxBytes int) ([]byte, error) {
	classes, workers := m.classRecords(), m.knownWorkers()
	for nClasses, nWorkers := len(classes), len(workers); ; {
		r := record{Format: Format, Runs: m.runs, Classes: classes[:nClasses], Speeds: make(map[string][2]int, nWorkers)}
		for _, w := range workers[:nWorkers] {
			s, _ := m.workers.Get(w)
			r.Speeds[w] = [2]int{int(math.Round(speedUnits * s.sum / s.weight)), int(math.Round(speedUnits * s.weight))}
		}
		value, err := json.Marshal(r)
		if err != nil || len(value) <= maxBytes {
			return value, crank.Wrap("estimates encode", crank.KindInvalid, err)
		}
		if nClasses+nWorkers == 0 {
			return nil, crank.Fail("estimates encode", crank.KindTooLarge, "%d bytes are too few", maxBytes)
		}
		nClasses, nWorkers = int(keptShare*float64(nClasses)), int(keptShare*float64(nWorkers))
	}
}

// classRecords returns groups first, then the classes that know most.
func (m Model) classRecords() []classRecord {
	if m.classes == nil {
		return nil
	}
	type ranked struct {
		record classRecord
		group  bool
		weight float64
	}
	var all []ranked
	for i := m.classes.Iterator(); !i.Done(); {
		c, l, _ := i.Next()
		parent, _ := c.parent()
		all = append(all, ranked{classRecord{
			Queue: c.Queue, Workspace: c.Workspace, Demand: c.Demand, Gang: c.Gang, Members: c.Members, Last: l.last,
			Ratio: encodeSketch(l.sketches[sketchRatio]), Work: encodeSketch(l.sketches[sketchWork]), Alike: encodeSketch(l.sketches[sketchAlike]),
		}, parent == Class{}, l.currentWeight(m.runs)})
	}
	slices.SortStableFunc(all, func(a, b ranked) int {
		if a.group != b.group {
			if a.group {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.weight, a.weight)
	})
	records := make([]classRecord, 0, len(all))
	for _, r := range all {
		records = append(records, r.record)
	}
	return records
}

// knownWorkers returns the workers whose speeds are known best first.
func (m Model) knownWorkers() []string {
	if m.workers == nil {
		return nil
	}
	weights := make(map[string]float64)
	var workers []string
	for i := m.workers.Iterator(); !i.Done(); {
		worker, s, _ := i.Next()
		workers, weights[worker] = append(workers, worker), s.weight
	}
	slices.SortFunc(workers, func(a, b string) int { return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b)) })
	return workers
}

func encodeSketch(s *ddsketch.DDSketch) []byte {
	if s == nil {
		return nil
	}
	rounded := newSketch()
	for _, b := range binsOf(s) {
		_ = rounded.AddWithCount(b.value, math.Round(countUnits*b.weight)/countUnits) // the value was in a sketch
	}
	if rounded.IsEmpty() {
		return nil
	}
	var encoded []byte
	rounded.Encode(&encoded, true)
	return encoded
}

// Decode returns the model that a record holds. It returns an error of KindInvalid for
// one that can't be read or has a later format.
func Decode(value []byte) (Model, error) {
	const op = "estimates decode"
	var versioned struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(value, &versioned); err != nil {
		return Model{}, crank.Wrap(op, crank.KindInvalid, err)
	}
	if versioned.Format != Format {
		return Model{}, crank.Fail(op, crank.KindInvalid, "the record has format %d, this version reads %d", versioned.Format, Format)
	}
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return Model{}, crank.Wrap(op, crank.KindInvalid, err)
	}
	if r.Runs < 0 || r.Runs > maxRecordedRuns {
		return Model{}, crank.Fail(op, crank.KindInvalid, "%d runs", r.Runs)
	}
	m := Model{runs: r.Runs}
	for _, c := range r.Classes[:min(len(r.Classes), maxClasses)] {
		l := learned{last: min(max(c.Last, 0), m.runs)}
		for k, encoded := range [sketchKinds][]byte{sketchRatio: c.Ratio, sketchWork: c.Work, sketchAlike: c.Alike} {
			sketch, err := decodeSketch(encoded)
			if err != nil {
				return Model{}, crank.Wrap(op, crank.KindInvalid, err)
			}
			l.sketches[k] = sketch
		}
		m = m.withClass(Class{Queue: c.Queue, Workspace: c.Workspace, Demand: c.Demand, Gang: c.Gang, Members: c.Members}, l)
	}
	for worker, s := range r.Speeds {
		mean, weight := float64(s[0])/speedUnits, float64(s[1])/speedUnits
		if worker == "" || weight <= 0 || math.Abs(mean) > 2*maxLogSpeed {
			continue
		}
		weight = min(weight, 2*speedHalfLife)
		m = m.withWorker(worker, learnedSpeed{mean * weight, weight})
	}
	return m, nil
}

func decodeSketch(encoded []byte) (*ddsketch.DDSketch, error) {
	const op = "estimates decode"
	if len(encoded) == 0 {
		return nil, nil
	}
	// A dense store would allocate for any index that the bytes hold.
	read, err := ddsketch.DecodeDDSketch(encoded, func() store.Store { return store.NewSparseStore() }, indexMapping)
	if err != nil {
		return nil, err
	}
	s, sound := newSketch(), read.GetCount() <= maxCount
	for _, b := range binsOf(read) {
		sound = sound && b.weight > 0 && b.value >= minObserved/2 && b.value <= 2*maxObserved && s.AddWithCount(b.value, b.weight) == nil
	}
	if !sound || s.IsEmpty() {
		return nil, crank.Fail(op, crank.KindInvalid, "a sketch has impossible values")
	}
	return s, nil
}
