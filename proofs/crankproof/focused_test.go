package crankproof

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/standin/crankfakeworker"

	"github.com/matryer/is"
)

// TestCutAnswer fetches a large answer from a worker that sends half of it: the
// caller gets an error, and the whole answer once the worker sends it.
func TestCutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		payload := []byte(`{"run-ms":100,"answer-bytes":100000}`)
		id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: payload})
		j := c.await(b, id, time.Minute)
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{CutAnswers: true})
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

// TestPausedInstanceWakesWithAnOldConfiguration publishes while an instance is
// paused: it judges nothing until it has caught up.
func TestPausedInstanceWakesWithAnOldConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		a.toLog.freeze()
		config := b.node.State().Config
		done, err := b.node.Publish(t.Context(), config.Version, config)
		is.NoErr(err)
		is.Equal(done.Missing, []string{"a"})
		is.True(!a.node.Ready())
		_, err = a.node.Submit(t.Context(), bill("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		a.toLog.thaw()
		time.Sleep(time.Second)
		is.True(a.node.Ready())
		is.Equal(a.node.Status().ConfigVersion, done.Version)
	})
}

// TestReplacedInstancesKeepTheConfiguration replaces all instances after the
// record of the publication has expired.
func TestReplacedInstancesKeepTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		config := a.node.State().Config
		done, err := a.node.Publish(t.Context(), config.Version, config)
		is.NoErr(err)
		time.Sleep(2 * retention)
		for _, id := range []string{"a", "b", "d"} {
			c.kill(id)
		}
		fresh := c.startEntry("a")
		defer c.stopAll()
		time.Sleep(settleTime)
		is.True(fresh.node.Ready())
		is.Equal(fresh.node.Status().ConfigVersion, done.Version)
	})
}

// TestLostStateIsNotEmptyState lets all records expire while no instance runs:
// a new instance says that it is not ready, and takes no request.
func TestLostStateIsNotEmptyState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, _, _, _ := startCluster(t)
		for _, id := range []string{"a", "b", "d"} {
			c.kill(id)
		}
		time.Sleep(2 * retention)
		fresh := c.startEntry("a")
		defer c.stopAll()
		time.Sleep(settleTime)
		is.True(!fresh.node.Ready())
		_, err := fresh.node.Submit(t.Context(), bill("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
	})
}

// TestLeavingWorkerGetsNoWork marks the worker that placements prefer as
// leaving while jobs arrive all the time.
func TestLeavingWorkerGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		defer c.stopAll()
		submit := func(n int) {
			c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: fmt.Appendf(nil, "quote %d", n)})
			time.Sleep(200 * time.Millisecond)
		}
		submit(0)
		worker := c.history.firstWorker()
		c.list.Leave(worker)
		c.history.leave(worker, time.Now())
		for n := range 50 {
			submit(n + 1)
		}
		is.Equal(check(c.history, time.Now()), nil)
		is.True(c.history.started() > 50)
	})
}

// TestGangWithARefusedStart starts a gang of two workers of which one refuses
// the start: the other part is stopped, and the gang runs whole elsewhere.
func TestGangWithARefusedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		c.workers["gulberg-w1"].SetFaults(crankfakeworker.Faults{NoStart: true})
		payload := `{"run-ms":5000}`
		c.history.addRequest(request{payload: payload, idempotent: true, tasks: 4})
		id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "batch", Payload: []byte(payload)})
		j := c.await(b, id, time.Minute)
		is.Equal(j.Result, crankfold.ResultSucceeded)
		is.True(j.Attempt.Number > 1)
		is.Equal(check(c.history, time.Now()), nil)
	})
}

// TestFailingWorkerIsSetAside breaks the worker that placements prefer: after a
// few failures jobs start elsewhere at once.
func TestFailingWorkerIsSetAside(t *testing.T) {
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
			is.Equal(c.await(b, id, time.Minute).Result, crankfold.ResultSucceeded)
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
