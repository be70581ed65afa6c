package crank

import "time"

// Class is the priority class of a job: urgent jobs are placed before patient
// ones.
type Class string

// Priority classes of profiles.
const (
	ClassUrgent  Class = "urgent"
	ClassPatient Class = "patient"
)

// Profile describes a kind of job: its resources, time limits and service level
// objective. Operators declare profiles; callers name one in each request.
type Profile struct {
	Name           string        `json:"name"`
	Class          Class         `json:"class"`
	Idempotent     bool          `json:"idempotent"`
	Checkpointable bool          `json:"checkpointable"`
	Anonymous      bool          `json:"anonymous"` // callers without a key may use it
	Shape          Shape         `json:"shape"`
	RunTime        time.Duration `json:"run-time"`  // run time that the operator declares
	Deadline       time.Duration `json:"deadline"`  // time from submission after which a job is no longer started
	StopTime       time.Duration `json:"stop-time"` // longest time a task takes to stop
	Attempts       int           `json:"attempts"`  // most attempts of one job
	Objective      float64       `json:"objective"` // target share of jobs that are done within Latency
	Latency        time.Duration `json:"latency"`
}

// Stoppable reports whether a running task of the profile can be preempted
// within bound: it can resume or safely run again, and it stops in time.
func (p Profile) Stoppable(bound time.Duration) bool {
	return (p.Checkpointable || p.Idempotent) && p.StopTime <= bound
}

// Guarantee reserves capacity for a workspace: a number of cells, each large
// enough for one gang of the given shape. The workspace can claim a cell at any
// time; other jobs may borrow it until then.
type Guarantee struct {
	Shape Shape `json:"shape"`
	Cells int   `json:"cells"`
}

// Workspace is a tenant with its key, guarantees and limits.
type Workspace struct {
	Name          string      `json:"name"`
	Key           string      `json:"key"` // SHA-256 of the callers' key, in hex
	Guarantees    []Guarantee `json:"guarantees"`
	Quota         int         `json:"quota"`       // accelerators in use at once, 0 means no limit
	MaxWaiting    int         `json:"max-waiting"` // jobs in the queue at once
	RatePerSecond float64     `json:"rate-per-second"`
}

// Zone is an availability zone that operators declare.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Objective is the metric that placement optimizes.
type Objective string

// Objectives of a deployment.
const (
	ObjectiveCompletion    Objective = "completion-time"
	ObjectiveFragmentation Objective = "fragmentation"
)

// Config is the configuration that operators publish. It must not be modified
// after it is built.
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

// Profile returns the profile with the given name.
func (c Config) Profile(name string) (Profile, bool) {
	for _, p := range c.Profiles {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}

// Workspace returns the workspace with the given name.
func (c Config) Workspace(name string) (Workspace, bool) {
	for _, w := range c.Workspaces {
		if w.Name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// HasZone reports whether the configuration declares the availability zone.
func (c Config) HasZone(name string) bool {
	for _, z := range c.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// WithVersion returns a copy of the configuration with another version number.
func (c Config) WithVersion(version int) Config {
	c.Version = version
	return c
}
