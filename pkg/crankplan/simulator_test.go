package crankplan

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	crank "cranberrycrank"
)

// simulator runs a policy against a workload in virtual time: arrivals, ends,
// cancellations and an outage of a zone.
type simulator struct {
	policy           crank.Policy
	workload         workload
	rng              *rand.Rand
	origin           time.Time
	round            crank.Round
	index            map[string]int // by worker ID
	running          map[crank.AttemptID]*execution
	attemptNumbers   map[string]int // number of the last attempt, by job
	jobs             map[string]*arrival
	remaining        map[string]time.Duration // run time left after the last checkpoint, of evicted movable jobs
	waitingSince     map[string]time.Duration // when a job last entered the queue
	events           eventQueue
	claimableRunning map[string]int // running jobs whose shape is a guarantee's, by claimKey
	result           result
}

// execution is a running attempt.
type execution struct {
	attempt  crank.RoundAttempt
	start    time.Duration
	duration time.Duration
	claimKey string
}

// event calls handle at a point of virtual time.
type event struct {
	at     time.Duration
	handle func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(a, b int) bool { return q[a].at < q[b].at }
func (q eventQueue) Swap(a, b int)      { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	stopTime           = 300 * time.Millisecond  // time that an evicted task takes to stop
	claimTimeout       = 1100 * time.Millisecond // a claim that waits longer counts as unmet
	sampleInterval     = 30 * time.Minute
	zoneOutageStart    = 20 * time.Hour
	zoneOutageDuration = 3 * time.Hour
	simulationLimit    = 14 * 24 * time.Hour // stops a simulation whose jobs never finish
)

// simulate runs a policy on the workload that the seed draws.
func simulate(w workload, p crank.Policy, seed uint64) result {
	d := &simulator{
		policy:           p,
		workload:         w,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		origin:           time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		round:            crank.Round{Objective: w.objective, AllZonesKnown: true, Workers: w.fleet(), Workspaces: w.workspaces},
		index:            map[string]int{},
		running:          map[crank.AttemptID]*execution{},
		attemptNumbers:   map[string]int{},
		jobs:             map[string]*arrival{},
		remaining:        map[string]time.Duration{},
		waitingSince:     map[string]time.Duration{},
		claimableRunning: map[string]int{},
	}
	for i, worker := range d.round.Workers {
		d.index[worker.ID] = i
	}
	for _, a := range w.arrivals(d.rng) {
		d.jobs[a.job.ID] = &a
		d.schedule(a.at, func() { d.arrive(&a) })
	}
	length := time.Duration(w.days * 24 * float64(time.Hour))
	d.schedule(zoneOutageStart, func() { d.setZone("z0", true) })
	d.schedule(zoneOutageStart+zoneOutageDuration, func() { d.setZone("z0", false) })
	for range int(w.days) {
		d.schedule(time.Duration(d.rng.Float64()*float64(length)), d.cancelRandomThird)
	}
	for at := sampleInterval; at < length; at += sampleInterval {
		d.schedule(at, d.sampleFragmentation)
	}
	d.runEvents()
	d.result.unfinished = len(d.round.Waiting) + len(d.running)
	return d.result
}

func (d *simulator) schedule(t time.Duration, handle func()) { heap.Push(&d.events, event{t, handle}) }

func (d *simulator) now() time.Duration { return d.round.Now.Sub(d.origin) }

// runEvents handles the events in order of time, with one planning round after all
// events of the same time.
func (d *simulator) runEvents() {
	for len(d.events) > 0 && d.events[0].at < simulationLimit {
		at := d.events[0].at
		d.round.Now = d.origin.Add(at)
		for len(d.events) > 0 && d.events[0].at == at {
			heap.Pop(&d.events).(event).handle()
		}
		d.plan()
	}
}

func (d *simulator) arrive(a *arrival) {
	a.job.Submitted = d.round.Now
	a.job.Deadline = d.round.Now.Add(24 * time.Hour)
	d.enqueue(a)
}

// enqueue adds a job to the queue. The empty event causes a planning round just
// after claimTimeout, where an unmet claim is counted.
func (d *simulator) enqueue(a *arrival) {
	d.round.Waiting = append(d.round.Waiting, a.job)
	d.waitingSince[a.job.ID] = d.now()
	d.schedule(d.now()+claimTimeout+time.Millisecond, func() {})
}

// cancelRandomThird cancels each waiting job with a chance of one in three.
func (d *simulator) cancelRandomThird() {
	d.round.Waiting = slices.DeleteFunc(d.round.Waiting, func(crank.RoundJob) bool { return d.rng.IntN(3) == 0 })
}

func (d *simulator) setZone(zone string, out bool) {
	for i, w := range d.round.Workers {
		if w.Zone == zone {
			d.round.Workers[i].InService = !out
			d.round.Workers[i].Draining = out
		}
	}
}

func (d *simulator) plan() {
	d.round.Active = d.round.Active[:0]
	for _, id := range d.sortedAttempts() {
		d.round.Active = append(d.round.Active, d.running[id].attempt)
	}
	begun := time.Now()
	decisions := d.policy.Plan(d.round)
	d.result.roundTimes = append(d.result.roundTimes, time.Since(begun))
	d.round.PolicyState = decisions.PolicyState
	for _, e := range decisions.Evictions {
		d.evict(e.Attempt)
	}
	for _, p := range decisions.Placements {
		for _, id := range p.Evictions {
			d.evict(id)
		}
	}
	for _, p := range decisions.Placements {
		d.start(p)
	}
	d.countUnmetClaims()
	for _, r := range decisions.Refusals {
		d.dequeue(r.Job)
		d.result.refused++
	}
}

func (d *simulator) sortedAttempts() []crank.AttemptID {
	ids := make([]crank.AttemptID, 0, len(d.running))
	for id := range d.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b crank.AttemptID) int { return compareAttempts(a, b) })
	return ids
}

func (d *simulator) dequeue(job string) {
	d.round.Waiting = slices.DeleteFunc(d.round.Waiting, func(j crank.RoundJob) bool { return j.ID == job })
}

// start starts a placement. If it evicts attempts, its tasks begin after stopTime.
func (d *simulator) start(p crank.Placement) {
	a := d.jobs[p.Job]
	d.dequeue(p.Job)
	d.attemptNumbers[p.Job]++
	id := crank.AttemptID{Job: p.Job, Number: d.attemptNumbers[p.Job]}
	d.adjustFree(p.Parts, a.job.Shape.PerTask, -1)
	lasts := a.actual
	if left, ok := d.remaining[p.Job]; ok {
		lasts = left
	}
	delay := time.Duration(0)
	if len(p.Evictions) > 0 {
		delay = stopTime
	}
	if id.Number == 1 {
		d.result.started(a, d.now()+delay-a.at)
	}
	e := &execution{start: d.now() + delay, duration: lasts, claimKey: d.countClaim(a)}
	e.attempt = crank.RoundAttempt{
		ID: id, Workspace: a.job.Workspace, Class: a.job.Class, Stoppable: a.kind.stoppable, Movable: a.kind.movable,
		Cell: p.Cell, Shape: a.job.Shape, Parts: p.Parts, Placed: d.round.Now, RunTime: a.job.RunTime,
	}
	d.running[id] = e
	d.schedule(e.start+lasts, func() { d.finish(id) })
}

func (d *simulator) adjustFree(parts []crank.Part, per crank.Resources, sign int) {
	for _, p := range parts {
		w := &d.round.Workers[d.index[p.Worker]]
		w.Free = w.Free.Plus(per.Times(p.Tasks * sign))
		if !w.Capacity.Covers(w.Free) || !w.Free.Covers(crank.Resources{}) {
			d.result.violations = append(d.result.violations, "worker "+w.ID+" is overcommitted")
		}
		if sign < 0 && !w.InService {
			d.result.violations = append(d.result.violations, "attempt placed on "+w.ID+", which is out of service")
		}
	}
}

// end removes an attempt from its workers and returns how long it ran.
func (d *simulator) end(id crank.AttemptID) (*execution, time.Duration) {
	e := d.running[id]
	delete(d.running, id)
	d.adjustFree(e.attempt.Parts, e.attempt.Shape.PerTask, 1)
	d.claimableRunning[e.claimKey]--
	return e, max(0, d.now()-e.start)
}

func (d *simulator) finish(id crank.AttemptID) {
	if d.running[id] == nil {
		return
	}
	e, ran := d.end(id)
	d.result.finished(d.jobs[id.Job], d.now(), ran, e.attempt.Shape)
}

// evict stops an attempt and queues its job again. A movable job keeps its progress.
func (d *simulator) evict(id crank.AttemptID) {
	e, ran := d.end(id)
	if !e.attempt.Stoppable && !e.attempt.Movable {
		d.result.violations = append(d.result.violations, "evicted an attempt that can neither be stopped nor moved")
	}
	a := d.jobs[id.Job]
	if e.attempt.Movable {
		d.remaining[id.Job] = e.duration - ran
	} else {
		d.result.lostWork += ran.Hours() * float64(e.attempt.Shape.Total().Accelerators)
	}
	d.enqueue(a)
	d.schedule(d.now()+stopTime, func() {})
}
