package crankjobs

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var sizeLimits = crank.StoreLimits{RecordBytes: 20_000, CallBytes: 40_000}

// A job must be refused when it is submitted if a record of it can't be stored then, or
// later when many of its tasks have failed.
func TestJobWhoseRecordsCanNotBeStoredIsRefused(t *testing.T) {
	steps := func(n, tasks int) []crank.Step {
		s := make([]crank.Step, n)
		for i := range s {
			s[i].Tasks = tasks
		}
		return s
	}
	for _, c := range []struct {
		name string
		job  crank.StepJob
		want string // in the error, empty if the job is accepted
	}{
		{"small", crank.StepJob{ID: "a", Attempts: 3, Steps: steps(1, 1)}, ""},
		{"many steps", crank.StepJob{ID: "a", Attempts: 3, Steps: steps(800, 1)}, "store's limit for a record is 20000"},
		{"many tasks", crank.StepJob{ID: "a", Attempts: 3, Steps: steps(1, 800)}, "store's limit for a record is 20000"},
		{"many occurrences", crank.StepJob{ID: "a", Attempts: 3, Steps: steps(1, 10), Repeat: crank.Repeat{Times: 80}}, "store's limit for a record is 20000"},
		{"many tasks that can't fail for good", crank.StepJob{ID: "a", Steps: steps(1, 800)}, ""},
		{"long ID", crank.StepJob{ID: strings.Repeat("a", crank.MaxRecordKeyBytes-len(progressPrefix)+1), Attempts: 1, Steps: steps(1, 1)}, "the limit is 255"},
		{"longest ID", crank.StepJob{ID: strings.Repeat("a", crank.MaxRecordKeyBytes-len(progressPrefix)), Attempts: 1, Steps: steps(1, 1)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, err := SubmissionRecord(c.job)
			is.NoErr(err)
			err = CheckSize(c.job, r, sizeLimits)
			if c.want == "" {
				is.NoErr(err)
				is.NoErr(CheckSize(c.job, r, crank.StoreLimits{}))
				return
			}
			is.Equal(crank.KindOf(err), crank.KindTooLarge)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// TestProgressOfAnAcceptedJobAlwaysFits draws jobs at the limit and progress in which
// tasks have failed as often as they may and have long checkpoints.
func TestProgressOfAnAcceptedJobAlwaysFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		j := crank.StepJob{ID: "5c0e7a21<&>", Attempts: rapid.IntRange(0, 5).Draw(t, "attempts"), Repeat: crank.Repeat{Times: rapid.IntRange(0, 4).Draw(t, "times")}}
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			j.Steps = append(j.Steps, crank.Step{Tasks: rapid.IntRange(1, 200).Draw(t, "tasks"), LongRunning: rapid.IntRange(0, 4).Draw(t, "lasting") == 0})
		}
		submission, err := SubmissionRecord(j)
		is.NoErr(err)
		if CheckSize(j, submission, sizeLimits) != nil {
			t.Skip("refused")
		}
		p := Progress{Term: 9_999_999_999, Claimed: true, Begun: true, Failures: make(map[int][]int64), Checkpoints: make(map[int]string)}
		failures := max(j.Attempts, rapid.IntRange(0, 20).Draw(t, "failures without a limit"))
		if j.Attempts > 0 {
			failures = j.Attempts
		}
		p.Outcome = rapid.SampledFrom([]Outcome{OutcomeNone, OutcomeFailed, OutcomeCompleted}).Draw(t, "outcome")
		for n := range j.TasksPerOccurrence() * j.Occurrences() {
			p.Done = p.Done.With(n)
			p.Checkpoints[n] = strings.Repeat("c", rapid.IntRange(0, 40).Draw(t, "checkpoint"))
			for range failures {
				p.Failures[n] = append(p.Failures[n], 9_999_999_999_999)
			}
			if j.Steps[stepOf(j, n)].LongRunning {
				p.Failures[n] = []int64{9_999_999_999_999}
			}
		}
		r, err := FittingProgressRecord(j, p, sizeLimits)
		is.NoErr(err)
		is.NoErr(sizeLimits.Check(r))
		state, err := NewState().With(r, time.Time{})
		is.NoErr(err)
		read, _ := state.jobs.Get(j.ID)
		is.Equal(read.Progress.Outcome, p.Outcome)
		if p.Outcome == OutcomeNone && j.Attempts > 0 {
			whole, err := ProgressRecord(j.ID, p)
			is.NoErr(err)
			if sizeLimits.Check(whole) == nil {
				is.True(maps.EqualFunc(read.Progress.Failures, p.Failures, slices.Equal))
			}
			isLongRunning := func(n int, _ []int64) bool { return j.Steps[stepOf(j, n)].LongRunning }
			maps.DeleteFunc(read.Progress.Failures, isLongRunning) // may be left out
			maps.DeleteFunc(p.Failures, isLongRunning)
			is.True(maps.EqualFunc(read.Progress.Failures, p.Failures, slices.Equal))
			is.Equal(read.Progress.Done, p.Done)
		}
	})
}

func stepOf(j crank.StepJob, ordinal int) int {
	n := ordinal % j.TasksPerOccurrence()
	for i, s := range j.Steps {
		if n -= s.Tasks; n < 0 {
			return i
		}
	}
	return 0
}
