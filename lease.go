package crank

import (
	"context"
	"time"
)

// WorkerEntry is what a leased worker publishes about itself.
type WorkerEntry struct {
	ID          string
	StartTimeMs int64  // start of this incarnation, Unix milliseconds; 0 if unknown
	Pool        string // worker pool
	Addr        string // IP:port
	Zone        string // availability zone
	Rack        string
	Labels      []string // its kind and its rack, in this order
	Capacity    Demand
	Draining    bool // shuts down soon, accepts no new tasks
	// DrainLeft is the least time until a draining worker leaves, as of when it wrote the entry;
	// 0 if it is not known.
	DrainLeft time.Duration
}

// RunOrder asks a worker to start a task. Its deadline is also the new end of
// the lease of every task on the worker.
type RunOrder struct {
	Task       TaskID
	Run        int64 // increases with each start of the task
	Payload    string
	Checkpoint string // to resume from, empty for none
	Fence      int64  // fencing token: number of the planner's term
	DeadlineMs int64  // milliseconds on the worker's clock
}

// StopOrder asks a worker to stop a run.
type StopOrder struct {
	Task  TaskID
	Run   int64
	Fence int64
}

// RenewOrder is a renewal: it extends the lease of all tasks on a worker,
// acknowledges ended runs and asks for a RenewReport.
type RenewOrder struct {
	Fence        int64
	AckedThrough int64         // the worker may forget ended runs up to this number
	DeadlineMs   int64         // new end of the lease, milliseconds on the worker's clock; 0 leaves it unchanged
	Wait         time.Duration // for a run to end (long polling)
}

// ActiveRun is a run of a task in progress on a worker.
type ActiveRun struct {
	Task       TaskID
	Run        int64
	Checkpoint string  // newest one, empty for none
	Percent    float64 // 0 to 100
	Load       float64 // over the last half second: of a task with a latency target the tail of its response times in ms, of others the cores in use
}

// EndKind is the reason why a run ended.
type EndKind string

// Reasons for the end of a run.
const (
	EndDone         EndKind = "done"
	EndFailed       EndKind = "failed"
	EndStopped      EndKind = "stopped" // by a StopOrder
	EndLeaseExpired EndKind = "lapsed"  // the lease expired
	EndGangBroken   EndKind = "broken"  // another task of its gang ended
	EndGangTimeout  EndKind = "alone"   // the other tasks of its gang did not start in time
)

// EndedRun is a run that ended on a worker.
type EndedRun struct {
	Number     int64 // of the end, counts from 1 in each incarnation of the worker
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string // newest one, empty for none
}

// RenewReport lists a worker's active runs and its ended runs that are not
// acknowledged yet. Ends are listed in the order of their numbers.
type RenewReport struct {
	ClockMs     int64 // milliseconds on the worker's clock
	StartTimeMs int64 // as in WorkerEntry; 0 if not reported
	Active      []ActiveRun
	Ended       []EndedRun
	Incomplete  bool // runs or ends may be missing from the lists
	Unreadable  bool // rows of runs that can't be read are the reason, so that it may stay so
}

// OrderRefusal is the reason why a worker rejected an order.
type OrderRefusal string

// Reasons for rejecting an order.
const (
	RefusalNone       OrderRefusal = ""
	RefusalFence      OrderRefusal = "fence" // the worker has seen a higher fencing token
	RefusalStaleRun   OrderRefusal = "old"   // a run of the task with an equal or higher number has ended
	RefusalExpired    OrderRefusal = "late"  // the deadline has passed on the worker's clock
	RefusalNoCapacity OrderRefusal = "room"  // not enough free capacity
	RefusalOther      OrderRefusal = "other"
)

// OrderReply is a worker's answer to a RunOrder or StopOrder.
type OrderReply struct {
	ClockMs int64 // milliseconds on the worker's clock
	Refusal OrderRefusal
}

// LeasedWorker is one incarnation of a worker with one lease and one fencing
// token for all of its tasks. Errors of KindUnavailable and KindRefused mean that the call
// had no effect, the latter since the connection was refused, and KindNotFound that it had
// none since another worker has the address. They say nothing of what runs at the worker, and
// nothing of earlier tries of the call. KindConflict means that another incarnation under the
// same ID has answered. After others the order may take effect, even seconds later.
//
// Start and Renew take effect at this incarnation or nowhere, but that Renew may raise the
// fencing token of a later one under the same ID; its report then shows the start time of
// that one beside KindConflict. Stop may take effect at a later one.
type LeasedWorker interface {
	Start(ctx context.Context, o RunOrder) (OrderReply, error)
	Stop(ctx context.Context, o StopOrder) (OrderReply, error)
	Renew(ctx context.Context, o RenewOrder) (RenewReport, error)
}

// LeaseDialer returns the client of one incarnation of a worker.
type LeaseDialer interface {
	LeasedWorker(e WorkerEntry) LeasedWorker
}

// FleetSizer is a LeaseDialer whose connections depend on the number of workers.
type FleetSizer interface {
	// SetFleetSize tells how many workers are called from now on. Clients made before may
	// go on as they were.
	SetFleetSize(workers int)
}

// WorkerClock is a reading of the clock of a worker's incarnation.
type WorkerClock struct {
	Incarnation string `json:"worker"`
	Ms          int64  `json:"ms"`
}

// LeaseBounds are the platform's limits on leases and orders.
type LeaseBounds struct {
	MaxLease    time.Duration // longest lease
	StopTime    time.Duration // longest time that stopping a run takes
	GangTimeout time.Duration // a gang task waits this long for the others
	Heartbeat   time.Duration // between two writes of a worker's entry, 0 if it is not known
}

// Uptime returns the time since boot, including time spent suspended.
type Uptime func() time.Duration
