package crankstate

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"

	"github.com/matryer/is"
)

// stream applies batches to a state at increasing offsets.
type stream struct {
	t      *testing.T
	state  State
	offset crank.Offset
}

func (s *stream) apply(writer string, sequence int64, records ...crankrecord.Record) []Verdict {
	s.t.Helper()
	data, err := crankrecord.Encode(crankrecord.Batch{Writer: writer, Sequence: sequence, At: time.Unix(1893456000, 0), Records: records})
	if err != nil {
		s.t.Fatal(err)
	}
	var result BatchResult
	s.state, result = s.state.Apply(crank.LogEntry{Offset: s.offset, Data: data})
	s.offset++
	return result.Verdicts
}

func newStream(t *testing.T) *stream {
	s := &stream{t: t, state: New()}
	config := crank.Config{Zones: []crank.Zone{{Name: "ikeja"}}}
	s.apply("operator", 1, crankrecord.Record{Publish: &crankrecord.Publish{Config: config}})
	return s
}

// TestRepeatedBatchIsIgnored applies a batch twice, as when a writer retries an
// append whose answer was lost. The retry must not undo what another operator
// changed in between.
func TestRepeatedBatchIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	out := crankrecord.Record{Zone: &crankrecord.Zone{Zone: "ikeja", Out: true, Force: true}}
	s.apply("a", 1, out)
	in := crankrecord.Record{Zone: &crankrecord.Zone{Zone: "ikeja", Base: s.state.Zone("ikeja").Changed}}
	is.True(s.apply("b", 1, in)[0].Accepted)
	is.Equal(len(s.apply("a", 1, out)), 0)
	is.True(!s.state.Zone("ikeja").Out)
}

// TestOldTermIsRejected applies a heartbeat of the holder of the previous term.
func TestOldTermIsRejected(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.apply("a", 1, crankrecord.Record{Term: &crankrecord.Term{Instance: "a"}})
	old := s.state.Term.Number
	s.apply("b", 1, crankrecord.Record{Term: &crankrecord.Term{PreviousTerm: old, Instance: "b"}})
	verdict := s.apply("a", 2, crankrecord.Record{Heartbeat: &crankrecord.Heartbeat{Term: old}})[0]
	is.True(!verdict.Accepted)
	is.Equal(verdict.Kind, crank.KindConflict)
}

// TestSnapshotRoundTrip restores a snapshot and encodes it again.
func TestSnapshotRoundTrip(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.apply("a", 1, crankrecord.Record{Zone: &crankrecord.Zone{Zone: "ikeja", Out: true, Force: true}})
	first, err := s.state.Snapshot()
	is.NoErr(err)
	restored, err := Restore(first)
	is.NoErr(err)
	second, err := restored.Snapshot()
	is.NoErr(err)
	is.Equal(first, second)
	is.True(restored.Zone("ikeja").Out)
}
