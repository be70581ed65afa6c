package crank

import "time"

// Round is the input of a planning round. A Policy must not modify it.
type Round struct {
	Now           time.Time
	Objective     Objective
	AllZonesKnown bool          // every declared availability zone has a known worker
	Workers       []RoundWorker // sorted by availability zone, rack and ID
	Waiting       []RoundJob    // sorted by time of submission
	Active        []RoundAttempt
	Workspaces    []RoundWorkspace
	PolicyState   PolicyState // from the previous round
}

// RoundWorker is a worker in a planning round.
type RoundWorker struct {
	ID        string
	Zone      string
	Rack      string
	Capacity  Resources
	Free      Resources // capacity minus what attempts occupy
	InService bool      // accepts new attempts
	Draining  bool      // movable attempts should leave it
}

// RoundJob is a waiting job.
type RoundJob struct {
	ID        string
	Workspace string
	Profile   string
	Class     Class
	Stoppable bool // preemptible, so it may borrow a guarantee cell
	Shape     Shape
	Submitted time.Time
	Deadline  time.Time
	RunTime   time.Duration // predicted
	Avoid     []string      // workers where it failed
}

// RoundAttempt is an attempt that occupies workers.
type RoundAttempt struct {
	ID        AttemptID
	Workspace string
	Class     Class
	Stoppable bool   // preemptible
	Movable   bool   // can resume elsewhere from a checkpoint
	Stopping  bool   // frees its workers soon
	Cell      string // guarantee cell that it claimed, empty for none
	Shape     Shape
	Parts     []Part
	Placed    time.Time
	RunTime   time.Duration // predicted, from Placed
}

// RoundWorkspace is a workspace in a planning round.
type RoundWorkspace struct {
	Name       string
	Guarantees []Guarantee
	Quota      int // accelerators in use at once, 0 for no limit
}

// PolicyState is what a policy carries from one round to the next. A policy must
// work without it, as after another instance takes over the term.
type PolicyState struct {
	Bindings []Binding
	Holds    []Hold
}

// Binding assigns a free guarantee cell to workers with capacity for it.
type Binding struct {
	Cell  string
	Parts []Part
}

// Hold reserves the workers of a domain for a large waiting job.
type Hold struct {
	Job     string
	Workers []string
	Since   time.Time
}

// Decisions is the result of a planning round.
type Decisions struct {
	Placements  []Placement
	Evictions   []Eviction
	Refusals    []Refusal
	Waits       []Wait   // for each job that stays in the queue
	CellsAtRisk []string // guarantee cells that can't be claimed now
	PolicyState PolicyState
}

// Placement starts a waiting job.
type Placement struct {
	Job       string
	Parts     []Part
	Evictions []AttemptID // attempts to preempt first
	Cell      string      // guarantee cell that it claims, empty for none
}

// Eviction stops an attempt and returns its job to the queue.
type Eviction struct {
	Attempt AttemptID
	Reason  string
}

// Refusal rejects a job that can never be placed.
type Refusal struct {
	Job    string
	Reason string
}

// Wait says why a job stays in the queue.
type Wait struct {
	Job    string
	Reason string
}

// Policy is a placement policy. Plan must be a pure function of the round.
type Policy interface {
	Plan(Round) Decisions
}
