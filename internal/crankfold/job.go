package crankfold

import (
	"time"

	crank "cranberrycrank"
)

// JobState is the stage of a job.
type JobState string

// States of a job.
const (
	JobWaiting JobState = "waiting" // in the queue
	JobPlaced  JobState = "placed"  // an attempt is being started
	JobRunning JobState = "running" // every part of an attempt was started
	JobEnded   JobState = "ended"   // it has an outcome
)

// Result refines the outcome done.
type Result string

// Results of a job.
const (
	ResultSucceeded Result = "succeeded"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
)

// Job is a request and all that was decided about it.
type Job struct {
	crank.Submission
	Position    crank.Position `json:"position"` // of the submission
	SubmittedAt time.Time      `json:"submitted-at"`
	StartedAt   time.Time      `json:"started-at"` // of the first start
	EndedAt     time.Time      `json:"ended-at"`
	State       JobState       `json:"state"`
	Rules       crank.Profile  `json:"rules"`               // the profile in force at submission
	Placed      int            `json:"placed"`              // attempts so far
	Failed      int            `json:"failed"`              // attempts that ran and failed
	FailedAt    []string       `json:"failed-at,omitempty"` // workers where it failed
	MayRun      bool           `json:"may-run"`             // some part of an ended attempt may have run
	Cancelled   bool           `json:"cancelled"`
	Attempt     Attempt        `json:"attempt"` // the current one, or the last
	Outcome     crank.Outcome  `json:"outcome"`
	Result      Result         `json:"result"`
	Detail      string         `json:"detail"`
	Answer      Answer         `json:"answer"`
}

// Answer says where the answer of a job is and what its digest must be.
type Answer struct {
	Worker string `json:"worker"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
	Inline []byte `json:"inline,omitempty"`
}

// Attempt is one placement of a job.
type Attempt struct {
	Number   int               `json:"number"`
	Token    crank.Position    `json:"token"`
	First    crank.Position    `json:"first"` // token of the first owner
	Owner    string            `json:"owner"`
	Parts    []Part            `json:"parts"`
	Evicts   []crank.AttemptID `json:"evicts,omitempty"`
	Cell     string            `json:"cell"`
	Started  bool              `json:"started"`
	Stopping bool              `json:"stopping"` // its parts are to be stopped
	Evicted  bool              `json:"evicted"`  // its job goes back into the queue
}

// Part is a part of an attempt with the state it ended in, if it has.
type Part struct {
	crank.Part
	Epoch string          `json:"epoch"` // life of the worker that it was placed on
	State crank.PartState `json:"state"` // empty until it ended
	Lost  bool            `json:"lost"`  // its worker was out of reach beyond the lease
}

// Over reports whether nothing more is expected of the part.
func (p Part) Over() bool { return p.Lost || p.State.Ended() }

// HadOneOwner reports whether no instance but the current owner can have sent
// a start.
func (a Attempt) HadOneOwner() bool { return a.Token == a.First }

// ID returns the identity of the job's current attempt.
func (j Job) ID() crank.AttemptID {
	return crank.AttemptID{Job: j.Job, Number: j.Attempt.Number}
}

// Holds reports whether the job's current attempt occupies workers.
func (j Job) Holds() bool { return j.State == JobPlaced || j.State == JobRunning }

// WithPart returns the job with a part of its attempt replaced.
func (j Job) WithPart(i int, p Part) Job {
	parts := append([]Part(nil), j.Attempt.Parts...)
	parts[i] = p
	j.Attempt.Parts = parts
	return j
}

// PartAt returns the index of the part at a worker, or -1.
func (j Job) PartAt(worker string) int {
	for i, p := range j.Attempt.Parts {
		if p.Worker == worker {
			return i
		}
	}
	return -1
}

// over reports whether every part of the attempt is over.
func (a Attempt) over() bool {
	for _, p := range a.Parts {
		if !p.Over() {
			return false
		}
	}
	return true
}

// all reports whether every part ended in a state.
func (a Attempt) all(state crank.PartState) bool {
	for _, p := range a.Parts {
		if p.State != state {
			return false
		}
	}
	return true
}

// any reports whether some part ended in a state.
func (a Attempt) any(state crank.PartState) bool {
	for _, p := range a.Parts {
		if p.State == state {
			return true
		}
	}
	return false
}

// lost reports whether the fate of some part is not known.
func (a Attempt) lost() bool {
	for _, p := range a.Parts {
		if p.Lost && !p.State.Ended() {
			return true
		}
	}
	return false
}
