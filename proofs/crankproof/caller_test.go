package crankproof

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/cranknode"
	"cranberrycrank/internal/crankstate"
)

// caller sends a request to one instance after another until it has a definite
// answer, and records that in the history.
type caller struct {
	cluster *cluster
	profile crank.Profile
	payload string
	first   int  // index of the instance called first
	twice   bool // sent to two instances concurrently
}

const (
	callerValidity = 2 * time.Hour
	requestTimeout = 10 * time.Minute
	callTimeout    = 6 * time.Second
	retryPause     = 700 * time.Millisecond
)

// run sends the request in goroutines that wg waits for.
func (c *caller) run(wg *sync.WaitGroup) {
	r := cranknode.Request{
		Workspace:  "kasur",
		Profile:    c.profile.Name,
		Key:        c.payload,
		ValidUntil: time.Now().Add(callerValidity),
		Payload:    []byte(c.payload),
	}
	c.cluster.history.addRequest(request{payload: c.payload, idempotent: c.profile.Idempotent, tasks: c.profile.Shape.Tasks, sent: r})
	wg.Go(func() { c.send(r, c.first) })
	if c.twice {
		wg.Go(func() { c.send(r, c.first+1) })
	}
}

func (c *caller) send(r cranknode.Request, n int) {
	deadline := time.Now().Add(requestTimeout)
	job := ""
	for time.Now().Before(deadline) {
		e := c.cluster.pickEntry(n)
		n++
		if e == nil {
			time.Sleep(retryPause)
			continue
		}
		if job == "" {
			job = c.trySubmit(e, r)
		}
		if job != "" && c.tryWait(e, job) {
			return
		}
		time.Sleep(retryPause)
	}
}

// trySubmit returns the ID of the job, or "" if the request was not accepted.
func (c *caller) trySubmit(e *entry, r cranknode.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	result, err := e.node.Submit(ctx, r)
	if err != nil {
		return ""
	}
	return result.Job
}

// tryWait reports whether the caller has the outcome, and the answer of a job
// that succeeded.
func (c *caller) tryWait(e *entry, job string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	j, err := e.node.Wait(ctx, job)
	if err != nil || j.State != crankstate.JobEnded {
		return false
	}
	if j.Outcome == crank.OutcomeDone && j.Result == crankstate.ResultSucceeded {
		return c.tryAnswer(e, j)
	}
	c.cluster.history.updateRequest(c.payload, func(r *request) {
		r.outcome = j.Outcome
		r.result = string(j.Result)
	})
	return true
}

// tryAnswer reports whether the answer was fetched or has expired.
func (c *caller) tryAnswer(e *entry, j crankstate.Job) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	data, err := e.node.Answer(ctx, j)
	if err != nil && crank.KindOf(err) != crank.KindExpired {
		return false
	}
	c.cluster.history.updateRequest(c.payload, func(r *request) {
		r.outcome = crank.OutcomeDone
		r.result = string(j.Result)
		r.fetched = err == nil
		r.answer = string(data)
	})
	return true
}

// pickEntry returns the n-th running instance by ID, modulo their number, or nil
// if none runs.
func (c *cluster) pickEntry(n int) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return nil
	}
	ids := make([]string, 0, len(c.entries))
	for id := range c.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return c.entries[ids[n%len(ids)]]
}

// pollConfigVersions records the configuration version of each ready instance.
func (c *cluster) pollConfigVersions(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		for _, e := range c.entries {
			if e.node.Ready() {
				status := e.node.Status()
				c.history.addObservedVersion(observedVersion{at: time.Now(), instance: status.Instance, version: status.ConfigVersion})
			}
		}
		c.mu.Unlock()
		select {
		case <-time.After(configPollPeriod):
		case <-ctx.Done():
		}
	}
}

const configPollPeriod = 200 * time.Millisecond

// undecided returns the requests without an outcome, with what an instance knows
// about each.
func (c *cluster) undecided(e *entry) (list []string) {
	h := c.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.requests {
		if r.outcome == "" {
			j, ok := e.node.State().ByKey("kasur", r.payload)
			list = append(list, fmt.Sprintf("undecided: request %s: known=%t state=%s outcome=%s attempt=%+v", r.payload, ok, j.State, j.Outcome, j.Attempt))
		}
	}
	return list
}
