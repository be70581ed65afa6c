package crankentryproof

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankgate"
	"cranberrycrank/standin/crankfakestore"

	"github.com/matryer/is"
)

// callerTime is how long callers of the outage tests wait for an answer to a job.
const callerTime = 3 * time.Second

// persist submits a job like a caller that returns when it is told to until its time
// is over, and returns when the job was accepted, or the last error.
func (c *cluster) persist(queue, id string, steps ...crank.Step) (time.Time, error) {
	deadline := time.Now().Add(callerTime)
	for i := 0; ; i++ {
		job := crank.StepJob{Payload: "plan " + id, Steps: steps}
		inst := c.running[instanceNames[i%len(instanceNames)]]
		r, err := inst.Requests.Route(c.t.Context(), crankgate.Request{Host: host, Path: "/" + queue + "/" + id, Key: c.key, Deadline: time.Until(deadline), Hold: true})
		if err == nil {
			recorded := job
			recorded.ID, recorded.Attempts = id, r.Queue.Attempts
			c.update(func() { c.jobs[id] = recorded })
			err = inst.Requests.Submit(c.t.Context(), r, job)
		}
		if err == nil {
			return time.Now(), nil
		}
		delay := time.Second
		var refusal *crankgate.Refusal
		if errors.As(err, &refusal) {
			delay = max(refusal.RetryAfter, 20*time.Millisecond)
		}
		if time.Now().Add(delay).After(deadline) {
			return time.Time{}, err
		}
		time.Sleep(delay)
	}
}

// Load pattern: the store refuses all calls for longer than callers wait, and a job
// arrives every 100 ms. Whoever still waits when the store is back is accepted within
// half a second of that; nobody else can be.
func TestCallersThatOutlastTheStoreOutageAreAccepted(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.setUp(8)
		const outage, answerTime = 4 * time.Second, 500 * time.Millisecond
		c.update(func() {
			c.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} }
		})
		back := time.Now().Add(outage)
		var callers sync.WaitGroup
		for i := 0; time.Now().Before(back); i++ {
			id, arrived := fmt.Sprintf("job%d", i), time.Now()
			callers.Go(func() {
				accepted, err := c.persist("urgent", id, gangStep(2, 1, time.Second))
				outlasts := arrived.Add(callerTime).After(back.Add(answerTime))
				if err != nil && outlasts {
					t.Errorf("%s, sent %s before the store was back, was not accepted: %v", id, back.Sub(arrived), err)
				}
				if err == nil && accepted.After(back.Add(answerTime)) {
					t.Errorf("%s was accepted only %s after the store was back", id, accepted.Sub(back))
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		clearStoreFaults(c)
		callers.Wait()
	})
}

// A key that is withdrawn while a submission is held must not open the workspace when
// the store is back.
func TestHeldSubmissionIsRoutedByTheNewestConfiguration(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.update(func() {
			c.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} }
		})
		result := make(chan error, 1)
		go func() {
			_, err := c.persist("urgent", "job1", gangStep(2, 1, time.Second))
			result <- err
		}()
		time.Sleep(500 * time.Millisecond)
		c.publishWithoutKeys(2)
		time.Sleep(c.running["a"].Requests.MaxConfigAge())
		clearStoreFaults(c)
		is.Equal(crank.KindOf(<-result), crank.KindDenied)
		time.Sleep(5 * time.Second)
		is.Equal(c.fleet.Runs(), 0)
	})
}

// Load pattern: the store stops to answer and returns while the caller still waits. An
// attempt may have taken effect, so the caller can't be refused; it is accepted as soon
// as a later attempt is answered.
func TestCallerIsAcceptedWhenASilentStoreReturnsInTime(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(4)
		c.update(func() {
			c.storeFaults = func(_, call string) crankfakestore.Fault { return lostAppend(call) }
		})
		caller := c.notLeader()
		results := make(chan error, 3)
		for _, id := range []string{"job1", "job2", "job3"} { // the later ones wait behind the first
			go func() { results <- c.submit(caller, "urgent", id, gangStep(2, 1, time.Second)) }()
			time.Sleep(400 * time.Millisecond)
		}
		time.Sleep(600 * time.Millisecond)
		clearStoreFaults(c)
		for range cap(results) {
			is.NoErr(<-results)
		}
		time.Sleep(5 * time.Second)
		is.Equal(c.fleet.Runs(), 6)
	})
}

// lostAppend is the fault of an append that never arrives.
func lostAppend(call string) crankfakestore.Fault {
	if call != "append" {
		return crankfakestore.Fault{}
	}
	return crankfakestore.Fault{Delay: time.Hour}
}
