package crankjobs

import (
	"slices"
	"time"

	crank "cranberrycrank"
)

// Memory that jobs take at the leader, which has the most of them: in this package's
// state and in the planner. TestBudgetCoversMemoryOfJobs checks it.
const (
	jobBytes      = 4 << 10
	stepBytes     = 640
	taskBytes     = 640 // of an occurrence that is due, with its run
	afterBytes    = 32  // a step that another one waits for
	progressEntry = 128 // a failure or a checkpoint
	stringCopies  = 2
)

// Budget limits the memory of accepted jobs.
type Budget struct {
	Bytes     int64         // 0 for no limit
	Retention time.Duration // how long ended jobs are kept
}

// OccurrenceBytes returns the memory of an occurrence of a job that is due.
func OccurrenceBytes(j crank.StepJob) int64 { return int64(j.TasksPerOccurrence()) * taskBytes }

// recordBytes returns the memory of a job without its tasks.
func recordBytes(j crank.StepJob) int64 {
	n := jobBytes + stringCopies*len(j.Payload) + stepBytes*len(j.Steps)
	for _, s := range j.Steps {
		n += stringCopies*(len(s.Label)+len(s.DataRack)) + afterBytes*len(s.After)
	}
	return int64(n)
}

func progressBytes(p Progress) int64 {
	return int64(stringCopies*len(p.Done) + progressEntry*(len(p.Failures)+len(p.Checkpoints)))
}

// reserved returns the memory that is set aside for a job: until it ends, with the tasks
// of one occurrence.
func (j RecordedJob) reserved() int64 {
	switch {
	case !j.Submitted:
		return 0
	case j.Ended():
		return j.recordBytes
	}
	return j.recordBytes + progressBytes(j.Progress) + j.dueBytes
}

// Reserved returns the memory that is set aside for all jobs.
func (s State) Reserved() int64 { return s.reserved }

// Need returns the memory that a new job needs.
func (b Budget) Need(j crank.StepJob) int64 { return recordBytes(j) + OccurrenceBytes(j) }

// Fits reports whether a new job fits beside the recorded ones, and others that take
// more bytes.
func (b Budget) Fits(s State, others int64, j crank.StepJob) bool {
	return b.Bytes == 0 || s.reserved+others+b.Need(j) <= b.Bytes
}

// Times after which a refused job is to be submitted again.
const (
	endDelay          = 2 * time.Second // of a task's start, its report and its record, beside its run time
	removalDelay      = 6 * time.Second // until the leader removes a job after its retention
	minRetryAfter     = 1 * time.Second
	unknownRetryAfter = 1 * time.Minute // if only a cancellation makes room
)

// release is memory that is expected to be free from some time on.
type release struct {
	at    time.Time
	bytes int64
}

// RetryAfter returns when the recorded jobs are expected to leave room for a new one: as
// they end, by the estimates of their run times, and as ended ones are removed.
func (b Budget) RetryAfter(s State, j crank.StepJob, now time.Time) time.Duration {
	var releases []release
	for i := s.jobs.Iterator(); !i.Done(); {
		_, r, _ := i.Next()
		if !r.Submitted {
			continue
		}
		removed := r.endSeen.Add(b.Retention + removalDelay)
		if !r.Ended() {
			end, ok := expectedEnd(r.Job, now)
			if !ok {
				continue
			}
			releases = append(releases, release{end, r.reserved() - r.recordBytes})
			removed = end.Add(b.Retention + removalDelay)
		}
		releases = append(releases, release{removed, r.recordBytes})
	}
	slices.SortFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	over := s.reserved + b.Need(j) - b.Bytes
	for _, r := range releases {
		if over -= r.bytes; over <= 0 {
			return max(minRetryAfter, r.at.Sub(now))
		}
	}
	return unknownRetryAfter
}

// expectedEnd returns when a job ends if nothing of its last occurrence has to wait for
// capacity, and false for one that runs until it is cancelled.
func expectedEnd(j crank.StepJob, now time.Time) (time.Time, bool) {
	for _, s := range j.Steps {
		if s.LongRunning {
			return time.Time{}, false
		}
	}
	start := now
	if last := j.Due(j.Occurrences() - 1); last.After(now) {
		start = last
	}
	return start.Add(j.CriticalPath() + endDelay), true
}
