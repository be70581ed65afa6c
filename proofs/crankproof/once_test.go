package crankproof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/standin/crankfakelog"
	"cranberrycrank/standin/crankfakeworker"

	"github.com/matryer/is"
)

// startCluster starts three instances and two workers in each of three zones.
func startCluster(t *testing.T) (*cluster, *entry, *entry, *entry) {
	c := newCluster(t, testConfig())
	for _, zone := range []string{"gulberg", "raiwind", "kot"} {
		c.addWorkers(zone, 2)
	}
	a, b, d := c.startEntry("a"), c.startEntry("b"), c.startEntry("d")
	time.Sleep(settleTime)
	return c, a, b, d
}

func bill(key string, valid time.Duration) cranknode.Request {
	return cranknode.Request{Workspace: "kasur", Profile: "bill", Key: key, ValidUntil: time.Now().Add(valid), Payload: []byte(key)}
}

// TestRequestPastItsValidity sends a request again after its identity was
// forgotten: it is not run, and the caller is told that it may have been.
func TestRequestPastItsValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		r := bill("bill", 2*time.Minute)
		id := c.submit(a, r)
		is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		time.Sleep(3 * time.Minute)
		_, known := b.node.State().Job(id)
		is.True(!known)
		_, err := b.node.Submit(t.Context(), r)
		is.Equal(crank.KindOf(err), crank.KindExpired)
		is.Equal(c.history.started(), 1)
	})
}

// TestKeyOfAnotherRequest refuses a key that belongs to other content.
func TestKeyOfAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		r := bill("bill", time.Hour)
		c.submit(a, r)
		time.Sleep(time.Second)
		r.Payload = []byte("another buyer")
		_, err := b.node.Submit(t.Context(), r)
		is.Equal(crank.KindOf(err), crank.KindInvalid)
	})
}

// TestSubmissionWhileTheLogIsDown answers that the request was not run, and
// nothing of it runs later.
func TestSubmissionWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{Down: true})
		time.Sleep(time.Second)
		_, err := a.node.Submit(t.Context(), bill("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		c.log.SetFaults(crankfakelog.Faults{})
		time.Sleep(time.Minute)
		is.Equal(c.history.started(), 0)
	})
}

// TestLostAppendAnswers submits while appends take effect and their answers are
// lost: the request is accepted once and runs once.
func TestLostAppendAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{LoseAnswer: true})
		r := bill("bill", time.Hour)
		id := c.submit(a, r)
		is.Equal(c.submit(b, r), id)
		is.Equal(c.await(b, id, time.Minute).Result, crankfold.ResultSucceeded)
		is.Equal(c.history.started(), 1)
	})
}

// TestLostStartAnswers starts at workers that act on a start and lose their
// answer: the job runs once, and is done.
func TestLostStartAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{LoseStart: true})
		}
		r := bill("bill", time.Hour)
		r.Payload = []byte(`{"run-ms":5000}`)
		id := c.submit(a, r)
		j := c.await(b, id, time.Minute)
		is.Equal(j.Outcome, crank.OutcomeDone)
		is.Equal(j.Result, crankfold.ResultSucceeded)
		is.Equal(c.history.started(), 1)
	})
}

// TestUnreachableAfterLostStart loses the answer to a start and then the worker
// itself: the caller is told unknown, never that the job was not run, and it
// runs nowhere else.
func TestUnreachableAfterLostStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{LoseStart: true})
		}
		r := bill("bill", time.Hour)
		r.Payload = []byte(`{"run-ms":600000}`)
		id := c.submit(a, r)
		for c.history.started() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for id, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{Unreached: id == c.history.firstWorker()})
		}
		j := c.await(b, id, 2*time.Minute)
		is.Equal(j.Outcome, crank.OutcomeUnknown)
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{})
		}
		time.Sleep(time.Minute)
		is.Equal(c.history.started(), 1)
	})
}

// TestUnreachableWorkerIsPassedOver loses a worker that placements prefer: the
// next urgent job starts elsewhere soon, long before the worker counts as lost.
func TestUnreachableWorkerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		first := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("first")})
		c.await(a, first, time.Minute)
		c.workers[c.history.firstWorker()].SetFaults(crankfakeworker.Faults{Unreached: true})
		begun := time.Now()
		second := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("second")})
		is.Equal(c.await(b, second, time.Minute).Outcome, crank.OutcomeDone)
		is.True(time.Since(begun) < 2*time.Second)
	})
}

// TestLogCutFromOneInstance goes through a peer; cut from all instances,
// nothing starts.
func TestLogCutFromOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, d := startCluster(t)
		defer c.stopAll()
		a.toLog.setCut(true)
		time.Sleep(5 * time.Second)
		id := c.submit(a, bill("through a peer", time.Hour))
		is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		b.toLog.setCut(true)
		d.toLog.setCut(true)
		time.Sleep(5 * time.Second)
		for _, e := range []*entry{a, b, d} {
			_, err := e.node.Submit(t.Context(), bill("through nobody", time.Hour))
			is.Equal(crank.KindOf(err), crank.KindUnavailable)
		}
		is.Equal(c.history.started(), 1)
	})
}

// TestZoneTakenOutWhileAStartIsUnderWay freezes the owner of an attempt between
// its reservations and its starts and takes the zone out meanwhile.
func TestZoneTakenOutWhileAStartIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, testConfig())
		c.addWorkers("gulberg", 2)
		a := c.startEntry("a")
		b := c.startEntry("b")
		defer c.stopAll()
		time.Sleep(settleTime)
		for n := range 30 {
			for _, e := range []*entry{a, b} {
				e.toWork.freeze()
			}
			id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte{byte(n)}})
			time.Sleep(time.Duration(n*50) * time.Millisecond)
			confirmation, err := b.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Out: true, Force: true})
			is.NoErr(err)
			time.Sleep(zoneBound)
			before := c.history.started()
			for _, e := range []*entry{a, b} {
				e.toWork.thaw()
			}
			time.Sleep(10 * time.Second)
			is.Equal(c.history.started(), before) // nothing starts after the bound
			_, err = a.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Base: confirmation.Position})
			is.NoErr(err)
			is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		}
	})
}

// zoneCluster starts two instances over two workers of one zone.
func zoneCluster(t *testing.T) (*cluster, []*entry) {
	c := newCluster(t, testConfig())
	c.addWorkers("gulberg", 2)
	entries := []*entry{c.startEntry("a"), c.startEntry("b")}
	time.Sleep(settleTime)
	return c, entries
}

// takeOut takes the only zone out at the second instance.
func takeOut(t *testing.T, e *entry) {
	t.Helper()
	if _, err := e.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Out: true, Force: true}); err != nil {
		t.Fatal(err)
	}
}

// TestStartOnAStateThatIsBehind pauses the planner's instance before its
// reservations. It wakes while its way to the log is still stuck, so all that
// it knows is older than the zone's leaving.
func TestStartOnAStateThatIsBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, entries := zoneCluster(t)
		defer c.stopAll()
		for _, e := range entries {
			e.toWork.freeze()
		}
		c.submit(entries[0], cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("quote")})
		time.Sleep(100 * time.Millisecond)
		entries[0].toLog.freeze()
		takeOut(t, entries[1])
		time.Sleep(zoneBound)
		entries[0].toWork.thaw()
		time.Sleep(3 * time.Second)
		entries[0].toLog.thaw()
		entries[1].toWork.thaw()
		time.Sleep(10 * time.Second)
		is.Equal(c.history.started(), 0)
	})
}

// TestPauseBetweenTheLogAndTheStart pauses all instances once a reservation is
// granted, takes the zone out, and wakes them: the reservation has lapsed.
func TestPauseBetweenTheLogAndTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, entries := zoneCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{Delay: 300 * time.Millisecond})
		c.submit(entries[0], cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("quote")})
		for c.history.reserved() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for _, e := range entries {
			e.toWork.freeze()
		}
		time.Sleep(500 * time.Millisecond) // the tail of the log is read by now
		c.log.SetFaults(crankfakelog.Faults{})
		takeOut(t, entries[1])
		time.Sleep(zoneBound)
		for _, e := range entries {
			e.toWork.thaw()
		}
		time.Sleep(10 * time.Second)
		is.Equal(c.history.started(), 0)
	})
}

// TestOperatorsRace lets two operators bring a zone back on the same base while
// a third takes it out: whoever lost is told so.
func TestOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, d := startCluster(t)
		defer c.stopAll()
		ctx := context.Background()
		out, err := a.node.SetZone(ctx, crankrecord.Zone{Zone: "kot", Out: true, Force: true})
		is.NoErr(err)
		_, err = b.node.SetZone(ctx, crankrecord.Zone{Zone: "kot", Out: true, Force: true})
		is.NoErr(err)
		_, err = d.node.SetZone(ctx, crankrecord.Zone{Zone: "kot", Base: out.Position})
		is.Equal(crank.KindOf(err), crank.KindConflict)
		is.True(a.node.State().Zone("kot").Out)

		config := a.node.State().Config
		errs := make(chan error, 2)
		for _, e := range []*entry{a, b} {
			go func() {
				_, err := e.node.Publish(ctx, config.Version, config)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		is.True((first == nil) != (second == nil))
		if first == nil {
			first = second
		}
		is.Equal(crank.KindOf(first), crank.KindConflict)
	})
}
