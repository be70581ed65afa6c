package cranksched

import (
	"log/slog"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankjobs"

	"github.com/matryer/is"
)

// The roster must always fit into a record, and never lose incarnations that may have
// received orders.
func TestRosterOfALargeFleetFitsIntoARecord(t *testing.T) {
	is := is.New(t)
	s := fullFleet(0.25)
	stored := len(s.roster.stored)
	is.Equal(stored, 400)
	r, roster, err := s.rosterRecord(time.Now())
	is.NoErr(err)
	listed := roster.Incarnations
	is.Equal(len(listed), stored)

	s.StoreLimits = crank.StoreLimits{RecordBytes: r.EncodedBytes() / 2}
	s.roster.stored = make(map[string]bool)
	for _, incarnation := range listed[:100] {
		s.roster.stored[incarnation] = true
	}
	r, roster, err = s.rosterRecord(time.Now())
	is.NoErr(err)
	listed = roster.Incarnations
	is.NoErr(s.StoreLimits.Check(r))
	is.True(len(listed) > 150 && len(listed) < stored)
	for _, incarnation := range listed[:100] {
		is.True(s.roster.stored[incarnation])
	}
}

// The progress of a job that the store refuses must not be written for ever, nor keep
// the progress beside it from being handled as stored.
func TestRefusedProgressFailsTheJobOnly(t *testing.T) {
	is := is.New(t)
	s := fullFleet(0.01)
	s.Logger = slog.New(slog.DiscardHandler)
	bad, good := s.benchJob("bad", 4, crank.Demand{}), s.benchJob("good", 4, crank.Demand{})
	good.claimed = false
	bad.progress.Done = crankjobs.TaskSet{1}
	refusal := crankfeed.AppendResult{Err: crank.Fail("test", crank.KindTooLarge, "status 413")}

	results := []crankfeed.AppendResult{refusal, {Stored: crank.OffsetRange{First: 0, End: 1}}}
	s.handleWriteResults(writtenProgress{jobs: []*job{bad, good}, records: make([]crankjobs.Progress, 2)}, results)
	is.True(!s.retryAt.IsZero())
	is.True(good.claimed)
	is.Equal(bad.progress.Outcome, crankjobs.OutcomeFailed)
	is.Equal(len(s.dirty), 1)
	r, err := s.progressRecord(bad)
	is.NoErr(err)
	bare, err := crankjobs.ProgressRecord("bad", crankjobs.Progress{Term: 1, Outcome: crankjobs.OutcomeFailed, Reason: bad.progress.Reason})
	is.NoErr(err)
	is.Equal(r, bare)

	clear(s.dirty)
	s.handleWriteResults(writtenProgress{jobs: []*job{bad}, records: make([]crankjobs.Progress, 1)}, []crankfeed.AppendResult{refusal})
	is.Equal(len(s.dirty), 0) // not written a third time

	s.handleWriteResults(writtenProgress{jobs: []*job{good}, records: make([]crankjobs.Progress, 1)}, []crankfeed.AppendResult{{Err: crank.Fail("test", crank.KindUnavailable, "status 503")}})
	is.Equal(len(s.dirty), 1)
	is.Equal(good.progress.Outcome, crankjobs.OutcomeNone)
}

// A job that ended while an earlier record of it was being stored was told as completed
// before its end was stored.
func TestEndIsToldOnlyOnceItsRecordIsStored(t *testing.T) {
	is := is.New(t)
	s := fullFleet(0.01)
	s.Logger = slog.New(slog.DiscardHandler)
	j := s.benchJob("job", 1, crank.Demand{})
	earlier := j.progress
	s.setOutcome(j, crankjobs.OutcomeCompleted, "")
	stored := []crankfeed.AppendResult{{Stored: crank.OffsetRange{First: 0, End: 1}}}

	s.handleWriteResults(writtenProgress{jobs: []*job{j}, records: []crankjobs.Progress{earlier}}, stored)
	_, told := s.endPhases["job"]
	is.True(!told)
	s.handleWriteResults(writtenProgress{jobs: []*job{j}, records: []crankjobs.Progress{j.progress}}, stored)
	is.Equal(s.endPhases["job"], crank.PhaseCompleted)
}

// A worker that left the roster and came back while it was written had orders under a number
// that was not stored.
func TestNumberThatIsNotStoredIsNotConfirmed(t *testing.T) {
	is := is.New(t)
	r := newRoster()
	w := &worker{entry: crank.WorkerEntry{ID: "w", StartTimeMs: 1, Addr: "x"}, incarnation: "w/1"}
	r.add(w)
	inFlight := r.record(1, 10)
	r.remove(w.incarnation)
	r.add(w)
	r.confirm(inFlight)
	is.True(!r.numbered[w.incarnation])
	is.True(r.stale)
	r.confirm(r.record(1, 10))
	is.True(r.numbered[w.incarnation])
}

// A stored end that was written again came after a cancellation that it came before.
func TestStoredEndIsWrittenOnce(t *testing.T) {
	is := is.New(t)
	s := fullFleet(0.01)
	s.Logger = slog.New(slog.DiscardHandler)
	j := s.benchJob("job", 1, crank.Demand{})
	earlier := j.progress
	s.setOutcome(j, crankjobs.OutcomeFailed, "")
	stored := []crankfeed.AppendResult{{Stored: crank.OffsetRange{First: 0, End: 1}}}
	s.handleWriteResults(writtenProgress{jobs: []*job{j}, records: []crankjobs.Progress{earlier}}, stored)
	s.dropRecordedEnds()
	is.Equal(len(s.dirty), 1) // only a record without the end is stored

	s.handleWriteResults(writtenProgress{jobs: []*job{j}, records: []crankjobs.Progress{j.progress}}, stored)
	s.markDirty(j)
	s.dropRecordedEnds()
	is.Equal(len(s.dirty), 0)

	j.progress.Outcome = crankjobs.OutcomeCancelled // a cancellation before the end was read late
	s.markDirty(j)
	s.dropRecordedEnds()
	is.Equal(len(s.dirty), 1)
}
