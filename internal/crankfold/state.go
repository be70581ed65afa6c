// Package crankfold computes the state that all instances share from the
// records of the event stream.
//
// Applying a record is a pure function of the state and the record: it reads
// no clock, no instance list and no usage report, so all instances come to the
// same state and the same verdict on every proposal.
package crankfold

import (
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// State is an immutable snapshot of everything that was decided up to a
// position. It can be shared between goroutines.
type State struct {
	Next    crank.Offset // offset of the first entry that is not applied
	Horizon time.Time    // latest time that any applied batch carried
	Term    Term
	Config  crank.Config
	History []Publication // newest last, at most historyLength

	zones       *immutable.SortedMap[string, Zone]
	jobs        *immutable.Map[string, Job]
	keys        *immutable.Map[string, string]               // workspace and key to job
	queue       *immutable.SortedMap[crank.Position, string] // waiting jobs
	active      *immutable.SortedMap[crank.Position, string] // placed and running jobs
	ended       *immutable.SortedMap[crank.Position, string] // ended jobs that are still kept
	workers     *immutable.SortedMap[string, Worker]
	writers     *immutable.Map[string, Writer]
	usage       *immutable.Map[string, Usage] // by workspace
	burn        *immutable.SortedMap[string, []BurnBucket]
	corrections *immutable.SortedMap[string, float64] // of run times, by profile, as logarithms
}

// Term is the planner's role as it was last claimed.
type Term struct {
	Number   crank.Position `json:"number"` // position of the claim, 0 for none
	Instance string         `json:"instance"`
	Pulses   int64          `json:"pulses"` // grows with every sign of life
}

// Publication is one accepted change of the configuration.
type Publication struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	By      string    `json:"by"`
}

// Zone is the service state of an availability zone.
type Zone struct {
	Name    string         `json:"name"`
	Out     bool           `json:"out"`
	Changed crank.Position `json:"changed"`
}

// Worker is what is known of a worker and what was placed on it.
type Worker struct {
	crank.Instance
	Gone       bool              `json:"gone"` // no longer listed
	Used       crank.Resources   `json:"used"` // by attempts that are not being stopped
	Attempts   []crank.AttemptID `json:"attempts"`
	Failures   int               `json:"failures"` // since the last success
	LastFailed string            `json:"last-failed"`
	AsideUntil time.Time         `json:"aside-until"`
	Lost       bool              `json:"lost"`
}

// Free returns what is not placed on.
func (w Worker) Free() crank.Resources { return w.Capacity.Minus(w.Used) }

// Writer is the last batch that was applied of a log writer.
type Writer struct {
	Sequence int64     `json:"sequence"`
	At       time.Time `json:"at"`
}

// Usage counts the jobs of a workspace.
type Usage struct {
	Waiting      int `json:"waiting"`
	Accelerators int `json:"accelerators"` // placed
}

const historyLength = 20

// New returns the state before the first record.
func New() State {
	return State{
		zones:       immutable.NewSortedMap[string, Zone](nil),
		jobs:        immutable.NewMap[string, Job](nil),
		keys:        immutable.NewMap[string, string](nil),
		queue:       immutable.NewSortedMap[crank.Position, string](nil),
		active:      immutable.NewSortedMap[crank.Position, string](nil),
		ended:       immutable.NewSortedMap[crank.Position, string](nil),
		workers:     immutable.NewSortedMap[string, Worker](nil),
		writers:     immutable.NewMap[string, Writer](nil),
		usage:       immutable.NewMap[string, Usage](nil),
		burn:        immutable.NewSortedMap[string, []BurnBucket](nil),
		corrections: immutable.NewSortedMap[string, float64](nil),
	}
}

// Job returns a job by its identity.
func (s State) Job(id string) (Job, bool) { return s.jobs.Get(id) }

// ByKey returns the job of a workspace's idempotency key.
func (s State) ByKey(workspace, key string) (Job, bool) {
	id, ok := s.keys.Get(identity(workspace, key))
	if !ok {
		return Job{}, false
	}
	return s.jobs.Get(id)
}

// Waiting returns the waiting jobs in the order of their submission.
func (s State) Waiting() []Job { return s.list(s.queue) }

// Active returns the placed and running jobs.
func (s State) Active() []Job { return s.list(s.active) }

// Ended returns the ended jobs that are kept.
func (s State) Ended() []Job { return s.list(s.ended) }

// Counts returns the number of waiting, active and ended jobs.
func (s State) Counts() (waiting, active, ended int) {
	return s.queue.Len(), s.active.Len(), s.ended.Len()
}

func (s State) list(index *immutable.SortedMap[crank.Position, string]) []Job {
	jobs := make([]Job, 0, index.Len())
	for i := index.Iterator(); !i.Done(); {
		_, id, _ := i.Next()
		j, _ := s.jobs.Get(id)
		jobs = append(jobs, j)
	}
	return jobs
}

// Worker returns a worker by its identity.
func (s State) Worker(id string) (Worker, bool) { return s.workers.Get(id) }

// Workers returns all known workers by identity.
func (s State) Workers() []Worker {
	workers := make([]Worker, 0, s.workers.Len())
	for i := s.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		workers = append(workers, w)
	}
	return workers
}

// Zone returns the service state of an availability zone.
func (s State) Zone(name string) Zone {
	z, ok := s.zones.Get(name)
	if !ok {
		return Zone{Name: name}
	}
	return z
}

// Zones returns the service state of every declared availability zone.
func (s State) Zones() []Zone {
	zones := make([]Zone, 0, len(s.Config.Zones))
	for _, z := range s.Config.Zones {
		zones = append(zones, s.Zone(z.Name))
	}
	return zones
}

// Usage returns the counts of a workspace.
func (s State) Usage(workspace string) Usage {
	u, _ := s.usage.Get(workspace)
	return u
}

// Applied reports whether the batch of a writer with a sequence number, or a
// later one, was applied.
func (s State) Applied(writer string, sequence int64) bool {
	w, ok := s.writers.Get(writer)
	return ok && w.Sequence >= sequence
}

// identity joins a workspace and a key; a workspace's name has no NUL.
func identity(workspace, key string) string { return workspace + "\x00" + key }
