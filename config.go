package crank

import "time"

// Class is a priority class: urgent jobs are placed before patient ones.
type Class string

// Priority classes of profiles.
const (
	ClassUrgent  Class = "urgent"
	ClassPatient Class = "patient"
)

// Profile is a kind of job that operators declare and callers name in requests.
type Profile struct {
	Name           string        `json:"name"`
	Class          Class         `json:"class"`
	Idempotent     bool          `json:"idempotent"`
	Checkpointable bool          `json:"checkpointable"`
	Anonymous      bool          `json:"anonymous"` // callers without a key may use it
	Shape          Shape         `json:"shape"`
	RunTime        time.Duration `json:"run-time"`  // declared by the operator
	Deadline       time.Duration `json:"deadline"`  // from submission; a job not started by then is not run
	StopTime       time.Duration `json:"stop-time"` // longest time that stopping a task takes
	Attempts       int           `json:"attempts"`  // most attempts of one job
	Objective      float64       `json:"objective"` // share of jobs that must be done within Latency
	Latency        time.Duration `json:"latency"`
}

// Stoppable reports whether a running task of the profile can be preempted
// within bound: it can resume or run again, and it stops in time.
func (p Profile) Stoppable(bound time.Duration) bool {
	return (p.Checkpointable || p.Idempotent) && p.StopTime <= bound
}

// Guarantee is a number of cells that a workspace can claim at any time, each
// with capacity for one gang of the shape. Until then other jobs may borrow them.
type Guarantee struct {
	Shape Shape `json:"shape"`
	Cells int   `json:"cells"`
}

// Workspace is a tenant with its key, guarantees and limits.
type Workspace struct {
	Name          string      `json:"name"`
	Key           string      `json:"key"` // SHA-256 of the callers' key, in hex
	Guarantees    []Guarantee `json:"guarantees"`
	Quota         int         `json:"quota"`       // accelerators in use at once, 0 for no limit
	MaxWaiting    int         `json:"max-waiting"` // waiting jobs at once
	RatePerSecond float64     `json:"rate-per-second"`
}

// Zone is an availability zone that operators declare.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Objective is the measure that placement optimizes.
type Objective string

// Objectives of a deployment.
const (
	ObjectiveCompletion    Objective = "completion-time"
	ObjectiveFragmentation Objective = "fragmentation"
)

// Config is the configuration that operators publish. It is immutable.
type Config struct {
	Version    int         `json:"version"` // 0 before the first publication
	Objective  Objective   `json:"objective"`
	Zones      []Zone      `json:"zones"`
	Profiles   []Profile   `json:"profiles"`
	Workspaces []Workspace `json:"workspaces"`
	Files      []File      `json:"files"` // source files
}

// File is one file of a configuration directory.
type File struct {
	Name string `json:"name"`
	Text string `json:"text"`
}

// Profile returns the profile with a name.
func (c Config) Profile(name string) (Profile, bool) {
	for _, p := range c.Profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Workspace returns the workspace with a name.
func (c Config) Workspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// HasZone reports whether an availability zone is declared.
func (c Config) HasZone(name string) bool {
	for _, z := range c.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// WithVersion returns a copy with another version number.
func (c Config) WithVersion(version int) Config {
	c.Version = version
	return c
}
