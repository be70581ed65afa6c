package crank

import (
	"context"
	"time"
)

// WorkerEntry is what a leased worker publishes about itself.
type WorkerEntry struct {
	ID       string
	Born     int64 // Unix milliseconds of the start of this life
	Pool     string
	Addr     string // IP:port
	Zone     string // availability zone
	Rack     string
	Labels   []string // its kind and its rack
	Capacity Demand
	Draining bool // it leaves soon and takes no new work
}

// RunOrder asks a worker to start a task. The order, and all that runs at the
// worker, is good until a time on the worker's own clock.
type RunOrder struct {
	Task       TaskID
	Run        int64 // number of this start of the task, rises with each
	Payload    string
	Checkpoint string // to resume from, empty for none
	Fence      int64  // number of the planner's term
	Until      int64  // milliseconds on the worker's clock
}

// StopOrder asks a worker to stop a run.
type StopOrder struct {
	Task  TaskID
	Run   int64
	Fence int64
}

// HoldOrder extends the lease of all that runs at a worker, acknowledges ends
// and asks what runs and what ended.
type HoldOrder struct {
	Fence int64
	Seen  int64         // ends up to this number may be forgotten
	Until int64         // milliseconds on the worker's clock, 0 extends nothing
	Wait  time.Duration // longest wait for an end
}

// ActiveRun is a task that runs at a worker.
type ActiveRun struct {
	Task       TaskID
	Run        int64
	Checkpoint string // newest one, empty for none
	Percent    float64
}

// EndKind says how a run ended.
type EndKind string

// Kinds of ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped" // on order
	EndLapsed  EndKind = "lapsed"  // its lease was over
	EndBroken  EndKind = "broken"  // another member of its gang ended
	EndAlone   EndKind = "alone"   // the other members of its gang did not come
)

// EndedRun is a run that ended at a worker.
type EndedRun struct {
	Number     int64 // rises during one life of the worker, from 1
	Task       TaskID
	Run        int64
	How        EndKind
	Checkpoint string // newest one, empty for none
}

// HoldReport is a worker's answer to a HoldOrder.
type HoldReport struct {
	Clock  int64 // milliseconds on the worker's clock
	Born   int64 // start of its life, 0 when it does not say
	Active []ActiveRun
	Ended  []EndedRun
}

// OrderRefusal says why a worker did not take an order.
type OrderRefusal string

// Refusals.
const (
	RefusalNone  OrderRefusal = ""
	RefusalFence OrderRefusal = "fence" // it has seen a higher fence
	RefusalOld   OrderRefusal = "old"   // it has seen an equal or higher run end
	RefusalLate  OrderRefusal = "late"  // the order's time is over on its clock
	RefusalRoom  OrderRefusal = "room"  // it does not fit
	RefusalOther OrderRefusal = "other"
)

// OrderReply is a worker's answer to a start or a stop.
type OrderReply struct {
	Clock   int64 // milliseconds on the worker's clock
	Refusal OrderRefusal
}

// LeasedWorker is the interface to a worker that runs tasks under one lease
// and one fence for the whole worker. Errors of KindUnavailable mean that the
// order had no effect, KindNotFound that this life of the worker is over, and
// others that the order may take effect, even seconds later.
type LeasedWorker interface {
	Start(ctx context.Context, o RunOrder) (OrderReply, error)
	Stop(ctx context.Context, o StopOrder) (OrderReply, error)
	Hold(ctx context.Context, o HoldOrder) (HoldReport, error)
}

// LeaseDialer returns the interface to one life of a worker.
type LeaseDialer interface {
	LeasedWorker(e WorkerEntry) LeasedWorker
}

// LeaseBounds are the platform's limits on leases and orders.
type LeaseBounds struct {
	HoldLimit   time.Duration // longest lease
	StopTime    time.Duration // longest time that a stop takes
	GangTimeout time.Duration // a gang member waits this long for the others
}

// Uptime returns the time since the machine's start, suspension included.
type Uptime func() time.Duration
