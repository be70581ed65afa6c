package crankproof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/standin/crankfakeworker"

	"github.com/matryer/is"
)

// TestTruncatedAnswer fetches a large answer from a worker that sends half of it.
// The caller must get an error, and the whole answer once the worker sends it.
func TestTruncatedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		payload := []byte(`{"run-ms":100,"answer-bytes":100000}`)
		id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: payload})
		j := c.await(b, id, time.Minute)
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{TruncateAnswers: true})
		}
		_, err := b.node.Answer(t.Context(), j)
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{})
		}
		answer, err := b.node.Answer(t.Context(), j)
		is.NoErr(err)
		is.Equal(string(answer), string(crankfakeworker.Answer(payload)))
	})
}

// TestFrozenInstanceWithOldConfiguration publishes while an instance is frozen.
// It must reject requests until it has applied the new configuration.
func TestFrozenInstanceWithOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		a.logLink.freeze()
		config := b.node.State().Config
		confirmation, err := b.node.Publish(t.Context(), config.Version, config)
		is.NoErr(err)
		is.Equal(confirmation.Missing, []string{"a"})
		is.True(!a.node.Ready())
		_, err = a.node.Submit(t.Context(), billRequest("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		a.logLink.thaw()
		time.Sleep(time.Second)
		is.True(a.node.Ready())
		is.Equal(a.node.Status().ConfigVersion, confirmation.Version)
	})
}

// TestReplacedInstancesKeepTheConfiguration replaces all instances after the record
// of the publication has expired. The new instance must get the configuration from
// a snapshot.
func TestReplacedInstancesKeepTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		config := a.node.State().Config
		confirmation, err := a.node.Publish(t.Context(), config.Version, config)
		is.NoErr(err)
		time.Sleep(2 * retention)
		for _, id := range []string{"a", "b", "d"} {
			c.kill(id)
		}
		restarted := c.startEntry("a")
		defer c.stopAll()
		time.Sleep(settleTime)
		is.True(restarted.node.Ready())
		is.Equal(restarted.node.Status().ConfigVersion, confirmation.Version)
	})
}

// TestNotReadyAfterAllRecordsExpired lets all records expire while no instance
// runs. A new instance must not take the lost state for an empty one: it is not
// ready and rejects requests.
func TestNotReadyAfterAllRecordsExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _, _, _ := startCluster(t)
		for _, id := range []string{"a", "b", "d"} {
			c.kill(id)
		}
		time.Sleep(2 * retention)
		restarted := c.startEntry("a")
		defer c.stopAll()
		time.Sleep(settleTime)
		is.True(!restarted.node.Ready())
		_, err := restarted.node.Submit(t.Context(), billRequest("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
	})
}

// TestLeavingWorkerGetsNoWork marks the worker that placement prefers as leaving
// while jobs keep arriving. No job may start on it after leavingBound.
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		defer c.stopAll()
		submitQuote := func(n int) {
			c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: fmt.Appendf(nil, "quote %d", n)})
			time.Sleep(200 * time.Millisecond)
		}
		submitQuote(0)
		worker := c.history.firstWorker()
		c.list.MarkLeaving(worker)
		c.history.addLeavingWorker(worker, time.Now())
		for n := range 50 {
			submitQuote(n + 1)
		}
		is.Equal(checkHistory(c.history, time.Now()), nil)
		is.True(c.history.startCount() > 50)
	})
}

// TestGangWithARefusedStart places a gang on two workers, one of which refuses
// the start. The part on the other must be stopped, and the whole gang must run
// elsewhere.
func TestGangWithARefusedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		c.workers["gulberg-w1"].SetFaults(crankfakeworker.Faults{RefuseStarts: true})
		payload := `{"run-ms":5000}`
		c.history.addRequest(request{payload: payload, idempotent: true, tasks: 4})
		id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "batch", Payload: []byte(payload)})
		j := c.await(b, id, time.Minute)
		is.Equal(j.Result, crankstate.ResultSucceeded)
		is.True(j.Attempt.Number > 1)
		is.Equal(checkHistory(c.history, time.Now()), nil)
	})
}

// TestFailingWorkerIsQuarantined makes every job fail on the worker that
// placement prefers. After three failures jobs must start elsewhere.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		first := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("first")})
		c.await(b, first, time.Minute)
		broken := c.history.firstWorker()
		c.workers[broken].SetFaults(crankfakeworker.Faults{FailAll: true})
		for n := range 10 {
			id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: fmt.Appendf(nil, "quote %d", n)})
			is.Equal(c.await(b, id, time.Minute).Result, crankstate.ResultSucceeded)
		}
		failed := 0
		for _, s := range c.history.allStarts() {
			if s.worker == broken {
				failed++
			}
		}
		is.Equal(failed, 4) // the first job, and three that failed
	})
}
