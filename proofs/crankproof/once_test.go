package crankproof

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankrecord"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/standin/crankfakelog"
	"cranberrycrank/standin/crankfakeworker"

	"github.com/matryer/is"
)

// startCluster starts three entry instances, and two workers in each of three
// zones.
func startCluster(t *testing.T) (*cluster, *entry, *entry, *entry) {
	c := newCluster(t, testConfig())
	for _, zone := range []string{"gulberg", "raiwind", "kot"} {
		c.addWorkers(zone, 2)
	}
	a, b, d := c.startEntry("a"), c.startEntry("b"), c.startEntry("d")
	time.Sleep(settleTime)
	return c, a, b, d
}

// billRequest returns a request that is not idempotent, with a key.
func billRequest(key string, valid time.Duration) cranknode.Request {
	return cranknode.Request{Workspace: "kasur", Profile: "bill", Key: key, ValidUntil: time.Now().Add(valid), Payload: []byte(key)}
}

// TestResubmissionAfterValidity resubmits a request after its validity, when
// the instances no longer know its key. It must not run again, and the caller
// gets the error that says it may have run.
func TestResubmissionAfterValidity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		r := billRequest("bill", 2*time.Minute)
		id := c.submit(a, r)
		is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		time.Sleep(3 * time.Minute)
		_, known := b.node.State().Job(id)
		is.True(!known)
		_, err := b.node.Submit(t.Context(), r)
		is.Equal(crank.KindOf(err), crank.KindExpired)
		is.Equal(c.history.startCount(), 1)
	})
}

// TestKeyReuseWithDifferentPayload submits another payload under a used key,
// which must be rejected.
func TestKeyReuseWithDifferentPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		r := billRequest("bill", time.Hour)
		c.submit(a, r)
		time.Sleep(time.Second)
		r.Payload = []byte("another buyer")
		_, err := b.node.Submit(t.Context(), r)
		is.Equal(crank.KindOf(err), crank.KindInvalid)
	})
}

// TestSubmissionWhileTheLogIsDown submits while the log is down: the caller
// learns that the request was not run, and it must not run later either.
func TestSubmissionWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, _, _ := startCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{Down: true})
		time.Sleep(time.Second)
		_, err := a.node.Submit(t.Context(), billRequest("bill", time.Hour))
		is.Equal(crank.KindOf(err), crank.KindUnavailable)
		c.log.SetFaults(crankfakelog.Faults{})
		time.Sleep(time.Minute)
		is.Equal(c.history.startCount(), 0)
	})
}

// TestLostAppendResponses submits while appends take effect but their responses
// are lost. The request must be accepted once and run once.
func TestLostAppendResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{DropResponse: true})
		r := billRequest("bill", time.Hour)
		id := c.submit(a, r)
		is.Equal(c.submit(b, r), id)
		is.Equal(c.await(b, id, time.Minute).Result, crankstate.ResultSucceeded)
		is.Equal(c.history.startCount(), 1)
	})
}

// TestLostStartResponses runs a job on workers that act on a start but whose
// response is lost. The job must run once and end as done.
func TestLostStartResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{DropStartResponse: true})
		}
		r := billRequest("bill", time.Hour)
		r.Payload = []byte(`{"run-ms":5000}`)
		id := c.submit(a, r)
		j := c.await(b, id, time.Minute)
		is.Equal(j.Outcome, crank.OutcomeDone)
		is.Equal(j.Result, crankstate.ResultSucceeded)
		is.Equal(c.history.startCount(), 1)
	})
}

// TestUnreachableAfterLostStart loses the response to a start and then the worker.
// The outcome must be unknown, not not-run, and the job must not run elsewhere.
func TestUnreachableAfterLostStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{DropStartResponse: true})
		}
		r := billRequest("bill", time.Hour)
		r.Payload = []byte(`{"run-ms":600000}`)
		id := c.submit(a, r)
		for c.history.startCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for id, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{Unreachable: id == c.history.firstWorker()})
		}
		j := c.await(b, id, 2*time.Minute)
		is.Equal(j.Outcome, crank.OutcomeUnknown)
		for _, w := range c.workers {
			w.SetFaults(crankfakeworker.Faults{})
		}
		time.Sleep(time.Minute)
		is.Equal(c.history.startCount(), 1)
	})
}

// TestUnreachableWorkerIsSkipped makes the worker that placement prefers
// unreachable. The next urgent job must start elsewhere soon, long before the
// worker counts as lost.
func TestUnreachableWorkerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, _ := startCluster(t)
		defer c.stopAll()
		first := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("first")})
		c.await(a, first, time.Minute)
		c.workers[c.history.firstWorker()].SetFaults(crankfakeworker.Faults{Unreachable: true})
		start := time.Now()
		second := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("second")})
		is.Equal(c.await(b, second, time.Minute).Outcome, crank.OutcomeDone)
		is.True(time.Since(start) < 2*time.Second)
	})
}

// TestLogUnreachableFromOneInstance submits to an instance without a link to the
// log, which must go through a peer. Once no instance reaches the log, every
// request must be rejected and nothing may start.
func TestLogUnreachableFromOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, a, b, d := startCluster(t)
		defer c.stopAll()
		a.logLink.setDown(true)
		time.Sleep(5 * time.Second)
		id := c.submit(a, billRequest("through a peer", time.Hour))
		is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		b.logLink.setDown(true)
		d.logLink.setDown(true)
		time.Sleep(5 * time.Second)
		for _, e := range []*entry{a, b, d} {
			_, err := e.node.Submit(t.Context(), billRequest("through nobody", time.Hour))
			is.Equal(crank.KindOf(err), crank.KindUnavailable)
		}
		is.Equal(c.history.startCount(), 1)
	})
}

// TestZoneTakenOutWhileAStartIsUnderWay freezes the links to the workers, which
// holds reservations and starts back, and takes the zone out of service 0 to 1.45 s
// after a submission. After zoneBound nothing may start, even once the links thaw.
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
				e.workerLink.freeze()
			}
			id := c.submit(a, cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte{byte(n)}})
			time.Sleep(time.Duration(n*50) * time.Millisecond)
			confirmation, err := b.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Out: true, Force: true})
			is.NoErr(err)
			time.Sleep(zoneBound)
			before := c.history.startCount()
			for _, e := range []*entry{a, b} {
				e.workerLink.thaw()
			}
			time.Sleep(10 * time.Second)
			is.Equal(c.history.startCount(), before) // nothing starts after the bound
			_, err = a.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Base: confirmation.Position})
			is.NoErr(err)
			is.Equal(c.await(a, id, time.Minute).Outcome, crank.OutcomeDone)
		}
	})
}

// startZoneCluster starts two entry instances and two workers in one zone.
func startZoneCluster(t *testing.T) (*cluster, []*entry) {
	c := newCluster(t, testConfig())
	c.addWorkers("gulberg", 2)
	entries := []*entry{c.startEntry("a"), c.startEntry("b")}
	time.Sleep(settleTime)
	return c, entries
}

func takeZoneOut(t *testing.T, e *entry) {
	t.Helper()
	if _, err := e.node.SetZone(t.Context(), crankrecord.Zone{Zone: "gulberg", Out: true, Force: true}); err != nil {
		t.Fatal(err)
	}
}

// TestStartWithStaleState freezes the planner's instance before its
// reservations and takes the zone out of service. Its link to the workers thaws
// while its link to the log is still frozen, so its state is older than the zone
// change. Nothing may start.
func TestStartWithStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, entries := startZoneCluster(t)
		defer c.stopAll()
		for _, e := range entries {
			e.workerLink.freeze()
		}
		c.submit(entries[0], cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("quote")})
		time.Sleep(100 * time.Millisecond)
		entries[0].logLink.freeze()
		takeZoneOut(t, entries[1])
		time.Sleep(zoneBound)
		entries[0].workerLink.thaw()
		time.Sleep(3 * time.Second)
		entries[0].logLink.thaw()
		entries[1].workerLink.thaw()
		time.Sleep(10 * time.Second)
		is.Equal(c.history.startCount(), 0)
	})
}

// TestFreezeBetweenReservationAndStart freezes the links to the workers once a
// reservation is granted, takes the zone out of service, and thaws them after
// the reservation has expired. The job must not start.
func TestFreezeBetweenReservationAndStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, entries := startZoneCluster(t)
		defer c.stopAll()
		c.log.SetFaults(crankfakelog.Faults{Delay: 300 * time.Millisecond})
		c.submit(entries[0], cranknode.Request{Workspace: "kasur", Profile: "quote", Payload: []byte("quote")})
		for c.history.reservationCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for _, e := range entries {
			e.workerLink.freeze()
		}
		time.Sleep(500 * time.Millisecond) // long enough to read the end of the log
		c.log.SetFaults(crankfakelog.Faults{})
		takeZoneOut(t, entries[1])
		time.Sleep(zoneBound)
		for _, e := range entries {
			e.workerLink.thaw()
		}
		time.Sleep(10 * time.Second)
		is.Equal(c.history.startCount(), 0)
	})
}

// TestConcurrentOperatorChanges changes a zone from a stale base and publishes two
// configurations on one base. The change and one of the publications must fail
// with a conflict.
func TestConcurrentOperatorChanges(t *testing.T) {
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
