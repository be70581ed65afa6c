package crankfakemachine

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeplan"
)

func TestImpostorAnswersMeanwhile(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	calls := make(chan bool, 1)
	s.Impostor = func(crank.WorkerEntry) http.Handler {
		return http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls <- true })
	}
	end, err := s.Disturb(crankfakeplan.Disturbance{Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive})
	is.NoErr(err)
	is.Equal(s.see(), seenAnswer)
	is.Equal(len(calls), 1)
	is.Equal(s.runs(), 1)
	is.NoErr(end())
	is.Equal(s.see(), seenAnswer)
	is.Equal(len(calls), 1) // the worker itself
}

func TestEntryIsAlteredByAMove(t *testing.T) {
	is := is.New(t)
	s := newStage(t)
	s.Alter = func(e crank.WorkerEntry) crank.WorkerEntry {
		e.Zone = "altered"
		return e
	}
	isAltered := func() bool {
		for _, r := range s.store.Newest(crank.WorkerTopic) {
			if r.Key == s.id {
				return strings.Contains(string(r.Value), `"altered"`)
			}
		}
		return false
	}
	s.beat()
	is.True(!isAltered())
	end, err := s.Disturb(crankfakeplan.Disturbance{
		Kind: crankfakeplan.CutOff, For: time.Second, How: crankfakeplan.BackAlive, Way: crankfakeplan.WayMoved, Store: crankfakeplan.StoreKept,
	})
	is.NoErr(err)
	is.True(isAltered())
	is.NoErr(end())
	is.True(isAltered())
}
