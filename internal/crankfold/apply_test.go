package crankfold

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"

	"github.com/matryer/is"
)

// stream applies batches to a state in order.
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
	s.state, result = s.state.Apply(crank.Entry{Offset: s.offset, Data: data})
	s.offset++
	return result.Verdicts
}

func newStream(t *testing.T) *stream {
	s := &stream{t: t, state: New()}
	config := crank.Config{Zones: []crank.Zone{{Name: "ikeja"}}}
	s.apply("operator", 1, crankrecord.Record{Publish: &crankrecord.Publish{Config: config}})
	return s
}

// TestSecondOfTwoEqualBatches applies an append again that was repeated after a
// lost answer, when another operator has acted in between.
func TestSecondOfTwoEqualBatches(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	out := crankrecord.Record{Zone: &crankrecord.Zone{Zone: "ikeja", Out: true, Force: true}}
	s.apply("a", 1, out)
	in := crankrecord.Record{Zone: &crankrecord.Zone{Zone: "ikeja", Base: s.state.Zone("ikeja").Changed}}
	is.True(s.apply("b", 1, in)[0].Accepted)
	is.Equal(len(s.apply("a", 1, out)), 0)
	is.True(!s.state.Zone("ikeja").Out)
}

// TestOldTermIsVoid rejects what an earlier planner proposed.
func TestOldTermIsVoid(t *testing.T) {
	is := is.New(t)
	s := newStream(t)
	s.apply("a", 1, crankrecord.Record{Term: &crankrecord.Term{Instance: "a"}})
	old := s.state.Term.Number
	s.apply("b", 1, crankrecord.Record{Term: &crankrecord.Term{After: old, Instance: "b"}})
	verdict := s.apply("a", 2, crankrecord.Record{Pulse: &crankrecord.Pulse{Term: old}})[0]
	is.True(!verdict.Accepted)
	is.Equal(verdict.Kind, crank.KindConflict)
}

// TestSnapshotIsTheState restores a snapshot and compares it.
func TestSnapshotIsTheState(t *testing.T) {
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
