// Package crankrecord defines the records of the event stream and their
// encoding as JSON.
//
// One log entry holds one Batch. A record is a proposal: crankstate decides whether
// it takes effect when it applies it, equally on every instance. The JSON is stored,
// so field tags must not change.
package crankrecord

import (
	"encoding/json"
	"time"

	crank "cranberrycrank"
)

// Batch is the content of one log entry. Writer and Sequence identify it, so that
// only its first copy is applied.
type Batch struct {
	Writer   string    `json:"writer"`   // incarnation of an instance
	Sequence int64     `json:"sequence"` // increasing, from 1
	At       time.Time `json:"at"`       // by the writer's clock, advances the state's LogTime
	Records  []Record  `json:"records"`
}

// Record is one proposal. Exactly one field is set.
type Record struct {
	Submit    *crank.Submission `json:"submit,omitempty"`
	Cancel    *Cancel           `json:"cancel,omitempty"`
	Place     *Place            `json:"place,omitempty"`
	Reassign  *Reassign         `json:"own,omitempty"`
	Started   *Started          `json:"started,omitempty"`
	Void      *Void             `json:"void,omitempty"`
	Ended     *Ended            `json:"ended,omitempty"`
	Lost      *Lost             `json:"lost,omitempty"`
	Evict     *Evict            `json:"evict,omitempty"`
	Refuse    *Refuse           `json:"refuse,omitempty"`
	Zone      *Zone             `json:"zone,omitempty"`
	Publish   *Publish          `json:"publish,omitempty"`
	Term      *Term             `json:"term,omitempty"`
	Heartbeat *Heartbeat        `json:"pulse,omitempty"`
	Workers   *Workers          `json:"workers,omitempty"`
}

// Cancel cancels a job.
type Cancel struct {
	Job string `json:"job"`
}

// Place assigns the next attempt of a waiting job to workers.
type Place struct {
	Term      crank.Position    `json:"term"`
	Job       string            `json:"job"`
	Number    int               `json:"number"`
	Owner     string            `json:"owner"` // incarnation that starts the attempt
	Parts     []crank.Part      `json:"parts"`
	Evictions []crank.AttemptID `json:"evicts,omitempty"` // attempts to evict first
	Cell      string            `json:"cell,omitempty"`   // guarantee cell that the attempt claims
}

// Reassign moves an attempt that has not started to another owner.
type Reassign struct {
	Term    crank.Position  `json:"term"`
	Attempt crank.AttemptID `json:"attempt"`
	Owner   string          `json:"owner"`
}

// Started reports that every part of an attempt was started.
type Started struct {
	Attempt crank.AttemptID `json:"attempt"`
	Token   crank.Position  `json:"token"`
}

// Void reports that an attempt failed to start: no part was started and none can be.
// Worker caused the failure; it may be empty.
type Void struct {
	Worker  string          `json:"worker,omitempty"`
	Attempt crank.AttemptID `json:"attempt"`
	Token   crank.Position  `json:"token"`
	Reason  string          `json:"reason"`
}

// Ended reports how a part ended.
type Ended struct {
	Worker             string           `json:"worker"`
	Status             crank.PartStatus `json:"status"`
	CausedStartFailure bool             `json:"culprit,omitempty"` // the part made the start of its gang fail
}

// Lost reports that a worker was unreachable for longer than a lease or, with
// Recovered, that it answers again.
type Lost struct {
	Worker    string `json:"worker"`
	Addr      string `json:"addr"`
	Recovered bool   `json:"found,omitempty"`
}

// Evict stops an attempt and returns its job to the queue.
type Evict struct {
	Term    crank.Position  `json:"term"`
	Attempt crank.AttemptID `json:"attempt"`
	Reason  string          `json:"reason"`
}

// Refuse ends a waiting job.
type Refuse struct {
	Term   crank.Position `json:"term"`
	Job    string         `json:"job"`
	Reason string         `json:"reason"`
}

// Zone takes an availability zone out of service or brings it back. Base is the
// position of the zone's last change that the operator saw; the record is rejected
// if the zone has changed since, unless Force is set.
type Zone struct {
	Zone  string         `json:"zone"`
	Out   bool           `json:"out"`
	Base  crank.Position `json:"base"`
	Force bool           `json:"force,omitempty"`
}

// Publish replaces the configuration. It is rejected unless Base is the current
// version.
type Publish struct {
	Base   int          `json:"base"`
	Config crank.Config `json:"config"`
}

// Term claims the planner's term for Instance, or gives it up with Release.
type Term struct {
	PreviousTerm crank.Position `json:"after"` // number of the term that ends
	Instance     string         `json:"instance"`
	Release      bool           `json:"release,omitempty"`
}

// Heartbeat shows that the holder of a term is alive.
type Heartbeat struct {
	Term crank.Position `json:"term"`
}

// Workers updates the known workers from the instance list.
type Workers struct {
	Term   crank.Position   `json:"term"`
	Update []crank.Instance `json:"update,omitempty"`
	Remove []string         `json:"remove,omitempty"`
}

// Encode returns the batch as JSON.
func Encode(b Batch) ([]byte, error) {
	data, err := json.Marshal(b)
	return data, crank.Wrap("record encode", crank.KindInvalid, err)
}

// Decode parses a batch. Errors are of KindInvalid.
func Decode(data []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, crank.Wrap("record decode", crank.KindInvalid, err)
	}
	if b.Writer == "" || b.Sequence < 1 {
		return Batch{}, crank.Fail("record decode", crank.KindInvalid, "batch has no writer or sequence")
	}
	if len(b.Records) > crank.MaxBatchRecords {
		return Batch{}, crank.Fail("record decode", crank.KindInvalid, "batch has %d records, the limit is %d", len(b.Records), crank.MaxBatchRecords)
	}
	return b, nil
}
