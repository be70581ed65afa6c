package crankprocess

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankapi"
	"cranberrycrank/pkg/crankclient"

	"github.com/matryer/is"
)

// newSubmission returns a submission. A bill is not idempotent and gets its
// payload as its key.
func newSubmission(profile, payload string) crankclient.Submission {
	s := crankclient.Submission{Profile: profile, Payload: []byte(payload)}
	if profile == "bill" {
		s.IdempotencyKey = payload
		s.ValidUntil = time.Now().Add(time.Hour)
	}
	return s
}

// submitUntilAccepted retries a submission under the same key.
func submitUntilAccepted(t *testing.T, c *crankclient.Client, s crankclient.Submission) crankapi.Job {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		job, err := c.Submit(ctx, s)
		cancel()
		if err == nil {
			return job
		}
		if time.Now().After(deadline) {
			t.Fatalf("not accepted: %v", err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// TestKilledInstances submits a bill to each instance in turn, kills the instance,
// and submits the bill again to another. It must be the same job and start once.
func TestKilledInstances(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 3, 6)
	for n := range d.entries {
		payload := fmt.Sprintf("bill after the death of instance %d", n)
		s := newSubmission("bill", payload)
		first := submitUntilAccepted(t, d.callerClient(n), s)
		d.entries[n].signal(t, syscall.SIGKILL)
		again := submitUntilAccepted(t, d.callerClient(n+1), s)
		is.Equal(first.ID, again.ID)
		job := d.awaitOutcome(d.callerClient(n+1), first.ID)
		is.Equal(job.Outcome, crank.OutcomeDone)
		is.Equal(len(d.startLines(payload)), 1)
		d.entries[n] = d.startEntry(n, d.logAddr)
		d.waitFor("the new instance is ready", func() bool {
			d.register(n, d.entries[n])
			return isReady(d.entries[n])
		})
	}
}

// TestFrozenInstance suspends an instance, takes two of the three zones out of
// service while others accept jobs, and resumes it. After 3 s no task may start
// in these zones.
func TestFrozenInstance(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 3, 6)
	d.entries[0].signal(t, syscall.SIGSTOP)
	for _, zone := range zones[:2] {
		_, err := d.operatorClient(1).SetZone(context.Background(), zone, crankapi.ZoneRequest{Out: true, Force: true})
		is.NoErr(err)
	}
	out := time.Now()
	var wg sync.WaitGroup
	for n := range 10 {
		wg.Go(func() {
			payload := fmt.Sprintf("quote while frozen %d", n)
			job := submitUntilAccepted(t, d.callerClient(1+n%2), newSubmission("quote-check", payload))
			if got := d.awaitOutcome(d.callerClient(1+n%2), job.ID); got.Outcome != crank.OutcomeDone {
				t.Errorf("quote %d: %+v", n, got)
			}
		})
	}
	time.Sleep(time.Second)
	d.entries[0].signal(t, syscall.SIGCONT)
	wg.Wait()
	job := submitUntilAccepted(t, d.callerClient(0), newSubmission("quote-check", "quote after the wake"))
	is.Equal(d.awaitOutcome(d.callerClient(0), job.ID).Outcome, crank.OutcomeDone)
	for _, line := range d.startLines("quote") {
		var at int64
		var worker string
		_, err := fmt.Sscan(line, &at, &worker)
		is.NoErr(err)
		sinceOut := time.UnixMilli(at).Sub(out)
		is.True(sinceOut < 3*time.Second || worker == "worker-2" || worker == "worker-5") // the workers of the third zone
	}
}

// submitPause keeps the load below the workspace's rate limit.
const submitPause = 40 * time.Millisecond

// readyClient returns a client of a ready instance, as the platform's load balancer
// picks one.
func (d *deployment) readyClient(mu *sync.Mutex, n int) *crankclient.Client {
	for ; ; n++ {
		mu.Lock()
		e := d.entries[n%len(d.entries)]
		mu.Unlock()
		if isReady(e) {
			return crankclient.New(crankclient.Config{Addrs: []string{e.addr}, APIKey: "example key of kasur"})
		}
		time.Sleep(submitPause)
	}
}

// TestRollingReplacement stops every instance in turn with SIGTERM and replaces
// it, under load through a balancer. No request may fail and every job must end as
// done.
func TestRollingReplacement(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 3, 6)
	var mu sync.Mutex
	var jobs []string
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range 4 {
		load.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				c := d.readyClient(&mu, n+i)
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				s := newSubmission("quote-check", fmt.Sprintf("rolling %d %d", n, i))
				s.Wait = 3 * time.Second
				job, err := c.Submit(ctx, s)
				cancel()
				if err != nil {
					t.Errorf("request %d %d failed: %v", n, i, err)
					return
				}
				mu.Lock()
				jobs = append(jobs, job.ID)
				mu.Unlock()
				time.Sleep(submitPause)
			}
		})
	}
	for n := range d.entries {
		old := d.entries[n]
		old.signal(t, syscall.SIGTERM)
		is.NoErr(<-old.done)
		is.True(!strings.Contains(old.output.String(), "attempt is void")) // a stopping instance completes the starts under way
		replacement := d.startEntry(n, d.logAddr)
		d.waitFor("the new instance is ready", func() bool {
			d.register(n, replacement)
			return isReady(replacement)
		})
		mu.Lock()
		d.entries[n] = replacement
		mu.Unlock()
	}
	close(stop)
	load.Wait()
	is.True(len(jobs) > 0)
	for _, id := range jobs {
		is.Equal(d.awaitOutcome(d.callerClient(0), id).Outcome, crank.OutcomeDone)
	}
	t.Logf("%d requests, none failed", len(jobs))
}

// TestBlackholedConnections blackholes the open connections between an instance and
// the log while new ones work, and later closes and refuses all. The instance must
// run jobs in both cases and once connections work again.
func TestBlackholedConnections(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 2, 6)
	proxy := newTCPProxy(t, d.logAddr)
	n := len(d.entries)
	e := d.startEntry(n, proxy.addr())
	d.entries = append(d.entries, e)
	d.waitFor("the instance behind the proxy is ready", func() bool {
		d.register(n, e)
		return isReady(e)
	})
	client := crankclient.New(crankclient.Config{Addrs: []string{e.addr}, APIKey: "example key of kasur"})
	proxy.blackholeOpenConns()
	job := submitUntilAccepted(t, client, newSubmission("quote-check", "through silence"))
	is.Equal(d.awaitOutcome(client, job.ID).Outcome, crank.OutcomeDone)
	proxy.setDown(true)
	job = submitUntilAccepted(t, client, newSubmission("quote-check", "through a peer"))
	is.Equal(d.awaitOutcome(client, job.ID).Outcome, crank.OutcomeDone)
	proxy.setDown(false)
	job = submitUntilAccepted(t, client, newSubmission("bill", "after the cut"))
	is.Equal(d.awaitOutcome(client, job.ID).Outcome, crank.OutcomeDone)
	is.Equal(len(d.startLines("after the cut")), 1)
}

// TestWrongKeysAndBodies sends requests with wrong keys and bodies, each of which
// must be rejected with its own error, and a valid anonymous one.
func TestWrongKeysAndBodies(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1, 6)
	addr := []string{d.entries[0].addr}
	ctx := context.Background()
	_, err := crankclient.New(crankclient.Config{Addrs: addr, APIKey: "wrong"}).Submit(ctx, newSubmission("quote-check", "x"))
	is.True(strings.Contains(err.Error(), "the key belongs to no workspace"))
	_, err = crankclient.New(crankclient.Config{Addrs: addr, Workspace: "kasur"}).Submit(ctx, newSubmission("bill", "x"))
	is.True(strings.Contains(err.Error(), "profile bill needs a key"))
	_, err = crankclient.New(crankclient.Config{Addrs: addr, APIKey: "wrong"}).Zones(ctx)
	is.True(strings.Contains(err.Error(), "the operator key is wrong or missing"))
	_, err = d.callerClient(0).Submit(ctx, crankclient.Submission{Profile: "bill", Payload: []byte("no key")})
	is.Equal(crank.KindOf(err), crank.KindInvalid)
	_, err = d.callerClient(0).Submit(ctx, newSubmission("quote-check", strings.Repeat("x", crank.MaxPayloadBytes+1)))
	is.True(strings.Contains(err.Error(), "larger than 64 KiB"))
	job, err := crankclient.New(crankclient.Config{Addrs: addr, Workspace: "kasur"}).Submit(ctx, newSubmission("quote-check", "anonymous"))
	is.NoErr(err)
	is.Equal(job.Outcome, crank.OutcomePending)
}
