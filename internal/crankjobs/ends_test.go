package crankjobs

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

func TestWitnessedEndsAreReadUntilTheyAreRemoved(t *testing.T) {
	is := is.New(t)
	run := crank.EndedRun{Number: 3, Task: crank.TaskID{Job: "a", Occurrence: 1, Step: 2, Index: 4}, Run: 5, Kind: crank.EndDone}
	written := WitnessedEnds{Incarnation: "i-1/17", Done: []DoneRun{NewDoneRun(run)}}
	r, err := WitnessedEndsRecord(written)
	is.NoErr(err)
	at := time.Unix(100, 0)
	empty := NewState()
	s, err := empty.With(r, at)
	is.NoErr(err)
	read := s.WitnessedSince(0)
	is.Equal(len(read), 1)
	is.Equal(read[0].Incarnation, "i-1/17")
	is.Equal(read[0].Done[0].Task(), run.Task)
	is.Equal(read[0].Done[0].Run, run.Run)
	is.Equal(len(s.WitnessedSince(s.Revision)), 0)
	is.Equal(s.WitnessedBefore(at), nil)
	is.Equal(s.WitnessedBefore(at.Add(1)), []string{"i-1/17"})
	is.Equal(s.Len(), 0) // it is no job
	is.Equal(len(empty.WitnessedSince(0)), 0)

	broken, err := s.With(crank.KeyedRecord{Key: r.Key, Value: []byte("?")}, at)
	is.True(err != nil)
	is.Equal(len(broken.WitnessedSince(0)), 1)

	s, err = s.With(WitnessedEndsRemovalRecord("i-1/17"), at)
	is.NoErr(err)
	is.Equal(len(s.WitnessedSince(0)), 0)
}

// A record with fewer ends, of the second instance that watches the same worker, replaced
// the fuller one.
func TestEndsOfOneWitnessReplaceNoneOfAnother(t *testing.T) {
	is := is.New(t)
	record := func(witness string, tasks ...int) crank.KeyedRecord {
		e := WitnessedEnds{Incarnation: "i-1/17", Witness: witness}
		for _, i := range tasks {
			e.Done = append(e.Done, DoneRun{Job: "a", Index: i, Run: 1})
		}
		r, err := WitnessedEndsRecord(e)
		is.NoErr(err)
		return r
	}
	at := time.Unix(100, 0)
	s := NewState()
	for _, r := range []crank.KeyedRecord{record("edge-1", 0), record("edge-1", 0, 1), record("edge-2", 0), record("", 2)} {
		s = with(t, s, r, nil, at)
	}
	read, tasks := s.WitnessedSince(0), make(map[string]int)
	for _, e := range read {
		is.Equal(e.Incarnation, "i-1/17")
		tasks[e.Witness] = len(e.Done)
	}
	is.Equal(tasks, map[string]int{"edge-1": 2, "edge-2": 1, "": 1})
	for _, key := range s.WitnessedBefore(at.Add(1)) {
		s = with(t, s, WitnessedEndsRemovalRecord(key), nil, at)
	}
	is.Equal(len(s.WitnessedSince(0)), 0)
}

// A version before the field of the witness reads the ends, logs the whole key as the
// incarnation and removes the record by it.
func TestEarlierVersionReadsEndsOfAWitness(t *testing.T) {
	is := is.New(t)
	r, err := WitnessedEndsRecord(WitnessedEnds{Incarnation: "i-1/17", Witness: "edge-1", Done: []DoneRun{{Job: "a", Run: 1}}})
	is.NoErr(err)
	prefix, id := splitKey(r.Key)
	is.Equal(prefix, endsPrefix)
	var earlier struct {
		Format int       `json:"format"`
		Done   []DoneRun `json:"done"`
	}
	is.NoErr(decodeVersioned(r.Value, &earlier, &earlier.Format))
	is.Equal(earlier.Done, []DoneRun{{Job: "a", Run: 1}})
	is.Equal(WitnessedEndsRemovalRecord(id).Key, r.Key)
}
