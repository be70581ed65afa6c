package crankjobs

import (
	"maps"
	"math"
	"strconv"

	crank "cranberrycrank"
)

// maxRunDigits is the length of the longest run number. Run numbers grow by 1000 with
// each term.
const maxRunDigits = 13

// CheckSize returns an error of KindTooLarge that names the limit if a record of a job
// exceeds the store's limits or may do so as its tasks run.
func CheckSize(j crank.StepJob, submission crank.KeyedRecord, limits crank.StoreLimits) error {
	const op = "job size"
	claim, err := ProgressRecord(j.ID, Progress{Term: math.MaxInt64, Claimed: true})
	if err != nil {
		return err
	}
	if err := limits.Check(submission, claim); err != nil {
		return crank.Wrap(op, crank.KindTooLarge, err)
	}
	n, err := largestProgress(j)
	if err != nil {
		return err
	}
	if limits.RecordBytes > 0 && n > limits.RecordBytes {
		return crank.Fail(op, crank.KindTooLarge, "the progress of %d tasks with %d attempts may take %d bytes, the store's limit for a record is %d",
			j.TasksPerOccurrence()*j.Occurrences(), j.Attempts, n, limits.RecordBytes)
	}
	return nil
}

// largestProgress returns the size of the longest record that FittingProgressRecord
// can't shorten: all tasks are done, each has failed as often as it may, and none has a
// checkpoint.
func largestProgress(j crank.StepJob) (int, error) {
	tasks := j.TasksPerOccurrence() * j.Occurrences()
	last := crank.TaskID{Job: j.ID, Occurrence: j.Occurrences(), Step: len(j.Steps), Index: tasks}
	r, err := ProgressRecord(j.ID, Progress{
		Term: math.MaxInt64, Claimed: true, Begun: true, Tracked: true, Ordered: make(TaskSet, tasks/8+1), Done: make(TaskSet, tasks/8+1),
		Failures: map[int][]int64{0: nil}, Outcome: OutcomeCompleted, Reason: "task " + last.String() + " failed too often",
	})
	if err != nil {
		return 0, err
	}
	failing := 0
	for _, s := range j.Steps {
		if !s.LongRunning {
			failing += s.Tasks * j.Occurrences()
		}
	}
	perTask := len(`"":[],`) + len(strconv.Itoa(tasks)) + j.Attempts*(maxRunDigits+len(","))
	if j.Attempts == 0 {
		perTask = 0
	}
	n := r.EncodedBytes()
	return max(n, min(n+failing*perTask, maxProgressBytes)), nil
}

// FittingProgressRecord returns the record of a job's progress. If it exceeds the
// store's limits, it leaves out what the job can do without: tasks without a place wait for
// all workers under a later term, tasks without a checkpoint start from the beginning, a job without its
// pool goes back to the one of its submission, failures count only if attempts are limited, and
// of an ended job only the outcome matters.
func FittingProgressRecord(j crank.StepJob, p Progress, limits crank.StoreLimits) (crank.KeyedRecord, error) {
	r, err := ProgressRecord(j.ID, p)
	if err != nil || limits.Check(r) == nil {
		return r, err
	}
	p.Places, p.Checkpoints, p.Pool = nil, nil, ""
	p.Failures = limitedFailures(j, p.Failures)
	if p.Outcome != OutcomeNone {
		p.Failures, p.Done, p.Ordered = nil, nil, nil
	}
	return ProgressRecord(j.ID, p)
}

// limitedFailures returns the failed runs of tasks whose attempts are limited.
func limitedFailures(j crank.StepJob, failures map[int][]int64) map[int][]int64 {
	if j.Attempts == 0 {
		return nil
	}
	limited := maps.Clone(failures)
	maps.DeleteFunc(limited, func(ordinal int, _ []int64) bool {
		n := ordinal % j.TasksPerOccurrence()
		for _, s := range j.Steps {
			if n < s.Tasks {
				return s.LongRunning
			}
			n -= s.Tasks
		}
		return false
	})
	return limited
}
