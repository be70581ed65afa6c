package crank

import "context"

// Role says what an instance does.
type Role string

// Roles of instances.
const (
	RoleEntry  Role = "entry"  // runs this program
	RoleWorker Role = "worker" // runs tasks
)

// Instance is one line of the platform's instance list.
type Instance struct {
	ID       string    `json:"id"`
	Role     Role      `json:"role"`
	Addr     string    `json:"addr"` // IP:port
	Zone     string    `json:"zone"` // availability zone
	Rack     string    `json:"rack"`
	Epoch    string    `json:"epoch"` // one life of the instance, changes with every restart
	Leaving  bool      `json:"leaving"`
	Capacity Resources `json:"capacity"`
}

// List is the platform's list of live instances. It lags behind the truth.
type List interface {
	// Instances returns the live instances.
	Instances(ctx context.Context) ([]Instance, error)
}
