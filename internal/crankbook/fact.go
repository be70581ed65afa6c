// Package crankbook holds what all instances know of jobs: the submissions,
// cancellations and progress that are stored in the platform's job topic.
//
// Each fact has a key of its own, and the newest record of a key is kept for
// good, so the state follows from the newest records alone. The first
// submission of a job is made by the instance that accepted it; progress is
// written by the holder of the planner's term only.
package crankbook

import (
	"encoding/json"
	"strings"

	crank "cranberrycrank"
)

// Prefixes of the keys of the job topic.
const (
	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
	instancePrefix = "instance/"
	rosterKey      = "roster"
	termKey        = "term"
)

// Outcome is the final state of a job.
type Outcome string

// Outcomes.
const (
	OutcomeNone      Outcome = ""
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Progress is what the planner has recorded of a job.
type Progress struct {
	Term        int64           `json:"term"`                  // of the planner that wrote it
	Claimed     bool            `json:"claimed,omitempty"`     // tasks may have been started
	Begun       bool            `json:"begun,omitempty"`       // a task has started
	Done        Bits            `json:"done,omitempty"`        // by the task's ordinal
	Failures    map[int][]int64 `json:"failures,omitempty"`    // numbers of the failed runs, by ordinal
	Checkpoints map[int]string  `json:"checkpoints,omitempty"` // of tasks that were stopped, by ordinal
	Outcome     Outcome         `json:"outcome,omitempty"`
	Reason      string          `json:"reason,omitempty"` // of a failure
}

// Roster names the lives of workers that may have been given orders.
type Roster struct {
	Term  int64    `json:"term"`
	Lives []string `json:"lives"`
}

// Bits is a set of ordinals.
type Bits []byte

// Has reports whether n is in the set.
func (b Bits) Has(n int) bool { return n/8 < len(b) && b[n/8]&(1<<(n%8)) != 0 }

// With returns the set with n added.
func (b Bits) With(n int) Bits {
	c := make(Bits, max(len(b), n/8+1))
	copy(c, b)
	c[n/8] |= 1 << (n % 8)
	return c
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(j crank.StepJob) (crank.KeyedRecord, error) {
	return encode(jobPrefix+j.ID, j)
}

// CancellationRecord returns the record that cancels a job.
func CancellationRecord(id string) crank.KeyedRecord {
	return crank.KeyedRecord{Key: cancelPrefix + id, Value: []byte("{}")}
}

// ProgressRecord returns the record of a job's progress.
func ProgressRecord(id string, p Progress) (crank.KeyedRecord, error) {
	return encode(progressPrefix+id, p)
}

// RosterRecord returns the record of the roster.
func RosterRecord(r Roster) (crank.KeyedRecord, error) { return encode(rosterKey, r) }

// TermRecord returns the record that a planner's term begins with. It carries
// no state; whoever has read it has read all that earlier terms recorded.
func TermRecord(term int64) (crank.KeyedRecord, error) {
	return encode(termKey, struct {
		Term int64 `json:"term"`
	}{term})
}

// RemovalRecords returns the records that remove all that is known of a job.
func RemovalRecords(id string) []crank.KeyedRecord {
	return []crank.KeyedRecord{{Key: cancelPrefix + id}, {Key: progressPrefix + id}, {Key: jobPrefix + id}}
}

func encode(key string, v any) (crank.KeyedRecord, error) {
	value, err := json.Marshal(v)
	return crank.KeyedRecord{Key: key, Value: value}, crank.Wrap("fact encode", crank.KindInvalid, err)
}

// splitKey returns the prefix of a key and the job that it is about.
func splitKey(key string) (prefix, id string) {
	prefix, id, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return prefix + "/", id
}
