package crankpeer

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// stubLeader returns the same phase and error to every call and keeps the last job.
type stubLeader struct {
	phase crank.Phase
	err   error
	last  crank.StepJob
}

// Submit implements crank.Leader.
func (s *stubLeader) Submit(_ context.Context, job crank.StepJob) error {
	s.last = job
	return s.err
}

// AwaitEnd implements crank.Leader.
func (s *stubLeader) AwaitEnd(context.Context, string, time.Duration) (crank.Phase, error) {
	return s.phase, s.err
}

func TestLeaderRoundTrip(t *testing.T) {
	is := is.New(t)
	leader := &stubLeader{phase: crank.PhaseCompleted}
	server := httptest.NewServer(NewLeaderHandler(leader, "key of the server"))
	defer server.Close()
	addr := strings.TrimPrefix(server.URL, "http://")
	client := NewLeaderDialer().Leader(addr, "key of the server")

	job := crank.StepJob{ID: "job1", Queue: "urgent", Steps: []crank.Step{{Tasks: 2, Gang: true, RunTime: time.Second}}}
	is.NoErr(client.Submit(t.Context(), job))
	is.Equal(leader.last, job)
	phase, err := client.AwaitEnd(t.Context(), "job1", time.Second)
	is.NoErr(err)
	is.Equal(phase, crank.PhaseCompleted)

	for _, kind := range []crank.Kind{crank.KindUnavailable, crank.KindUnknown, crank.KindInvalid} {
		leader.err = crank.Fail("test", kind, "no")
		is.Equal(crank.KindOf(client.Submit(t.Context(), job)), kind)
		_, err = client.AwaitEnd(t.Context(), "job1", time.Second)
		is.Equal(crank.KindOf(err), kind)
	}

	leader.last = crank.StepJob{}
	malformed := crank.StepJob{ID: "job2", Steps: []crank.Step{{Tasks: 1, After: []int{7}}}}
	is.Equal(crank.KindOf(client.Submit(t.Context(), malformed)), crank.KindInvalid)
	is.Equal(leader.last.ID, "") // it did not reach the planner

	stranger := NewLeaderDialer().Leader(addr, "another key")
	is.True(stranger.Submit(t.Context(), job) != nil)
}
