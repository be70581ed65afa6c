package crankproof

import (
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/standin/crankfakeworker"

	"github.com/matryer/is"
)

// moveWorker gives a worker another address, and its former one to a new worker. The list
// is down meanwhile.
func (c *cluster) moveWorker(id string) {
	c.list.SetDown(true)
	time.AfterFunc(8*time.Second, func() { c.list.SetDown(false) })
	synctest.Wait() // nobody looks for an address now
	moved, capacity := c.workers[id], crank.Resources{Accelerators: 8, Cores: 60, MemoryMiB: 1 << 18, Slots: 8}
	c.workers[id+"-moved"] = moved
	c.workers[id] = crankfakeworker.New(crankfakeworker.Config{ID: id + "-next", Epoch: "2", Capacity: capacity, Observe: func(e crankfakeworker.Event) { c.history.addWorkerEvent("", e) }})
	for _, i := range c.list.Current() {
		if i.ID == id {
			next := i
			i.Addr = id + "-moved"
			c.list.Put(i)
			next.ID, next.Epoch = id+"-next", "2"
			c.list.Put(next)
		}
	}
}

// The answer of the worker that had got the address of another one was taken for a restart
// of that one: its runs were over, and idempotent ones started again elsewhere.
func TestAnswerOfTheNextWorkerAtAnAddressEndsNoRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		request cranknode.Request
	}{
		{"at_most_once", cranknode.Request{Workspace: "kasur", Profile: "bill", Key: "bill", ValidUntil: time.Now().Add(24 * time.Hour)}},
		{"idempotent", cranknode.Request{Workspace: "kasur", Profile: "quote"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cl, a, b, _ := startCluster(t)
				defer cl.stopAll()
				r := c.request
				if r.Key != "" {
					r.ValidUntil = time.Now().Add(time.Hour)
				}
				r.Payload = []byte(`{"run-ms":20000}`)
				id := cl.submit(a, r)
				for cl.history.startCount() == 0 {
					time.Sleep(10 * time.Millisecond)
				}
				time.Sleep(2 * time.Second)
				cl.moveWorker(cl.history.firstWorker())
				j := cl.await(b, id, 2*time.Minute)
				is.Equal(j.Outcome, crank.OutcomeDone)
				is.Equal(j.Result, crankstate.ResultSucceeded)
				is.Equal(cl.history.startCount(), 1)
			})
		})
	}
}

// The next worker at the address does not have the answer, so the caller was told that it
// was no longer kept.
func TestAnswerKeptByAMovedWorkerIsNotExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		defer c.stopAll()
		payload := []byte(`{"answer-bytes":40000}`)
		j := c.await(a, c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: payload}), time.Minute)
		c.moveWorker(c.history.firstWorker())
		_, err := a.node.Answer(t.Context(), j)
		is.True(err != nil)
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		time.Sleep(12 * time.Second) // the list is back and shows the address
		answer, err := a.node.Answer(t.Context(), j)
		is.NoErr(err)
		is.Equal(string(answer), string(crankfakeworker.Answer(payload)))
	})
}
