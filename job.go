package crank

import "time"

// Outcome tells a caller whether a job ran.
type Outcome string

// Outcomes of a job.
const (
	OutcomePending Outcome = "pending" // not decided yet
	OutcomeDone    Outcome = "done"    // it ran, and its answer is complete
	OutcomeNotRun  Outcome = "not-run" // none of its tasks ran or ever will
	OutcomeUnknown Outcome = "unknown" // it may have run
)

// Submission is a request that an entry instance accepted.
type Submission struct {
	Job        string    `json:"job"`           // ID from the entry instance
	Key        string    `json:"key,omitempty"` // idempotency key
	Workspace  string    `json:"workspace"`
	Profile    string    `json:"profile"`
	Payload    []byte    `json:"payload,omitempty"`
	Digest     string    `json:"digest"`      // of profile and payload, to detect a key reused for another request
	ValidUntil time.Time `json:"valid-until"` // until then a repeated key returns the same job
	Deadline   time.Time `json:"deadline"`    // a job not started by then is not run
}
