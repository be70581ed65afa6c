package crankproof

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfold"
	"cranberrycrank/internal/cranknode"
)

// caller sends one request, to one instance after another, until it has a
// definite answer, and notes what it was told.
type caller struct {
	cluster *cluster
	profile crank.Profile
	payload string
	first   int  // index of the instance that is asked first
	twice   bool // the request is sent to two instances at once
}

// Times of a caller.
const (
	callerValidity = 2 * time.Hour
	callerPatience = 10 * time.Minute
	callerTry      = 6 * time.Second
	callerPause    = 700 * time.Millisecond
)

// run sends the request and waits for its outcome.
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

func (c *caller) send(r cranknode.Request, at int) {
	deadline := time.Now().Add(callerPatience)
	job := ""
	for time.Now().Before(deadline) {
		e := c.cluster.pick(at)
		at++
		if e == nil {
			time.Sleep(callerPause)
			continue
		}
		if job == "" {
			job = c.trySubmit(e, r)
		}
		if job != "" && c.tryWait(e, job) {
			return
		}
		time.Sleep(callerPause)
	}
}

// trySubmit returns the identity of the job once it is accepted.
func (c *caller) trySubmit(e *entry, r cranknode.Request) string {
	ctx, cancel := context.WithTimeout(context.Background(), callerTry)
	defer cancel()
	ticket, err := e.node.Submit(ctx, r)
	if err != nil {
		return ""
	}
	return ticket.Job
}

// tryWait reports whether the caller has its outcome and its answer.
func (c *caller) tryWait(e *entry, job string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTry)
	defer cancel()
	j, err := e.node.Wait(ctx, job)
	if err != nil || j.State != crankfold.JobEnded {
		return false
	}
	if j.Outcome == crank.OutcomeDone && j.Result == crankfold.ResultSucceeded {
		return c.tryAnswer(e, j)
	}
	c.cluster.history.update(c.payload, func(r *request) {
		r.outcome = j.Outcome
		r.result = string(j.Result)
	})
	return true
}

func (c *caller) tryAnswer(e *entry, j crankfold.Job) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerTry)
	defer cancel()
	data, err := e.node.Answer(ctx, j)
	if err != nil && crank.KindOf(err) != crank.KindExpired {
		return false
	}
	c.cluster.history.update(c.payload, func(r *request) {
		r.outcome = crank.OutcomeDone
		r.result = string(j.Result)
		r.fetched = err == nil
		r.answer = string(data)
	})
	return true
}

// pick returns one of the running instances.
func (c *cluster) pick(n int) *entry {
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

// watchVersions notes by which configuration every instance judges.
func (c *cluster) watchVersions(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		for _, e := range c.entries {
			if e.node.Ready() {
				status := e.node.Status()
				c.history.seeVersion(versionSeen{at: time.Now(), instance: status.Instance, version: status.ConfigVersion})
			}
		}
		c.mu.Unlock()
		select {
		case <-time.After(watchPeriod):
		case <-ctx.Done():
		}
	}
}

const watchPeriod = 200 * time.Millisecond

// undecided returns the requests that have no outcome, with what an instance
// knows of them.
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
