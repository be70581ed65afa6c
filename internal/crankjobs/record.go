// Package crankjobs keeps an in-memory replica of the platform's job topic at
// every instance: submissions, cancellations and progress of jobs, the roster of
// workers, ends that were witnessed without a leader and the announcements of instances.
//
// Each kind of record of a job has its own key. The store keeps the newest
// record of a key for good, so the newest records are enough to rebuild the
// state. The instance that accepts a job writes its submission; the first one
// counts. Only the holder of the planner's term writes progress.
package crankjobs

import (
	"crypto/rand"
	"encoding/json"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"

	crank "cranberrycrank"
)

// Prefixes of the keys of the job topic.
const (
	jobPrefix        = "job/"
	cancelPrefix     = "cancel/"
	withdrawalPrefix = "withdrawn/"
	progressPrefix   = "progress/"
	instancePrefix   = "instance/"
	endsPrefix       = "ends/"
	rosterKey        = "roster"
	estimatesKey     = "estimates"
	termKey          = "term"
)

// Outcome is the final state of a job, as the planner recorded it.
type Outcome string

// Outcomes of jobs.
const (
	OutcomeNone      Outcome = ""
	OutcomeCompleted Outcome = "completed"
	OutcomeFailed    Outcome = "failed"
	OutcomeCancelled Outcome = "cancelled"
)

// Formats of the planner's records. A change that an earlier version would misread adds
// one. A record has the lowest format whose versions read it rightly, so that they can lead
// once no job needs a later one.
const (
	formatWithoutPlaces = 1
	formatWithPlaces    = 2 // a task may have a place
)

// latestFormat is the latest format that this version reads and writes. Tests of upgrades
// build an earlier version by setting it at link time.
var latestFormat = "2"

var recordFormat = parseFormat(latestFormat)

func parseFormat(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		panic("crankjobs: latestFormat: " + err.Error())
	}
	return n
}

// Progress is the planner's record of a job.
type Progress struct {
	Format      int             `json:"format,omitempty"`
	Term        int64           `json:"term"`                  // of the planner that wrote it
	Claimed     bool            `json:"claimed,omitempty"`     // tasks may have been started, see MayRun
	Begun       bool            `json:"begun,omitempty"`       // a task has started, see HasBegun
	Started     bool            `json:"started,omitempty"`     // Begun is known from a worker
	Tracked     bool            `json:"tracked,omitempty"`     // Ordered is complete; else any task may have been started
	Pool        string          `json:"pool,omitempty"`        // if it is not that of the submission
	Ordered     TaskSet         `json:"ordered,omitempty"`     // tasks that may have been started, in the form of Done
	Places      TaskPlaces      `json:"places,omitempty"`      // workers of tasks that may have been started, see Place
	Finished    int             `json:"finished,omitempty"`    // number of completed occurrences, from the first on
	Done        TaskSet         `json:"done,omitempty"`        // completed tasks of later occurrences, by ordinal less those of Finished
	Failures    map[int][]int64 `json:"failures,omitempty"`    // numbers of failed runs, by task ordinal
	Checkpoints map[int]string  `json:"checkpoints,omitempty"` // of stopped tasks, by task ordinal
	Outcome     Outcome         `json:"outcome,omitempty"`
	Reason      string          `json:"reason,omitempty"` // of a failure
}

// IsDone reports whether a task is completed. It takes the number of tasks in an
// occurrence.
func (p Progress) IsDone(ordinal, perOccurrence int) bool {
	n := ordinal - p.Finished*perOccurrence
	return n < 0 || p.Done.Has(n)
}

// DoneCount returns the number of completed tasks.
func (p Progress) DoneCount(perOccurrence int) int { return p.Finished*perOccurrence + p.Done.Len() }

// WithDone returns the progress with a task completed.
func (p Progress) WithDone(ordinal, perOccurrence int) Progress {
	if !p.IsDone(ordinal, perOccurrence) {
		p.Done = p.Done.With(ordinal - p.Finished*perOccurrence)
	}
	return p.Compact(perOccurrence)
}

// Compact returns the progress with the occurrences that are completed from the first
// on counted in Finished.
func (p Progress) Compact(perOccurrence int) Progress {
	whole := p.Done.prefix()
	if whole -= whole % perOccurrence; whole > 0 {
		p.Finished += whole / perOccurrence
		p.Done, p.Ordered, p.Places = p.Done.after(whole), p.Ordered.after(whole), p.Places.after(whole)
	}
	return p
}

// HasBegun reports whether a task has started, as far as the record tells. Earlier versions
// set Begun before they order the first start, and never Started.
func (p Progress) HasBegun() bool { return p.Begun || p.IsBegunKnown() }

// IsBegunKnown reports whether the record shows that a task has started.
func (p Progress) IsBegunKnown() bool {
	return p.Started || p.Finished > 0 || len(p.Done) > 0 || len(p.Failures) > 0 || len(p.Checkpoints) > 0
}

// WithStarted returns the progress of a job of which a task has started.
func (p Progress) WithStarted() Progress {
	p.Begun, p.Started = true, true
	return p
}

// MayRun reports whether a start of a task may have been ordered. It takes the number of
// tasks in an occurrence.
func (p Progress) MayRun(ordinal, perOccurrence int) bool {
	n := ordinal - p.Finished*perOccurrence
	return p.Claimed && (!p.Tracked || n < 0 || p.Ordered.Has(n))
}

// WithOrdered returns the progress with a start of a task allowed.
func (p Progress) WithOrdered(ordinal, perOccurrence int) Progress {
	if !p.MayRun(ordinal, perOccurrence) {
		p.Ordered = p.Ordered.With(ordinal - p.Finished*perOccurrence)
	}
	return p
}

// Place returns the roster's number of the only worker incarnation at which a task may run,
// 0 if it may run at any. It takes the number of tasks in an occurrence.
func (p Progress) Place(ordinal, perOccurrence int) int {
	return p.Places.At(ordinal - p.Finished*perOccurrence)
}

// WithPlace returns the progress with the only worker at which a task may run.
func (p Progress) WithPlace(ordinal, perOccurrence, worker int) Progress {
	if n := ordinal - p.Finished*perOccurrence; n >= 0 {
		p.Places = p.Places.With(n, worker)
	}
	return p
}

// Roster lists the worker incarnations that may have been sent orders.
type Roster struct {
	Format       int      `json:"format,omitempty"`
	Term         int64    `json:"term"`
	Incarnations []string `json:"lives"`
	Addrs        []string `json:"addrs,omitempty"`   // of the incarnations, in the same order
	Numbers      []int    `json:"numbers,omitempty"` // that places of tasks refer to, likewise
	// LeaseLeft holds, for incarnations whose lease is not extended until a later record
	// leaves them out, how long it may still last, in milliseconds.
	LeaseLeft map[string]int64 `json:"lease-left,omitempty"`
	// Clocks are readings of workers' clocks as LeaseLeft was recorded.
	Clocks []crank.WorkerClock `json:"clocks,omitempty"`
}

// Addr returns the address of an incarnation, or "" if it is not recorded.
func (r Roster) Addr(i int) string {
	if i >= len(r.Addrs) {
		return ""
	}
	return r.Addrs[i]
}

// HasNumbers reports whether places of tasks refer to this roster. Earlier versions store
// rosters without numbers.
func (r Roster) HasNumbers() bool { return len(r.Numbers) > 0 }

// Number returns the number of an incarnation, or 0 if it is not recorded.
func (r Roster) Number(i int) int {
	if i >= len(r.Numbers) {
		return 0
	}
	return r.Numbers[i]
}

// TaskSet is a bit set of task ordinals.
type TaskSet []byte

// Has reports whether n is in the set.
func (t TaskSet) Has(n int) bool { return n/8 < len(t) && t[n/8]&(1<<(n%8)) != 0 }

// Len returns the number of ordinals in the set.
func (t TaskSet) Len() int {
	n := 0
	for _, b := range t {
		n += bits.OnesCount8(b)
	}
	return n
}

// With returns the set with n added.
func (t TaskSet) With(n int) TaskSet {
	c := make(TaskSet, max(len(t), n/8+1))
	copy(c, t)
	c[n/8] |= 1 << (n % 8)
	return c
}

// prefix returns the lowest ordinal that is not in the set.
func (t TaskSet) prefix() int {
	for i, b := range t {
		if b != 0xff {
			return 8*i + bits.TrailingZeros8(^b)
		}
	}
	return 8 * len(t)
}

// after returns the ordinals from n on, less n.
func (t TaskSet) after(n int) TaskSet {
	var rest TaskSet
	if n/8 < len(t) {
		rest = make(TaskSet, len(t)-n/8)
	}
	used := 0
	for i := n; i < 8*len(t); i++ {
		if t.Has(i) {
			rest[(i-n)/8] |= 1 << ((i - n) % 8)
			used = (i-n)/8 + 1
		}
	}
	return rest[:used]
}

// submission is the value of the record of a job.
type submission struct {
	crank.StepJob
	// Confirmed tells that whoever stores the job accepts it only once it has read that no
	// withdrawal comes before it. Earlier versions don't.
	Confirmed bool `json:"confirmed,omitempty"`
}

// SubmissionRecord returns the record of a job. It is not accepted before all records up to
// it were read, see State.Withdraws.
func SubmissionRecord(j crank.StepJob) (crank.KeyedRecord, error) {
	return encode(jobPrefix+j.ID, submission{StepJob: j, Confirmed: true})
}

// CancellationRecord returns the record that cancels a job. Cancelling it again replaces
// the record.
func CancellationRecord(id string) crank.KeyedRecord {
	return crank.KeyedRecord{Key: cancelPrefix + id, Value: []byte("{}")}
}

// cancellation is the value of a cancellation under a key of its own.
type cancellation struct {
	Job string `json:"job"`
}

// UniqueCancellationRecord returns a record that cancels a job and that no later one
// replaces. Earlier versions take it for the cancellation of an unknown job. Its key is
// without the ID, which may leave no room in it.
func UniqueCancellationRecord(id string) (crank.KeyedRecord, error) {
	return encode(cancelPrefix+rand.Text(), cancellation{Job: id})
}

// cancelledJob returns the ID of the job that a cancellation with a key of its own
// cancels, or "" if it has none.
func cancelledJob(value []byte) string {
	var c cancellation
	if err := json.Unmarshal(value, &c); err != nil {
		return ""
	}
	return c.Job
}

// Limits of a record of progress.
const (
	maxProgressBytes = 192 << 10 // the store takes records of 256 KiB
	minEntryBytes    = 8         // of a failure or a checkpoint
)

// ProgressRecord returns the record of a job's progress. It leaves out places, checkpoints
// and then failures that make it too large for the store: under a later term their tasks
// wait for all workers, start from the beginning, or get more attempts.
func ProgressRecord(id string, p Progress) (crank.KeyedRecord, error) {
	p.Format = formatWithPlaces
	if p.Outcome != OutcomeNone || recordFormat < formatWithPlaces { // no task of an ended job is started again
		p.Format, p.Places = formatWithoutPlaces, nil
	}
	if p.Outcome != OutcomeNone {
		p.Started, p.Pool = false, "" // its outcome tells more
	}
	if (len(p.Checkpoints)+len(p.Failures))*minEntryBytes <= maxProgressBytes {
		if r, err := encode(progressPrefix+id, p); err != nil || len(r.Value) <= maxProgressBytes {
			return r, err
		}
	}
	failures, checkpoints := p.Failures, p.Checkpoints
	p.Places = nil
	p.Failures, p.Checkpoints = make(map[int][]int64), make(map[int]string)
	r, err := encode(progressPrefix+id, p)
	if err != nil {
		return r, err
	}
	left := maxProgressBytes - len(r.Value) - len(`,"failures":{},"checkpoints":{}`)
	for _, n := range slices.Sorted(maps.Keys(failures)) {
		if left -= entryBytes(n, failures[n]); left < 0 {
			break
		}
		p.Failures[n] = failures[n]
	}
	for _, n := range slices.Sorted(maps.Keys(checkpoints)) {
		if left -= entryBytes(n, checkpoints[n]); left < 0 {
			break
		}
		p.Checkpoints[n] = checkpoints[n]
	}
	return encode(progressPrefix+id, p)
}

// entryBytes returns the size of an entry of a map in a record.
func entryBytes(ordinal int, v any) int {
	value, _ := json.Marshal(v) // numbers and strings always have an encoding
	return len(strconv.Itoa(ordinal)) + len(`"":,`) + len(value)
}

// RosterRecord returns the record of the roster. Earlier versions pass over its numbers, and
// lead only if no job has places that refer to them.
func RosterRecord(r Roster) (crank.KeyedRecord, error) {
	r.Format = formatWithoutPlaces
	if recordFormat < formatWithPlaces {
		r.Numbers = nil
	}
	return encode(rosterKey, r)
}

// MaxEstimatesBytes is the most that a record of learned run times holds. All instances read
// it, and bytes from the store are priced.
const MaxEstimatesBytes = 32 << 10

// EstimatesRecord returns the record of learned run times, whose value this package does
// not interpret. Earlier versions log the key as unknown and pass it over.
func EstimatesRecord(value []byte) crank.KeyedRecord {
	return crank.KeyedRecord{Key: estimatesKey, Value: value}
}

// termRecord is the value of the first record of a planner's term.
type termRecord struct {
	Term int64 `json:"term"`
}

// TermRecord returns the first record of a planner's term. An instance that has read it
// has read all records of earlier terms.
func TermRecord(term int64) (crank.KeyedRecord, error) {
	return encode(termKey, termRecord{term})
}

func encode(key string, v any) (crank.KeyedRecord, error) {
	value, err := json.Marshal(v)
	return crank.KeyedRecord{Key: key, Value: value}, crank.Wrap("fact encode", crank.KindInvalid, err)
}

// splitKey returns the prefix of a key and the ID of the job or instance.
func splitKey(key string) (prefix, id string) {
	prefix, id, ok := strings.Cut(key, "/")
	if !ok {
		return key, ""
	}
	return prefix + "/", id
}
