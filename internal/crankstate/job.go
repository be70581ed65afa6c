package crankstate

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
	JobEnded   JobState = "ended"   // the outcome is set
)

// Result says how a job with the outcome done ended.
type Result string

// Results of a job.
const (
	ResultSucceeded Result = "succeeded"
	ResultFailed    Result = "failed"
	ResultCancelled Result = "cancelled"
)

// Job is a submitted job with its current attempt and its outcome.
type Job struct {
	crank.Submission
	Position       crank.Position `json:"position"` // of the submission
	SubmittedAt    time.Time      `json:"submitted-at"`
	StartedAt      time.Time      `json:"started-at"` // when an attempt first ran
	EndedAt        time.Time      `json:"ended-at"`
	State          JobState       `json:"state"`
	Rules          crank.Profile  `json:"rules"`               // the profile in force at submission
	AttemptCount   int            `json:"placed"`              // attempts so far
	FailedAttempts int            `json:"failed"`              // attempts that ran and failed
	FailedWorkers  []string       `json:"failed-at,omitempty"` // workers where an attempt failed
	MayHaveRun     bool           `json:"may-run"`             // some part of an ended attempt may have run
	Cancelled      bool           `json:"cancelled"`
	Attempt        Attempt        `json:"attempt"` // the current or last one
	Outcome        crank.Outcome  `json:"outcome"`
	Result         Result         `json:"result"`
	Detail         string         `json:"detail"`
	Answer         Answer         `json:"answer"`
}

// Answer locates and identifies a job's answer.
type Answer struct {
	Worker string `json:"worker"`
	Digest string `json:"digest"`
	Size   int    `json:"size"`
	Inline []byte `json:"inline,omitempty"` // a small answer itself
}

// Attempt is one placement of a job.
type Attempt struct {
	Number     int               `json:"number"`
	Token      crank.Position    `json:"token"` // fencing token: position of the record that set the owner
	FirstToken crank.Position    `json:"first"` // token of the first owner
	Owner      string            `json:"owner"` // incarnation that starts it
	Parts      []Part            `json:"parts"`
	Evictions  []crank.AttemptID `json:"evicts,omitempty"` // attempts evicted for it
	Cell       string            `json:"cell"`             // guarantee cell that it claims
	Started    bool              `json:"started"`          // every part was started
	Stopping   bool              `json:"stopping"`         // its parts must be stopped
	Evicted    bool              `json:"evicted"`          // its capacity is released; its job is to be requeued
}

// Part is the share of an attempt that runs on one worker.
type Part struct {
	crank.Part
	Epoch string          `json:"epoch"` // incarnation of the worker at placement
	State crank.PartState `json:"state"` // empty until it ends
	Lost  bool            `json:"lost"`  // its worker was unreachable for longer than the lease
}

// EndedOrLost reports whether the part no longer occupies its worker.
func (p Part) EndedOrLost() bool { return p.Lost || p.State.Ended() }

// HadOneOwner reports whether the attempt was never reassigned: only its owner can
// have sent a start.
func (a Attempt) HadOneOwner() bool { return a.Token == a.FirstToken }

// ID returns the ID of the job's current or last attempt.
func (j Job) ID() crank.AttemptID {
	return crank.AttemptID{Job: j.Job, Number: j.Attempt.Number}
}

// IsActive reports whether the job is placed or running.
func (j Job) IsActive() bool { return j.State == JobPlaced || j.State == JobRunning }

// WithPart returns a copy of the job with part i of its attempt replaced.
func (j Job) WithPart(i int, p Part) Job {
	parts := append([]Part(nil), j.Attempt.Parts...)
	parts[i] = p
	j.Attempt.Parts = parts
	return j
}

// PartAt returns the index of the attempt's part on a worker, or -1.
func (j Job) PartAt(worker string) int {
	for i, p := range j.Attempt.Parts {
		if p.Worker == worker {
			return i
		}
	}
	return -1
}

func (a Attempt) allEndedOrLost() bool {
	for _, p := range a.Parts {
		if !p.EndedOrLost() {
			return false
		}
	}
	return true
}

func (a Attempt) allIn(state crank.PartState) bool {
	for _, p := range a.Parts {
		if p.State != state {
			return false
		}
	}
	return true
}

func (a Attempt) anyIn(state crank.PartState) bool {
	for _, p := range a.Parts {
		if p.State == state {
			return true
		}
	}
	return false
}

// hasLostPart reports whether a part was lost and has not reported since.
func (a Attempt) hasLostPart() bool {
	for _, p := range a.Parts {
		if p.Lost && !p.State.Ended() {
			return true
		}
	}
	return false
}
