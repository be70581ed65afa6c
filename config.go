package crank

import "time"

// Class orders jobs: urgent work goes before patient work.
type Class string

// Classes of profiles.
const (
	ClassUrgent  Class = "urgent"
	ClassPatient Class = "patient"
)

// Profile describes a kind of work.
type Profile struct {
	Name           string        `json:"name"`
	Class          Class         `json:"class"`
	Idempotent     bool          `json:"idempotent"`
	Checkpointable bool          `json:"checkpointable"`
	Anonymous      bool          `json:"anonymous"` // callers without a key may use it
	Shape          Shape         `json:"shape"`
	RunTime        time.Duration `json:"run-time"` // declared
	Deadline       time.Duration `json:"deadline"` // from submission; a job not started by then is not run
	StopTime       time.Duration `json:"stop-time"`
	Attempts       int           `json:"attempts"`
	Objective      float64       `json:"objective"` // share of jobs done within Latency
	Latency        time.Duration `json:"latency"`
}

// Stoppable reports whether a running task of the profile may be stopped
// within bound to give its place to another job.
func (p Profile) Stoppable(bound time.Duration) bool {
	return (p.Checkpointable || p.Idempotent) && p.StopTime <= bound
}

// Guarantee is a number of cells of one shape that a workspace can claim.
type Guarantee struct {
	Shape Shape `json:"shape"`
	Cells int   `json:"cells"`
}

// Workspace is a tenant.
type Workspace struct {
	Name          string      `json:"name"`
	Key           string      `json:"key"` // SHA-256 of the callers' key, in hex
	Guarantees    []Guarantee `json:"guarantees"`
	Quota         int         `json:"quota"`       // accelerators in use at once, 0 for no limit
	MaxWaiting    int         `json:"max-waiting"` // jobs waiting at once
	RatePerSecond float64     `json:"rate-per-second"`
}

// Zone is an availability zone as the operators declare it.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// Objective says which measure placement favours.
type Objective string

// Objectives of a deployment.
const (
	ObjectiveCompletion    Objective = "completion-time"
	ObjectiveFragmentation Objective = "fragmentation"
)

// Config is what operators publish. It is immutable once built.
type Config struct {
	Version    int         `json:"version"` // 0 before the first publication
	Objective  Objective   `json:"objective"`
	Zones      []Zone      `json:"zones"`
	Profiles   []Profile   `json:"profiles"`
	Workspaces []Workspace `json:"workspaces"`
	Files      []File      `json:"files"` // what it was read from
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

// HasZone reports whether the configuration declares an availability zone.
func (c Config) HasZone(name string) bool {
	for _, z := range c.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}

// WithVersion returns the configuration under another version number.
func (c Config) WithVersion(version int) Config {
	c.Version = version
	return c
}
