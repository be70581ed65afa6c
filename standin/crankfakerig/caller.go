package crankfakerig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

const (
	submitAttempts = 5
	retryDelay     = 400 * time.Millisecond
)

// hash returns a number in [0, 1) for a run.
func hash(t crank.TaskID, run int64, seed uint64) float64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %d", t, run, seed)
	return rand.New(rand.NewPCG(h.Sum64(), seed)).Float64()
}

// submitAll submits the jobs of the traffic and returns after the last has ended
// or was cancelled as its caller wants.
func (r *Rig) submitAll(ctx context.Context) {
	var callers sync.WaitGroup
	for n, j := range r.Site.Traffic(r.Seed) {
		if sleep(ctx, time.Until(r.begun.Add(j.At))) != nil {
			break
		}
		callers.Go(func() { r.call(ctx, j, rand.New(rand.NewPCG(r.Seed, uint64(n)+10))) })
	}
	callers.Wait()
}

// call submits one job, asks for its state, and cancels it if its caller does.
func (r *Rig) call(ctx context.Context, j crankfakesite.Job, rng *rand.Rand) {
	if j.Repeat.Times > 0 {
		j.Repeat.First = time.Now().Add(j.FirstAfter)
	}
	limit := r.Site.Bounds.AnswerTime
	if crankfakesite.Chance(rng, r.Site.Callers.Patient) {
		limit = r.Site.Callers.PatientTime
	}
	attempt := func() crankfakewatch.Answer { return r.post(ctx, j, r.pick(j.Zone, rng), limit) }
	r.watch.Submitting(j)
	result := r.submit(ctx, rng, attempt)
	r.watch.Answered(j.ID, result)
	if result != crankfakewatch.Accepted {
		return
	}
	if crankfakesite.Chance(rng, r.Site.Callers.Repeats) {
		after := time.Duration(rng.Float64() * float64(r.Site.Callers.RepeatTime))
		again := rand.New(rand.NewPCG(rng.Uint64(), 1))
		var repeating sync.WaitGroup
		defer repeating.Wait()
		repeating.Go(func() {
			if sleep(ctx, after) == nil {
				r.post(ctx, j, r.pick(j.Zone, again), limit)
			}
		})
	}
	if j.CancelAfter == 0 {
		if sleep(ctx, 2*time.Second) == nil {
			r.ask(ctx, j, rng)
		}
		return
	}
	if sleep(ctx, j.CancelAfter) != nil {
		return
	}
	r.watch.Cancelling(j.ID)
	for until := time.Now().Add(3 * r.Site.Bounds.AckTime); time.Now().Before(until) && ctx.Err() == nil; {
		a := r.send(ctx, http.MethodDelete, r.pick(j.Zone, rng).Addr(), path(j), key(j), nil)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			r.watch.Cancelled(j.ID)
			return
		}
		_ = sleep(ctx, retryDelay)
	}
}

func path(j crankfakesite.Job) string { return "/" + j.Queue + "/" + j.ID }

// keyField is the header field of a caller's key.
const keyField = "X-Cranberrycrank-Key"

func key(j crankfakesite.Job) string { return "key-of-" + j.Workspace }

// submit attempts a submission until the caller knows that it was accepted.
func (r *Rig) submit(ctx context.Context, rng *rand.Rand, attempt func() crankfakewatch.Answer) crankfakewatch.Answer {
	result := crankfakewatch.Refused
	for range submitAttempts {
		a := attempt()
		if a == crankfakewatch.Accepted && !crankfakesite.Chance(rng, r.Site.Callers.LostAnswers) {
			return a
		}
		if a != crankfakewatch.Refused {
			result = crankfakewatch.Unknown
		}
		if sleep(ctx, retryDelay) != nil {
			return crankfakewatch.Unknown
		}
	}
	return result
}

// post makes one attempt to submit a job and waits for the answer up to a limit.
func (r *Rig) post(ctx context.Context, j crankfakesite.Job, i *crankfakeinstance.Instance, limit time.Duration) crankfakewatch.Answer {
	a := r.sendWithin(ctx, limit, http.MethodPost, i.Addr(), path(j), key(j), r.encode(j.StepJob))
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusAccepted:
		return crankfakewatch.Accepted
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return crankfakewatch.Refused
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound, http.StatusBadRequest:
		r.violate("submission of job %s got %d: %s", j.ID, a.status, a.text)
		return crankfakewatch.Refused
	}
	return crankfakewatch.Unknown
}

// pick returns an instance for a new connection from a zone.
func (r *Rig) pick(zone string, rng *rand.Rand) *crankfakeinstance.Instance {
	var near, ready []*crankfakeinstance.Instance
	for _, i := range r.instances {
		if i.Zone == zone {
			near = append(near, i)
		}
		if i.IsReady() {
			ready = append(ready, i)
		}
	}
	var both []*crankfakeinstance.Instance
	for _, i := range ready {
		if i.Zone == zone {
			both = append(both, i)
		}
	}
	switch {
	case 2*len(both) >= len(near):
		return both[rng.IntN(len(both))]
	case len(both) > 0 || len(ready) == 0:
		return near[rng.IntN(len(near))]
	}
	return ready[rng.IntN(len(ready))]
}

// answer is a complete response, or the zero value.
type answer struct {
	status int
	text   string
}

func (r *Rig) send(ctx context.Context, method, addr, path, key string, body []byte) answer {
	return r.sendWithin(ctx, r.Site.Bounds.AnswerTime, method, addr, path, key, body)
}

func (r *Rig) sendWithin(ctx context.Context, limit time.Duration, method, addr, path, key string, body []byte) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(keyField, key)
	req.Header.Set("X-Cranberrycrank-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	res, err := r.client.Do(req)
	if err != nil {
		return answer{}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	return answer{res.StatusCode, string(text)}
}

// ask asks for the state of a job. It returns the state, or an empty string without
// an answer.
func (r *Rig) ask(ctx context.Context, j crankfakesite.Job, rng *rand.Rand) string {
	return r.askAt(ctx, j, r.pick(j.Zone, rng))
}

func (r *Rig) askAt(ctx context.Context, j crankfakesite.Job, i *crankfakeinstance.Instance) string {
	a := r.send(ctx, http.MethodGet, i.Addr(), path(j), key(j), nil)
	switch a.status {
	case http.StatusOK:
		var body struct{ State string }
		if err := json.Unmarshal([]byte(a.text), &body); err != nil {
			r.violate("state of job %s can't be read: %q", j.ID, a.text)
		}
		r.watch.CheckState(j.ID, body.State, r.calm())
		return body.State
	case http.StatusGone:
		r.watch.CheckState(j.ID, "unknown", r.calm())
		return "unknown"
	}
	return ""
}

// askAll asks for all accepted jobs. Each must have an answer after a few attempts
// if strict.
func (r *Rig) askAll(ctx context.Context, strict bool) {
	var asking sync.WaitGroup
	limit := make(chan struct{}, 64)
	for n, j := range r.watch.Accepted() {
		limit <- struct{}{}
		asking.Go(func() {
			defer func() { <-limit }()
			rng := rand.New(rand.NewPCG(r.Seed, uint64(n)+1e6))
			for range submitAttempts {
				if r.ask(ctx, j, rng) != "" {
					return
				}
			}
			if strict {
				r.violate("state of job %s was not answered (calm %v)", j.ID, r.calm())
			}
		})
	}
	asking.Wait()
}

// AwaitEverywhere waits for each instance to report all the jobs as completed.
func (r *Rig) AwaitEverywhere(ctx context.Context, jobs []crankfakesite.Job) {
	until := time.Now().Add(r.Site.Bounds.SettleTime)
	for _, j := range jobs {
		for _, i := range r.instances {
			state := r.askAt(ctx, j, i)
			for state != "completed" && time.Now().Before(until) && ctx.Err() == nil {
				_ = sleep(ctx, tickPeriod)
				state = r.askAt(ctx, j, i)
			}
			if state != "completed" {
				r.violate("job %s is shown as %q by %s; want completed", j.ID, state, i.Name)
			}
		}
	}
}
