package crank

import (
	"strings"
	"time"
)

// Queue is a published route to workers: the jobs that callers hand in at a
// host and a path prefix.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Pool     string // workers that run its tasks
	Public   bool   // callers need no key
	Priority int    // 0 is the most urgent and may preempt others
	Attempts int    // failed runs of a task until its job fails
	Slack    float64
	Target   time.Duration
	Advised  bool // only an advisor knows which workers may run a step
}

// QueueWorkspace is a tenant of the queues.
type QueueWorkspace struct {
	Name       string
	Keys       []string
	Guaranteed int // accelerators for its jobs of priority 0
}

// RequestLimits bind what callers send.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// QueueConfig is a whole published configuration.
type QueueConfig struct {
	Version    int64 // 0 before the first
	Queues     []Queue
	Workspaces []QueueWorkspace
	Limits     RequestLimits
}

// Match returns the queue of a host with the longest prefix of a path.
func (c QueueConfig) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// Queue returns the queue with a name.
func (c QueueConfig) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// KeyHolder returns the workspace that a caller's key belongs to.
func (c QueueConfig) KeyHolder(key string) (QueueWorkspace, bool) {
	if key == "" {
		return QueueWorkspace{}, false
	}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if k == key {
				return w, true
			}
		}
	}
	return QueueWorkspace{}, false
}

// Guaranteed returns the accelerators that belong to a workspace.
func (c QueueConfig) Guaranteed(workspace string) int {
	for _, w := range c.Workspaces {
		if w.Name == workspace {
			return w.Guaranteed
		}
	}
	return 0
}

// OperatorRecord is a decoded record of the operator's topic. At most one
// field is set; an order of no known kind sets none.
type OperatorRecord struct {
	Config       *QueueConfig
	EvacuateZone string
}
