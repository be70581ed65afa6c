// Package crankapi defines the JSON bodies and the headers of the HTTP API.
package crankapi

import (
	"time"

	crank "cranberrycrank"
)

// Request and response headers.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderValidUntil     = "Crank-Valid-Until" // RFC 3339
	HeaderDeadline       = "Crank-Deadline"    // RFC 3339
	HeaderWorkspace      = "Crank-Workspace"   // of an anonymous caller
	HeaderDigest         = "Crank-Digest"      // SHA-256 of an answer, in hex
)

// Job describes a job to its caller.
type Job struct {
	ID        string        `json:"id"`
	Workspace string        `json:"workspace"`
	Profile   string        `json:"profile"`
	State     string        `json:"state"` // waiting, placed, running or ended
	Outcome   crank.Outcome `json:"outcome"`
	Result    string        `json:"result,omitempty"` // set for the outcome done
	Detail    string        `json:"detail,omitempty"`
	Digest    string        `json:"digest,omitempty"` // of the answer
	Size      int           `json:"size,omitempty"`   // of the answer, bytes
	Submitted time.Time     `json:"submitted"`
	Repeated  bool          `json:"repeated,omitempty"` // an earlier submission had the same key
}

// JobDetail describes a job to an operator.
type JobDetail struct {
	Job
	Attempts int          `json:"attempts"`
	Parts    []crank.Part `json:"parts,omitempty"`
	Cell     string       `json:"cell,omitempty"`
	Owner    string       `json:"owner,omitempty"`
	Explain  string       `json:"explain"`
}

// PublishedConfig is the configuration in force, with its history.
type PublishedConfig struct {
	Version int             `json:"version"`
	Config  crank.Config    `json:"config"`
	History []ConfigVersion `json:"history"`
}

// ConfigVersion is one publication of the configuration.
type ConfigVersion struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	By      string    `json:"by"`
}

// PublishRequest replaces the configuration if version Base is in force.
type PublishRequest struct {
	Base   int          `json:"base"`
	DryRun bool         `json:"dry-run,omitempty"` // validate without publishing
	Files  []crank.File `json:"files"`
}

// Confirmation lists the entry instances that have applied a change, and those
// that have not confirmed it.
type Confirmation struct {
	Version int      `json:"version,omitempty"`
	Applied []string `json:"applied"`
	Missing []string `json:"missing"`
}

// Zone is the service state of an availability zone. Base identifies its last
// change.
type Zone struct {
	Name    string         `json:"name"`
	Out     bool           `json:"out"`
	Base    crank.Position `json:"base"`
	Workers int            `json:"workers"`
	Running int            `json:"running"` // parts on its workers
}

// ZoneRequest takes a zone out of service or brings it back if Base identifies
// its last change.
type ZoneRequest struct {
	Out   bool           `json:"out"`
	Base  crank.Position `json:"base"`
	Force bool           `json:"force"` // do not compare Base
}

// Worker describes a worker to an operator.
type Worker struct {
	ID       string          `json:"id"`
	Zone     string          `json:"zone"`
	Rack     string          `json:"rack"`
	State    string          `json:"state"`
	Capacity crank.Resources `json:"capacity"`
	Free     crank.Resources `json:"free"`
	Parts    int             `json:"parts"`
	Failures int             `json:"failures"`
}

// BurnReport holds the burn rates of all error budgets.
type BurnReport struct {
	At     time.Time  `json:"at"`
	Lines  []BurnLine `json:"lines"`
	AtRisk []string   `json:"cells-at-risk"` // guarantee cells that can't be claimed now
}

// BurnLine holds the burn rates of one profile in one workspace.
type BurnLine struct {
	Profile   string       `json:"profile"`
	Workspace string       `json:"workspace"`
	Objective float64      `json:"objective"`
	Windows   []BurnWindow `json:"windows"`
	Alert     string       `json:"alert,omitempty"` // page or ticket
}

// BurnWindow holds the job counts and the burn rate of one window. A rate of 1
// spends exactly the error budget.
type BurnWindow struct {
	Minutes int     `json:"minutes"`
	Total   int     `json:"total"`
	Missed  int     `json:"missed"`
	Rate    float64 `json:"rate"`
}
