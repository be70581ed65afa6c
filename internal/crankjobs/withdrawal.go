package crankjobs

import (
	"crypto/rand"
	"slices"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// MaxWithdrawals limits the withdrawals that are kept at a time. Whoever stores one checks it.
const MaxWithdrawals = 1024

// Withdrawal is the cancellation of a job that the instance did not know. A submission of the
// job may still be on its way: in the sockets of an instance, at the leader or in an append
// without an answer. Stored before the withdrawal, the job is cancelled. Stored later, it
// does not count unless its caller is known to have sent it later (see crank.StepJob.SentAfter).
// Earlier versions pass a withdrawal over. What they store counts, since they have told their
// callers so.
type Withdrawal struct {
	Key    string // of its record, without the prefix
	Offset crank.Offset
	Seen   time.Time // when this instance read it
}

// withdrawals is the immutable part of a State that holds the withdrawals.
type withdrawals struct {
	byJob  *immutable.Map[string, []Withdrawal]
	jobs   *immutable.Map[string, string] // by key
	newest int64                          // revision of the state that read the last one
}

// WithdrawalRecord returns the record that cancels a job that is not known.
func WithdrawalRecord(id string) (crank.KeyedRecord, error) {
	return encode(withdrawalPrefix+rand.Text(), cancellation{Job: id})
}

// Withdrawals returns the withdrawals of a job.
func (s State) Withdrawals(id string) []Withdrawal {
	w, _ := s.withdrawals.byJob.Get(id)
	return w
}

// WithdrawalCount returns the number of withdrawals of all jobs.
func (s State) WithdrawalCount() int { return s.withdrawals.jobs.Len() }

// OldestWithdrawal returns when this instance read the oldest withdrawal, or the zero time.
func (s State) OldestWithdrawal() time.Time {
	var oldest time.Time
	for i := s.withdrawals.byJob.Iterator(); !i.Done(); {
		_, all, _ := i.Next()
		for _, w := range all {
			if oldest.IsZero() || w.Seen.Before(oldest) {
				oldest = w.Seen
			}
		}
	}
	return oldest
}

// Withdraws reports whether a submission that this version stores at an offset does not count,
// as far as the state tells.
func (s State) Withdraws(j crank.StepJob, stored crank.Offset) bool {
	return slices.ContainsFunc(s.Withdrawals(j.ID), func(w Withdrawal) bool { return w.Offset >= j.SentAfter && w.Offset < stored })
}

func newWithdrawals() withdrawals {
	return withdrawals{byJob: immutable.NewMap[string, []Withdrawal](nil), jobs: immutable.NewMap[string, string](nil)}
}

// withWithdrawal returns the state after the record of a withdrawal, which removes it if it has
// no value. Records may come in another order than that of their offsets while a topic is
// loaded.
func (s State) withWithdrawal(key string, r crank.KeyedRecord, now time.Time) (State, error) {
	if len(r.Value) == 0 {
		return s.withoutWithdrawal(key), nil
	}
	var c cancellation
	if err := decode(r.Value, &c); err != nil {
		return s, err
	}
	if _, known := s.withdrawals.jobs.Get(key); known {
		return s, nil
	}
	job, w := c.Job, Withdrawal{Key: key, Offset: r.Offset, Seen: now}
	s.withdrawals.byJob = s.withdrawals.byJob.Set(job, append(slices.Clone(s.Withdrawals(job)), w))
	s.withdrawals.jobs = s.withdrawals.jobs.Set(w.Key, job)
	s.withdrawals.newest = s.Revision
	j, ok := s.Job(job)
	switch {
	case !ok:
	case j.confirmed && s.Withdraws(j.Job, j.submitted):
		s.jobs = s.jobs.Delete(job)
		s.reserved -= j.reserved()
	case w.Offset > j.submitted:
		s = s.withJob(job, j, j.withCancellation("", w.Offset), now)
	}
	return s, nil
}

// withoutWithdrawal returns the state without the withdrawal of a key, if it has one.
func (s State) withoutWithdrawal(key string) State {
	job, ok := s.withdrawals.jobs.Get(key)
	if !ok {
		return s
	}
	s.withdrawals.jobs = s.withdrawals.jobs.Delete(key)
	rest := slices.DeleteFunc(slices.Clone(s.Withdrawals(job)), func(w Withdrawal) bool { return w.Key == key })
	if len(rest) == 0 {
		s.withdrawals.byJob = s.withdrawals.byJob.Delete(job)
	} else {
		s.withdrawals.byJob = s.withdrawals.byJob.Set(job, rest)
	}
	return s
}

// withLaterWithdrawals returns a job as the withdrawals that are stored after it leave it.
func (s State) withLaterWithdrawals(j RecordedJob) RecordedJob {
	for _, w := range s.Withdrawals(j.Job.ID) {
		if w.Offset > j.submitted {
			j = j.withCancellation("", w.Offset)
		}
	}
	return j
}

// withdrawnBefore returns the jobs that are not known and whose withdrawals this instance
// read before a time.
func (s State) withdrawnBefore(t time.Time) []string {
	var ids []string
	for i := s.withdrawals.byJob.Iterator(); !i.Done(); {
		id, _, _ := i.Next()
		if j, _ := s.jobs.Get(id); !j.Submitted && j.endSeen.IsZero() && s.withdrawalsSeenBefore(id, t) {
			ids = append(ids, id)
		}
	}
	return ids
}

// withdrawalsSeenBefore reports whether this instance read all withdrawals of a job before a time.
func (s State) withdrawalsSeenBefore(id string, t time.Time) bool {
	return !slices.ContainsFunc(s.Withdrawals(id), func(w Withdrawal) bool { return !w.Seen.Before(t) })
}
