// Package crankrecord defines the records of the event stream and their
// encoding as JSON.
//
// One log entry carries one Batch. A record is a proposal: whether it takes
// effect is decided by crankfold when it is applied, equally at all instances.
package crankrecord

import (
	"encoding/json"
	"time"

	crank "cranberrycrank"
)

// Batch is what one append carries. Writer and Sequence identify it, so that
// the second of two equal appends can be dropped.
type Batch struct {
	Writer   string    `json:"writer"`   // one life of one instance
	Sequence int64     `json:"sequence"` // from 1, growing
	At       time.Time `json:"at"`       // by the writer's clock, informative
	Records  []Record  `json:"records"`
}

// Record is one proposal. Exactly one field is set.
type Record struct {
	Submit  *crank.Submission `json:"submit,omitempty"`
	Cancel  *Cancel           `json:"cancel,omitempty"`
	Place   *Place            `json:"place,omitempty"`
	Own     *Own              `json:"own,omitempty"`
	Started *Started          `json:"started,omitempty"`
	Void    *Void             `json:"void,omitempty"`
	Ended   *Ended            `json:"ended,omitempty"`
	Lost    *Lost             `json:"lost,omitempty"`
	Evict   *Evict            `json:"evict,omitempty"`
	Refuse  *Refuse           `json:"refuse,omitempty"`
	Zone    *Zone             `json:"zone,omitempty"`
	Publish *Publish          `json:"publish,omitempty"`
	Term    *Term             `json:"term,omitempty"`
	Pulse   *Pulse            `json:"pulse,omitempty"`
	Workers *Workers          `json:"workers,omitempty"`
}

// Cancel asks to end a job.
type Cancel struct {
	Job string `json:"job"`
}

// Place assigns the next attempt of a waiting job to workers.
type Place struct {
	Term   crank.Position    `json:"term"`
	Job    string            `json:"job"`
	Number int               `json:"number"`
	Owner  string            `json:"owner"` // instance that starts the attempt
	Parts  []crank.Part      `json:"parts"`
	Evicts []crank.AttemptID `json:"evicts,omitempty"` // attempts that make room
	Cell   string            `json:"cell,omitempty"`   // guarantee cell that the attempt claims
}

// Own gives an attempt that has not started to another instance.
type Own struct {
	Term    crank.Position  `json:"term"`
	Attempt crank.AttemptID `json:"attempt"`
	Owner   string          `json:"owner"`
}

// Started says that every part of an attempt was started.
type Started struct {
	Attempt crank.AttemptID `json:"attempt"`
	Token   crank.Position  `json:"token"`
}

// Void says that no part of an attempt was started and none can be. Worker is
// the one that was the cause, if one was.
type Void struct {
	Worker  string          `json:"worker,omitempty"`
	Attempt crank.AttemptID `json:"attempt"`
	Token   crank.Position  `json:"token"`
	Reason  string          `json:"reason"`
}

// Ended says how a part ended. Culprit means that the part made the start of
// its gang fail.
type Ended struct {
	Worker  string           `json:"worker"`
	Status  crank.PartStatus `json:"status"`
	Culprit bool             `json:"culprit,omitempty"`
}

// Lost says that a worker was out of reach for longer than a lease, or with
// Found that it answers again.
type Lost struct {
	Worker string `json:"worker"`
	Addr   string `json:"addr"`
	Found  bool   `json:"found,omitempty"`
}

// Evict stops an attempt and puts its job back into the queue.
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

// Zone takes an availability zone out of service or brings it back. Base is
// the position of the zone's last change; with Force it is not compared.
type Zone struct {
	Zone  string         `json:"zone"`
	Out   bool           `json:"out"`
	Base  crank.Position `json:"base"`
	Force bool           `json:"force,omitempty"`
}

// Publish replaces the configuration of version Base.
type Publish struct {
	Base   int          `json:"base"`
	Config crank.Config `json:"config"`
}

// Term claims the planner's role, or gives it up with Release.
type Term struct {
	After    crank.Position `json:"after"` // the term that ends
	Instance string         `json:"instance"`
	Release  bool           `json:"release,omitempty"`
}

// Pulse shows that the holder of a term is alive.
type Pulse struct {
	Term crank.Position `json:"term"`
}

// Workers updates what is known of workers from the instance list.
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
