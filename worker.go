package crank

import (
	"context"
	"time"
)

// AttemptID names one attempt of a job.
type AttemptID struct {
	Job    string `json:"job"`
	Number int    `json:"number"` // from 1
}

// Part is the share of an attempt that runs at one worker.
type Part struct {
	Worker string `json:"worker"`
	Tasks  int    `json:"tasks"`
}

// Command names the part that a call is about. Token fences out older
// holders: a worker refuses a token below the highest one it has seen for the
// attempt. A worker in another epoch answers with KindNotFound: the part does
// not run there and can't be started any more, but it may have run before.
type Command struct {
	Attempt AttemptID `json:"attempt"`
	Token   Position  `json:"token"`
	Epoch   string    `json:"epoch"` // life of the worker that the part was placed on
}

// Reservation asks a worker to hold resources for a part.
type Reservation struct {
	Command
	Tasks     int           `json:"tasks"`
	Resources Resources     `json:"resources"` // of the whole part
	Lapse     time.Duration `json:"lapse"`     // by the worker's own clock
}

// Start asks a worker to run a part that it holds a reservation for.
type Start struct {
	Command
	Profile string        `json:"profile"`
	Payload []byte        `json:"payload"`
	Lead    bool          `json:"lead"` // this part gives the job's answer
	Lease   time.Duration `json:"lease"`
}

// PartState is what a worker knows of a part.
type PartState string

// States of a part. A part in a state of the last line never ran and never
// will under any token seen so far.
const (
	PartReserved PartState = "reserved"
	PartRunning  PartState = "running"
	PartDone     PartState = "done"
	PartFailed   PartState = "failed"
	PartStopped  PartState = "stopped" // after it ran for some time
	PartFenced   PartState = "fenced"
)

// Ended reports whether the part runs no more.
func (s PartState) Ended() bool {
	return s == PartDone || s == PartFailed || s == PartStopped || s == PartFenced
}

// PartStatus is a worker's report of one part.
type PartStatus struct {
	Attempt AttemptID `json:"attempt"`
	State   PartState `json:"state"`
	Digest  string    `json:"digest,omitempty"` // SHA-256 of the answer, in hex
	Size    int       `json:"size,omitempty"`   // of the answer, bytes
	Inline  []byte    `json:"inline,omitempty"` // the answer, when it is short
	Detail  string    `json:"detail,omitempty"`
}

// Renewal extends the leases of the named parts and waits for changes.
type Renewal struct {
	Attempts []AttemptID   `json:"attempts"`
	Lease    time.Duration `json:"lease"`
	Since    int64         `json:"since"` // revision of the last report, 0 for all
	Epoch    string        `json:"epoch"` // of the last report
	Wait     time.Duration `json:"wait"`
}

// Report is what changed at a worker since a revision.
type Report struct {
	Epoch    string       `json:"epoch"` // changes when the worker restarts
	Revision int64        `json:"revision"`
	Leaving  bool         `json:"leaving"`
	Parts    []PartStatus `json:"parts"`
}

// Worker is the platform's interface to one worker. Errors of KindRefused and
// KindUnavailable mean that the call had no effect; other errors mean that it
// may have had.
type Worker interface {
	// Reserve holds resources until they lapse.
	Reserve(ctx context.Context, r Reservation) error
	// Start runs a reserved part. Starting a part twice has no effect.
	Start(ctx context.Context, s Start) error
	// Fence raises the token and releases a reservation. A part that was never
	// started is fenced: it can't be started any more.
	Fence(ctx context.Context, c Command) (PartStatus, error)
	// Stop ends a running part, after a checkpoint where it has one.
	Stop(ctx context.Context, c Command) (PartStatus, error)
	// Renew extends leases and returns what changed.
	Renew(ctx context.Context, r Renewal) (Report, error)
	// Answer returns the answer of a part that is done.
	Answer(ctx context.Context, a AttemptID) ([]byte, error)
	// Forget lets the worker drop what it keeps of ended attempts.
	Forget(ctx context.Context, attempts []AttemptID) error
}

// WorkerDialer returns the interface to a worker by its address.
type WorkerDialer interface {
	Worker(addr string) Worker
}
