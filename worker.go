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

// Part is the portion of an attempt that runs on one worker.
type Part struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
}

// Command identifies the part of a call. Token is a fencing token: a worker
// rejects one below the highest that it has seen for the attempt. A worker with
// another epoch returns KindNotFound: the part does not run there and can no
// longer be started, but it may have run before the restart. A worker with another
// ID, which has got the address, returns KindUnavailable: it knows nothing of the part.
type Command struct {
	Worker  string    `json:"worker,omitempty"` // ID of the worker that is meant
	Attempt AttemptID `json:"attempt"`
	Token   Position  `json:"token"`
	Epoch   string    `json:"epoch"` // incarnation of the worker that the part was placed on
}

// Reservation asks a worker to reserve resources for a part.
type Reservation struct {
	Command
	Tasks     int           `json:"tasks"`
	Resources Resources     `json:"resources"` // of the whole part
	Timeout   time.Duration `json:"lapse"`     // on the worker's clock
}

// Start asks a worker to run a reserved part.
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
	PartFenced   PartState = "fenced"  // never ran and never will under any token seen so far
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
	Size    int       `json:"size,omitempty"`   // of the answer, bytes
	Inline  []byte    `json:"inline,omitempty"` // the answer, if it has at most MaxInlineBytes
	Detail  string    `json:"detail,omitempty"`
}

// Renewal extends the leases of attempts and waits for changes. A worker with another ID
// returns KindUnavailable.
type Renewal struct {
	Worker   string        `json:"worker,omitempty"` // ID of the worker that is meant
	Attempts []AttemptID   `json:"attempts"`
	Lease    time.Duration `json:"lease"`
	Since    int64         `json:"since"` // revision of the last report, 0 for all parts
	Epoch    string        `json:"epoch"` // of the last report
	Wait     time.Duration `json:"wait"`  // for a change (long polling)
}

// AnswerRequest asks a worker for the answer of a part. A worker with another ID returns
// KindUnavailable.
type AnswerRequest struct {
	AttemptID
	Worker string `json:"worker,omitempty"` // ID of the worker that is meant
}

// Report lists the parts that changed on a worker since a revision.
type Report struct {
	Epoch    string       `json:"epoch"` // incarnation, changes when the worker restarts
	Revision int64        `json:"revision"`
	Leaving  bool         `json:"leaving"` // shuts down soon
	Parts    []PartStatus `json:"parts"`
}

// Worker is the platform's interface to a worker. Errors of KindRefused and
// KindUnavailable mean that the call had no effect; after other errors it may
// have had one.
type Worker interface {
	// Reserve reserves resources until the timeout.
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
	// Answer returns the answer of a completed part. KindNotFound means that the worker
	// that is meant does not keep it.
	Answer(ctx context.Context, r AnswerRequest) ([]byte, error)
	// Forget lets the worker delete the state and answers of ended attempts.
	Forget(ctx context.Context, attempts []AttemptID) error
}

// WorkerDialer returns the client of the worker at an address.
type WorkerDialer interface {
	Worker(addr string) Worker
}
