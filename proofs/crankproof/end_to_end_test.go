package crankproof

import (
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankstate"

	"github.com/matryer/is"
)

// testConfig has four profiles: an urgent one, a checkpointable gang, one that is
// not idempotent, and a gang that is not idempotent.
func testConfig() crank.Config {
	one := crank.Resources{Accelerators: 1, Cores: 2, MemoryMiB: 1024, Slots: 1}
	four := crank.Resources{Accelerators: 4, Cores: 8, MemoryMiB: 8192, Slots: 4}
	return crank.Config{
		Objective: crank.ObjectiveCompletion,
		Zones:     []crank.Zone{{Name: "gulberg"}, {Name: "raiwind"}, {Name: "kot"}},
		Profiles: []crank.Profile{
			{Name: "quote", Class: crank.ClassUrgent, Idempotent: true, Shape: crank.Shape{Tasks: 1, PerTask: one, Span: crank.SpanWorker}, RunTime: time.Second, Attempts: 5, Objective: 0.99, Latency: 2 * time.Second},
			{Name: "batch", Class: crank.ClassPatient, Idempotent: true, Checkpointable: true, Shape: crank.Shape{Tasks: 4, PerTask: four, Span: crank.SpanRack}, RunTime: 10 * time.Second, Attempts: 5, Objective: 0.9, Latency: time.Hour},
			{Name: "bill", Class: crank.ClassPatient, Shape: crank.Shape{Tasks: 1, PerTask: one, Span: crank.SpanWorker}, RunTime: time.Second, Attempts: 1, Objective: 0.9, Latency: time.Minute},
			{Name: "bill-gang", Class: crank.ClassPatient, Shape: crank.Shape{Tasks: 4, PerTask: four, Span: crank.SpanRack}, RunTime: time.Second, Attempts: 1, Objective: 0.9, Latency: time.Minute},
		},
		Workspaces: []crank.Workspace{{Name: "kasur", MaxWaiting: 1000}, {Name: "sialkot", MaxWaiting: 1000}},
	}
}

// TestEndToEnd submits three jobs at different instances, awaits their outcomes at
// others, and fetches answers.
func TestEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, testConfig())
		c.addWorkers("gulberg", 2)
		c.addWorkers("raiwind", 2)
		c.addWorkers("kot", 2)
		a, b, d := c.startEntry("a"), c.startEntry("b"), c.startEntry("d")
		defer c.stopAll()
		time.Sleep(5 * time.Second)

		start := time.Now()
		quote := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("bale 7")})
		j := c.await(b, quote, time.Minute)
		is.Equal(j.Outcome, crank.OutcomeDone)
		is.True(time.Since(start) < 1100*time.Millisecond)
		answer, err := d.node.Answer(t.Context(), j)
		is.NoErr(err)
		is.Equal(string(answer), "answer to bale 7")

		batch := c.submit(b, cranknode.Request{Workspace: "kasur", Profile: "batch", Payload: []byte(`{"run-ms":20000,"answer-bytes":3000000}`)})
		bill := c.submit(d, cranknode.Request{Workspace: "sialkot", Profile: "bill", Key: "bill-1", ValidUntil: time.Now().Add(time.Hour), Payload: []byte("buyer 3")})
		j = c.await(a, batch, time.Minute)
		is.Equal(j.Outcome, crank.OutcomeDone)
		answer, err = b.node.Answer(t.Context(), j)
		is.NoErr(err)
		is.Equal(len(answer), 3000000)
		is.Equal(len(j.Attempt.Parts), 2)
		j = c.await(a, bill, time.Minute)
		is.Equal(j.Result, crankstate.ResultSucceeded)
	})
}
