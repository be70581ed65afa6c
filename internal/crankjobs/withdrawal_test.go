package crankjobs

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func withdrawal(t *testing.T, offset crank.Offset, id string) crank.KeyedRecord {
	t.Helper()
	r, err := WithdrawalRecord(id)
	return at(t, offset, r, err)
}

func submitted(t *testing.T, offset crank.Offset, id string, sentAfter crank.Offset) crank.KeyedRecord {
	t.Helper()
	job := stepJob(id, time.Second)
	job.SentAfter = sentAfter
	r, err := SubmissionRecord(job)
	return at(t, offset, r, err)
}

// A submission that was stored after the cancellation of its job had been answered ran.
func TestSubmissionAfterItsWithdrawalDoesNotCount(t *testing.T) {
	is := is.New(t)
	w, late, claim := withdrawal(t, 3, "a"), submitted(t, 5, "a", 0), crank.KeyedRecord{}
	claim, err := ProgressRecord("a", Progress{Term: 1, Claimed: true})
	claim = at(t, 6, claim, err)
	anew := submitted(t, 9, "a", 4)
	for _, records := range [][]crank.KeyedRecord{{w, late, claim}, {claim, late, w}, {late, w, claim}} {
		s := NewState()
		for _, r := range records {
			s = with(t, s, r, nil, time.Now())
		}
		_, known := s.Job("a")
		is.True(!known)
		is.Equal(s.Pending("q"), 0)
		is.Equal(s.Reserved(), int64(0))
		is.Equal(len(s.ChangedSince(0)), 0)
		s = with(t, s, anew, nil, time.Now())
		j, known := s.Job("a")
		is.True(known)
		is.Equal(j.Phase(), crank.PhaseQueued)
	}
}

// A job that is stored before its withdrawal is cancelled, whichever is read first.
func TestSubmissionBeforeItsWithdrawalIsCancelled(t *testing.T) {
	is := is.New(t)
	job, w := submitted(t, 3, "a", 0), withdrawal(t, 5, "a")
	for _, records := range [][]crank.KeyedRecord{{job, w}, {w, job}} {
		s := NewState()
		for _, r := range records {
			s = with(t, s, r, nil, time.Now())
		}
		j, known := s.Job("a")
		is.True(known)
		is.Equal(j.Phase(), crank.PhaseCancelled)
	}
}

// Withdrawals stay until their retention, go with all other records of their job, and leave a
// job alone that was handed in anew.
func TestWithdrawalsAreRemoved(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	s := NewState()
	for _, r := range []crank.KeyedRecord{withdrawal(t, 1, "a"), withdrawal(t, 2, "a"), submitted(t, 3, "a", 0), withdrawal(t, 4, "b"), submitted(t, 5, "b", 5)} {
		s = with(t, s, r, nil, now)
	}
	is.Equal(s.WithdrawalCount(), 3)
	is.Equal(s.OldestWithdrawal(), now)
	s = with(t, s, withdrawal(t, 6, "a"), nil, now.Add(time.Minute))
	is.Equal(len(s.EndedBefore(now.Add(time.Second))), 0) // one of a is newer, b has not ended
	is.Equal(s.EndedBefore(now.Add(time.Hour)), []string{"a"})
	removed := s.RemovalRecords("a")
	is.Equal(len(removed), 6)
	for _, r := range removed {
		s = with(t, s, r, nil, now)
	}
	is.Equal(s.WithdrawalCount(), 1)
	is.Equal(s.Len(), 1)
	j, known := s.Job("b")
	is.True(known && !j.Ended())
}

// An instance that loads the newest records must come to the same answer as one that has read
// all in their order.
func TestLoadedWithdrawalsAreLikeFollowedOnes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		followed, newest := NewState(), make(map[string]crank.KeyedRecord)
		add := func(r crank.KeyedRecord, offset int) {
			r.Offset = crank.Offset(offset)
			followed = with(t, followed, r, nil, time.Now())
			if newest[r.Key] = r; len(r.Value) == 0 {
				delete(newest, r.Key)
			}
		}
		for offset := range rapid.IntRange(1, 12).Draw(rt, "records") {
			switch rapid.IntRange(0, 2).Draw(rt, "record") {
			case 0:
				add(withdrawal(t, 0, "a"), 10*offset)
			case 1: // read late: no more than the first may count
				if _, known := followed.Job("a"); !known {
					add(submitted(t, 0, "a", 0), 10*offset)
				}
			default: // handed in anew
				if _, known := followed.Job("a"); known || len(followed.Withdrawals("a")) == 0 {
					continue
				}
				for n, r := range followed.RemovalRecords("a") {
					add(r, 10*offset+n-9)
				}
				add(submitted(t, 0, "a", crank.Offset(10*offset-9)), 10*offset)
			}
		}
		loaded := NewState()
		var records []crank.KeyedRecord
		for _, r := range newest {
			records = append(records, r)
		}
		slices.SortFunc(records, func(a, b crank.KeyedRecord) int { return int(a.Offset - b.Offset) })
		for _, r := range rapid.Permutation(records).Draw(rt, "order") {
			loaded = with(t, loaded, r, nil, time.Now())
		}
		want, known := followed.Job("a")
		got, ok := loaded.Job("a")
		if ok != known || got.Phase() != want.Phase() {
			rt.Fatalf("loaded %v %s, followed %v %s", ok, got.Phase(), known, want.Phase())
		}
	})
}

// An earlier version accepts a job without regard to withdrawals, so that it must run.
func TestJobStoredByAnEarlierVersionCounts(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(stepJob("a", time.Second))
	is.NoErr(err)
	w, job := withdrawal(t, 3, "a"), crank.KeyedRecord{Key: jobPrefix + "a", Value: value, Offset: 5}
	for _, records := range [][]crank.KeyedRecord{{w, job}, {job, w}} {
		s := NewState()
		for _, r := range records {
			s = with(t, s, r, nil, time.Now())
		}
		j, known := s.Job("a")
		is.True(known && !j.Cancelled())
	}
}
