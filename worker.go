package crank

import (
	"context"
	"time"
)

// AttemptID identifies an attempt to run a job.
type AttemptID struct {
	Job    string `json:"job"`
	Number int    `json:"number"` // from 1
}

// Part is the portion of an attempt's tasks that runs on one worker.
type Part struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
}

// Command identifies the part that a call refers to. Token is a fencing token: a
// worker rejects a token lower than the highest one it has seen for the attempt.
// A worker with another epoch returns KindNotFound: the part does not run there
// and can no longer be started, but it may have run before the restart.
type Command struct {
	Attempt AttemptID `json:"attempt"`
	Token   Position  `json:"token"`
	Epoch   string    `json:"epoch"` // incarnation of the worker on which the part was placed
}

// Reservation asks a worker to reserve resources for a part.
type Reservation struct {
	Command
	Tasks     int           `json:"tasks"`
	Resources Resources     `json:"resources"` // for all tasks of the part
	Timeout   time.Duration `json:"lapse"`     // time until it expires, on the worker's clock
}

// Start asks a worker to run a part for which it has a reservation.
type Start struct {
	Command
	Profile       string        `json:"profile"`
	Payload       []byte        `json:"payload"`
	ReturnsAnswer bool          `json:"lead"` // this part returns the job's answer
	Lease         time.Duration `json:"lease"`
}

// PartState is the state of a part on its worker.
type PartState string

// States of a part.
const (
	PartReserved PartState = "reserved"
	PartRunning  PartState = "running"
	PartDone     PartState = "done"
	PartFailed   PartState = "failed"
	PartStopped  PartState = "stopped" // stopped after it had started
	PartFenced   PartState = "fenced"  // never ran and can't be started with any token seen so far
)

// Ended reports whether the state is final.
func (s PartState) Ended() bool {
	return s == PartDone || s == PartFailed || s == PartStopped || s == PartFenced
}

// PartStatus is a worker's report of one part.
type PartStatus struct {
	Attempt AttemptID `json:"attempt"`
	State   PartState `json:"state"`
	Digest  string    `json:"digest,omitempty"` // SHA-256 of the answer, in hex
	Size    int       `json:"size,omitempty"`   // size of the answer, bytes
	Inline  []byte    `json:"inline,omitempty"` // the answer, if it has at most MaxInlineBytes
	Detail  string    `json:"detail,omitempty"`
}

// Renewal extends the leases of the given attempts and waits for changes.
type Renewal struct {
	Attempts []AttemptID   `json:"attempts"`
	Lease    time.Duration `json:"lease"`
	Since    int64         `json:"since"` // revision of the last report, 0 for a full report
	Epoch    string        `json:"epoch"` // epoch of the last report
	Wait     time.Duration `json:"wait"`  // how long to wait for a change (long polling)
}

// Report lists the parts that changed on a worker since a revision.
type Report struct {
	Epoch    string       `json:"epoch"` // incarnation, changes when the worker restarts
	Revision int64        `json:"revision"`
	Leaving  bool         `json:"leaving"` // shutting down soon
	Parts    []PartStatus `json:"parts"`
}

// Worker is the platform's interface to a worker. Errors of KindRefused and
// KindUnavailable mean that the call had no effect; after other errors it may
// have had one.
type Worker interface {
	// Reserve reserves resources. The reservation expires if it is not started
	// in time.
	Reserve(ctx context.Context, r Reservation) error
	// Start runs a reserved part. Starting a part twice has no effect.
	Start(ctx context.Context, s Start) error
	// Fence raises the fencing token and releases the reservation. A part that
	// was never started becomes fenced and can no longer be started.
	Fence(ctx context.Context, c Command) (PartStatus, error)
	// Stop stops a running part, which first writes a checkpoint if it can.
	Stop(ctx context.Context, c Command) (PartStatus, error)
	// Renew extends leases and returns what changed.
	Renew(ctx context.Context, r Renewal) (Report, error)
	// Answer returns the answer of a completed part.
	Answer(ctx context.Context, a AttemptID) ([]byte, error)
	// Forget lets the worker delete the state and answers of ended attempts.
	Forget(ctx context.Context, attempts []AttemptID) error
}

// WorkerDialer returns the client of the worker at an address.
type WorkerDialer interface {
	Worker(addr string) Worker
}
