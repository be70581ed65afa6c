package crank

import "context"

// Role distinguishes the kinds of instances.
type Role string

// Roles of instances.
const (
	RoleEntry  Role = "entry"  // runs this program
	RoleWorker Role = "worker" // runs tasks
)

// Instance is a row of the platform's instance list.
type Instance struct {
	ID       string    `json:"id"`
	Role     Role      `json:"role"`
	Addr     string    `json:"addr"` // IP:port
	Zone     string    `json:"zone"` // availability zone
	Rack     string    `json:"rack"`
	Epoch    string    `json:"epoch"`   // incarnation, changes with every restart
	Leaving  bool      `json:"leaving"` // shuts down soon
	Capacity Resources `json:"capacity"`
}

// InstanceList is the platform's list of live instances. It is eventually
// consistent: it may miss recent starts and failures.
type InstanceList interface {
	// Instances returns the live instances.
	Instances(ctx context.Context) ([]Instance, error)
}
