// Package crankstate is the replicated state machine: it applies the records of
// the event stream in order and computes the state that all instances share.
//
// Applying a record is a pure function of the state and the record. It reads no
// clock, instance list or usage report, so every instance computes the same state
// and the same verdicts.
package crankstate

import (
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// State is the immutable result of applying the event stream up to an offset.
// It can be shared between goroutines.
type State struct {
	Next    crank.Offset // offset of the next entry to apply
	LogTime time.Time    // latest timestamp of an applied batch, used as the clock
	Term    Term
	Config  crank.Config
	History []Publication // oldest first, at most historyLength

	zones       *immutable.SortedMap[string, Zone]
	jobs        *immutable.Map[string, Job]
	keys        *immutable.Map[string, string]               // workspace and idempotency key to job
	queue       *immutable.SortedMap[crank.Position, string] // waiting jobs
	active      *immutable.SortedMap[crank.Position, string] // placed and running jobs
	ended       *immutable.SortedMap[crank.Position, string] // retained ended jobs
	workers     *immutable.SortedMap[string, Worker]
	writers     *immutable.Map[string, Writer]
	usage       *immutable.Map[string, Usage] // by workspace
	burn        *immutable.SortedMap[string, []BurnBucket]
	corrections *immutable.SortedMap[string, float64] // by profile: logarithm of actual over declared run time
}

// Term is the planner's term, whose holder is the leader.
type Term struct {
	Number     crank.Position `json:"number"`   // position of its claim or release, 0 before the first
	Instance   string         `json:"instance"` // holder, empty after a release
	Heartbeats int64          `json:"pulses"`   // of the holder in this term
}

// Publication is one published version of the configuration.
type Publication struct {
	Version int       `json:"version"`
	At      time.Time `json:"at"`
	By      string    `json:"by"`
}

// Zone says whether an availability zone is in service.
type Zone struct {
	Name    string         `json:"name"`
	Out     bool           `json:"out"`     // taken out of service by an operator
	Changed crank.Position `json:"changed"` // of the last change
}

// Worker is a worker's list entry, its health and the attempts placed on it.
type Worker struct {
	crank.Instance
	Gone             bool              `json:"gone"` // no longer listed
	Used             crank.Resources   `json:"used"` // by attempts that are not evicted
	Attempts         []crank.AttemptID `json:"attempts"`
	Failures         int               `json:"failures"`    // since the last success, see withFailure
	LastFailed       string            `json:"last-failed"` // job of the last counted failure
	QuarantinedUntil time.Time         `json:"aside-until"` // end of the quarantine or backoff
	Lost             bool              `json:"lost"`        // unreachable for longer than a lease
}

// Free returns the capacity that no attempt uses.
func (w Worker) Free() crank.Resources { return w.Capacity.Minus(w.Used) }

// Writer is the last applied batch of a log writer, kept to drop repeated ones.
type Writer struct {
	Sequence int64     `json:"sequence"`
	At       time.Time `json:"at"`
}

// Usage counts the waiting jobs and placed accelerators of a workspace.
type Usage struct {
	Waiting      int `json:"waiting"`
	Accelerators int `json:"accelerators"` // of placed and running jobs
}

const historyLength = 20

// New returns the empty state.
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

// Job returns a job by its ID.
func (s State) Job(id string) (Job, bool) { return s.jobs.Get(id) }

// ByKey returns the job that a workspace submitted under an idempotency key.
func (s State) ByKey(workspace, key string) (Job, bool) {
	id, ok := s.keys.Get(compositeKey(workspace, key))
	if !ok {
		return Job{}, false
	}
	return s.jobs.Get(id)
}

// Waiting returns the waiting jobs in submission order.
func (s State) Waiting() []Job { return s.jobsIn(s.queue) }

// Active returns the placed and running jobs in submission order.
func (s State) Active() []Job { return s.jobsIn(s.active) }

// Ended returns the retained ended jobs in submission order.
func (s State) Ended() []Job { return s.jobsIn(s.ended) }

// Counts returns the number of waiting, active and ended jobs.
func (s State) Counts() (waiting, active, ended int) {
	return s.queue.Len(), s.active.Len(), s.ended.Len()
}

func (s State) jobsIn(index *immutable.SortedMap[crank.Position, string]) []Job {
	jobs := make([]Job, 0, index.Len())
	for i := index.Iterator(); !i.Done(); {
		_, id, _ := i.Next()
		j, _ := s.jobs.Get(id)
		jobs = append(jobs, j)
	}
	return jobs
}

// Worker returns a worker by its ID.
func (s State) Worker(id string) (Worker, bool) { return s.workers.Get(id) }

// Workers returns all known workers, sorted by ID.
func (s State) Workers() []Worker {
	workers := make([]Worker, 0, s.workers.Len())
	for i := s.workers.Iterator(); !i.Done(); {
		_, w, _ := i.Next()
		workers = append(workers, w)
	}
	return workers
}

// Zone returns the state of an availability zone, in service by default.
func (s State) Zone(name string) Zone {
	z, ok := s.zones.Get(name)
	if !ok {
		return Zone{Name: name}
	}
	return z
}

// Zones returns the state of every declared availability zone.
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

// Applied reports whether the writer's batch with this sequence number, or a
// later one, was applied.
func (s State) Applied(writer string, sequence int64) bool {
	w, ok := s.writers.Get(writer)
	return ok && w.Sequence >= sequence
}

// compositeKey joins two names into one map key. The first contains no NUL.
func compositeKey(first, second string) string { return first + "\x00" + second }
