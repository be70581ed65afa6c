package crank

import "time"

// Round is what a planning round decides on. It is not changed by a Policy.
type Round struct {
	Now        time.Time
	Objective  Objective
	Whole      bool          // every declared availability zone has a known worker
	Workers    []RoundWorker // by availability zone, rack and identity
	Waiting    []RoundJob    // by submission
	Active     []RoundAttempt
	Workspaces []RoundWorkspace
	Memory     Memory // of the round before
}

// RoundWorker is a worker as a round sees it.
type RoundWorker struct {
	ID        string
	Zone      string
	Rack      string
	Capacity  Resources
	Free      Resources // capacity less what attempts hold
	InService bool      // new work may be placed
	Draining  bool      // work that can move should move
}

// RoundJob is a waiting job.
type RoundJob struct {
	ID        string
	Workspace string
	Profile   string
	Class     Class
	Stoppable bool // may borrow from a guarantee
	Shape     Shape
	Submitted time.Time
	Deadline  time.Time
	RunTime   time.Duration // predicted
	Avoid     []string      // workers where it failed
}

// RoundAttempt is an attempt that holds workers.
type RoundAttempt struct {
	ID        AttemptID
	Workspace string
	Class     Class
	Stoppable bool
	Movable   bool // can continue elsewhere from a checkpoint
	Stopping  bool // frees its workers soon
	Cell      string
	Shape     Shape
	Parts     []Part
	Placed    time.Time
	RunTime   time.Duration // predicted, from Placed
}

// RoundWorkspace is a workspace with its limits.
type RoundWorkspace struct {
	Name       string
	Guarantees []Guarantee
	Quota      int // accelerators, 0 for no limit
}

// Memory is what a policy carries from one round to the next. A policy works
// without it, as after a change of the planner.
type Memory struct {
	Bindings []Binding
	Holds    []Hold
}

// Binding says where a free cell of a guarantee could be claimed.
type Binding struct {
	Cell  string
	Parts []Part
}

// Hold keeps a domain free for a large job.
type Hold struct {
	Job     string
	Workers []string
	Since   time.Time
}

// Decisions is the result of a round.
type Decisions struct {
	Places []Placement
	Evicts []Eviction
	Refuse []Refusal
	Waits  []Wait   // why each other job waits
	AtRisk []string // cells that can't be claimed now
	Memory Memory
}

// Placement starts a waiting job. The evicted attempts make room for it.
type Placement struct {
	Job    string
	Parts  []Part
	Evicts []AttemptID
	Cell   string
}

// Eviction stops an attempt whose job goes back into the queue.
type Eviction struct {
	Attempt AttemptID
	Reason  string
}

// Refusal ends a job that can never run.
type Refusal struct {
	Job    string
	Reason string
}

// Wait says why a job waits.
type Wait struct {
	Job    string
	Reason string
}

// Policy decides which jobs run where. Plan is a pure function.
type Policy interface {
	Plan(Round) Decisions
}
