package crankjobs

import (
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"time"

	crank "cranberrycrank"
)

// DoneRun is a run of a task that ended as done.
type DoneRun struct {
	Job        string `json:"job"`
	Occurrence int    `json:"occurrence,omitempty"`
	Step       int    `json:"step,omitempty"`
	Index      int    `json:"index,omitempty"`
	Run        int64  `json:"run"`
}

// NewDoneRun returns the run that a worker lists as ended.
func NewDoneRun(e crank.EndedRun) DoneRun {
	return DoneRun{Job: e.Task.Job, Occurrence: e.Task.Occurrence, Step: e.Task.Step, Index: e.Task.Index, Run: e.Run}
}

// Task returns the task of the run.
func (d DoneRun) Task() crank.TaskID {
	return crank.TaskID{Job: d.Job, Occurrence: d.Occurrence, Step: d.Step, Index: d.Index}
}

// WitnessedEnds are ends of runs that a worker incarnation listed to one instance while no
// leader took note of them. They hold under every term.
type WitnessedEnds struct {
	Format      int       `json:"format,omitempty"`
	Incarnation string    `json:"-"`                 // in the key
	Witness     string    `json:"witness,omitempty"` // instance, empty in records of earlier versions
	Done        []DoneRun `json:"done"`
}

// key returns the key of the record without its prefix. Each witness has its own, since
// the store keeps the newest record of a key, which may hold fewer ends. Earlier versions
// take the whole key for the incarnation, which they only log.
func (e WitnessedEnds) key() string { return e.Incarnation + e.keySuffix() }

func (e WitnessedEnds) keySuffix() string {
	if e.Witness == "" {
		return ""
	}
	h := fnv.New32a()                   // the ID may leave no room in the key
	_, _ = io.WriteString(h, e.Witness) // never fails
	return fmt.Sprintf("/%08x", h.Sum32())
}

type seenEnds struct {
	WitnessedEnds
	revision int64     // of the state in which they last changed
	seen     time.Time // when this instance read them
}

// WitnessedEndsRecord returns the record of ends at one incarnation, which replaces an
// earlier one of the same witness.
func WitnessedEndsRecord(e WitnessedEnds) (crank.KeyedRecord, error) {
	e.Format = recordFormat
	return encode(endsPrefix+e.key(), e)
}

// WitnessedEndsRemovalRecord returns the record that removes ends by what WitnessedBefore
// returns.
func WitnessedEndsRemovalRecord(key string) crank.KeyedRecord {
	return crank.KeyedRecord{Key: endsPrefix + key}
}

func (s State) withWitnessedEnds(key string, value []byte, now time.Time) (State, error) {
	if len(value) == 0 {
		s.ends = s.ends.Delete(key)
		return s, nil
	}
	e := seenEnds{revision: s.Revision, seen: now}
	if err := decodeVersioned(value, &e.WitnessedEnds, &e.Format); err != nil {
		return s, err
	}
	e.Incarnation = strings.TrimSuffix(key, e.keySuffix())
	s.ends = s.ends.Set(key, e)
	return s, nil
}

// WitnessedSince returns the ends that changed after a revision.
func (s State) WitnessedSince(revision int64) []WitnessedEnds {
	var ends []WitnessedEnds
	for i := s.ends.Iterator(); !i.Done(); {
		if _, e, _ := i.Next(); e.revision > revision {
			ends = append(ends, e.WitnessedEnds)
		}
	}
	return ends
}

// WitnessedBefore returns the keys, without prefix, of the ends that this instance read
// before a time.
func (s State) WitnessedBefore(t time.Time) []string {
	var keys []string
	for i := s.ends.Iterator(); !i.Done(); {
		if key, e, _ := i.Next(); e.seen.Before(t) {
			keys = append(keys, key)
		}
	}
	return keys
}
