package crankjobs

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// The planner indexes steps and tasks as a valid job has them, so a malformed record
// would stop every instance that leads.
func TestMalformedJobIsIgnored(t *testing.T) {
	for _, value := range []string{"{", "{}", `{"id":"a","steps":[{"tasks":1,"after":[7]}]}`, `{"id":"a","steps":[{"tasks":-1}]}`} {
		is := is.New(t)
		s, err := NewState().With(crank.KeyedRecord{Key: jobPrefix + "a", Value: []byte(value)}, time.Now())
		is.True(err != nil)
		_, known := s.Job("a")
		is.True(!known)
		s, err = s.With(crank.KeyedRecord{Key: jobPrefix + "a", Value: []byte(`{"id":"a","steps":[{"tasks":2}]}`)}, time.Now())
		is.NoErr(err)
		j, known := s.Job("a")
		is.True(known)
		is.Equal(len(j.Job.Steps), 1)
	}
}
