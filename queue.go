package crank

import (
	"strings"
	"time"
)

// Queue routes the jobs that callers submit under a host and a path prefix to a
// pool of workers.
type Queue struct {
	Name          string
	Host          string
	Prefix        string
	Pool          string        // workers that run its tasks
	Public        bool          // callers need no key
	Priority      int           // 0 is the most urgent and may preempt others
	Attempts      int           // failed runs of one task after which its job fails
	SlackFactor   float64       // multiplies the critical path in a job's completion target
	TargetLatency time.Duration // constant part of a job's completion target
	NeedsAdvisor  bool          // only an external advisor knows which workers may run a step; not supported, submissions are rejected
}

// QueueWorkspace is a tenant in a QueueConfig.
type QueueWorkspace struct {
	Name       string
	Keys       []string // callers' keys
	Guaranteed int      // accelerators for its jobs of priority 0
}

// RequestLimits limit callers' HTTP requests.
type RequestLimits struct {
	HeaderBytes   int           // all header fields, 0 for no limit
	BodyBytes     int           // 0 for no limit
	HeaderTimeout time.Duration // for reading the header; not applied
	IdleTimeout   time.Duration // between the requests of a connection; not applied
}

// QueueConfig is the configuration that operators publish in the store.
type QueueConfig struct {
	Version    int64 // 0 before the first publication
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

// WorkspaceByKey returns the workspace that a caller's key belongs to.
func (c QueueConfig) WorkspaceByKey(key string) (QueueWorkspace, bool) {
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

// Guaranteed returns the number of accelerators guaranteed to a workspace.
func (c QueueConfig) Guaranteed(workspace string) int {
	for _, w := range c.Workspaces {
		if w.Name == workspace {
			return w.Guaranteed
		}
	}
	return 0
}

// OperatorRecord is a decoded record of OperatorTopic. At most one field is set,
// and none for a record of unknown kind.
type OperatorRecord struct {
	Config       *QueueConfig
	EvacuateZone string // availability zone to take out of service
}
