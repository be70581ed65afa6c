package crank

import "time"

// Outcome is the answer that a caller gets about a job.
type Outcome string

// Outcomes. Pending is none yet.
const (
	OutcomePending Outcome = "pending"
	OutcomeDone    Outcome = "done"    // it ran, and its answer is whole
	OutcomeNotRun  Outcome = "not-run" // no task of it ran, and none will
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Submission is a request as an entry instance accepted it.
type Submission struct {
	Job        string    `json:"job"` // identity that the entry instance gave it
	Key        string    `json:"key,omitempty"`
	Workspace  string    `json:"workspace"`
	Profile    string    `json:"profile"`
	Payload    []byte    `json:"payload,omitempty"`
	Digest     string    `json:"digest"`      // of profile and payload
	ValidUntil time.Time `json:"valid-until"` // end of the request's identity
	Deadline   time.Time `json:"deadline"`    // a job not started by then is not run
}
