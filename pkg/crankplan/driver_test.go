package crankplan

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	crank "cranberrycrank"
)

// driver feeds arrivals, ends and zone changes to a policy in virtual time.
type driver struct {
	policy   crank.Policy
	workload workload
	rng      *rand.Rand
	zero     time.Time
	round    crank.Round
	index    map[string]int // of workers
	running  map[crank.AttemptID]*execution
	numbers  map[string]int // attempts by job
	jobs     map[string]*arrival
	left     map[string]time.Duration // of movable jobs, from their checkpoint
	since    map[string]time.Duration // when a job last began to wait
	events   eventQueue
	claims   map[string]int // running jobs that a cell could hold, by workspace and kind
	result   result
}

// execution is a running attempt.
type execution struct {
	attempt crank.RoundAttempt
	begun   time.Duration
	lasts   time.Duration
	claim   string
}

// event happens at a time.
type event struct {
	at time.Duration
	do func()
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
	stopTime    = 300 * time.Millisecond  // of every task that may be stopped
	claimBound  = 1100 * time.Millisecond // for which a claim may wait
	sampleEvery = 30 * time.Minute
	zoneOutAt   = 20 * time.Hour
	zoneOutFor  = 3 * time.Hour
	driverLimit = 14 * 24 * time.Hour // ends a run that never gets through its jobs
)

// run drives a policy through one draw of a workload.
func run(w workload, p crank.Policy, seed uint64) result {
	d := &driver{
		policy:   p,
		workload: w,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		zero:     time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		round:    crank.Round{Objective: w.objective, Whole: true, Workers: w.fleet(), Workspaces: w.workspaces},
		index:    map[string]int{},
		running:  map[crank.AttemptID]*execution{},
		numbers:  map[string]int{},
		jobs:     map[string]*arrival{},
		left:     map[string]time.Duration{},
		since:    map[string]time.Duration{},
		claims:   map[string]int{},
	}
	for i, worker := range d.round.Workers {
		d.index[worker.ID] = i
	}
	for _, a := range w.arrivals(d.rng) {
		d.jobs[a.job.ID] = &a
		d.at(a.at, func() { d.arrive(&a) })
	}
	length := time.Duration(w.days * 24 * float64(time.Hour))
	d.at(zoneOutAt, func() { d.setZone("z0", true) })
	d.at(zoneOutAt+zoneOutFor, func() { d.setZone("z0", false) })
	for range int(w.days) {
		d.at(time.Duration(d.rng.Float64()*float64(length)), d.cancelWave)
	}
	for at := sampleEvery; at < length; at += sampleEvery {
		d.at(at, d.sample)
	}
	d.loop()
	d.result.unfinished = len(d.round.Waiting) + len(d.running)
	return d.result
}

func (d *driver) at(t time.Duration, do func()) { heap.Push(&d.events, event{t, do}) }

func (d *driver) now() time.Duration { return d.round.Now.Sub(d.zero) }

// loop makes one planning round after all events of a moment.
func (d *driver) loop() {
	for len(d.events) > 0 && d.events[0].at < driverLimit {
		at := d.events[0].at
		d.round.Now = d.zero.Add(at)
		for len(d.events) > 0 && d.events[0].at == at {
			heap.Pop(&d.events).(event).do()
		}
		d.plan()
	}
}

func (d *driver) arrive(a *arrival) {
	a.job.Submitted = d.round.Now
	a.job.Deadline = d.round.Now.Add(24 * time.Hour)
	d.wait(a)
}

func (d *driver) wait(a *arrival) {
	d.round.Waiting = append(d.round.Waiting, a.job)
	d.since[a.job.ID] = d.now()
	d.at(d.now()+claimBound+time.Millisecond, func() {})
}

func (d *driver) cancelWave() {
	d.round.Waiting = slices.DeleteFunc(d.round.Waiting, func(crank.RoundJob) bool { return d.rng.IntN(3) == 0 })
}

func (d *driver) setZone(zone string, out bool) {
	for i, w := range d.round.Workers {
		if w.Zone == zone {
			d.round.Workers[i].InService = !out
			d.round.Workers[i].Draining = out
		}
	}
}

func (d *driver) plan() {
	d.round.Active = d.round.Active[:0]
	for _, id := range d.sorted() {
		d.round.Active = append(d.round.Active, d.running[id].attempt)
	}
	begun := time.Now()
	decisions := d.policy.Plan(d.round)
	d.result.rounds = append(d.result.rounds, time.Since(begun))
	d.round.Memory = decisions.Memory
	for _, e := range decisions.Evicts {
		d.evict(e.Attempt)
	}
	for _, p := range decisions.Places {
		for _, id := range p.Evicts {
			d.evict(id)
		}
	}
	for _, p := range decisions.Places {
		d.start(p)
	}
	d.judgeClaims()
	for _, r := range decisions.Refuse {
		d.drop(r.Job)
		d.result.refused++
	}
}

func (d *driver) sorted() []crank.AttemptID {
	ids := make([]crank.AttemptID, 0, len(d.running))
	for id := range d.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b crank.AttemptID) int { return compareAttempts(a, b) })
	return ids
}

func (d *driver) drop(job string) {
	d.round.Waiting = slices.DeleteFunc(d.round.Waiting, func(j crank.RoundJob) bool { return j.ID == job })
}

// start runs a placement; its tasks begin once the evicted ones have stopped.
func (d *driver) start(p crank.Placement) {
	a := d.jobs[p.Job]
	d.drop(p.Job)
	d.numbers[p.Job]++
	id := crank.AttemptID{Job: p.Job, Number: d.numbers[p.Job]}
	d.use(p.Parts, a.job.Shape.PerTask, -1)
	lasts := a.actual
	if left, ok := d.left[p.Job]; ok {
		lasts = left
	}
	delay := time.Duration(0)
	if len(p.Evicts) > 0 {
		delay = stopTime
	}
	if id.Number == 1 {
		d.result.started(a, d.now()+delay-a.at)
	}
	e := &execution{begun: d.now() + delay, lasts: lasts, claim: d.takeClaim(a)}
	e.attempt = crank.RoundAttempt{
		ID: id, Workspace: a.job.Workspace, Class: a.job.Class, Stoppable: a.kind.stoppable, Movable: a.kind.movable,
		Cell: p.Cell, Shape: a.job.Shape, Parts: p.Parts, Placed: d.round.Now, RunTime: a.job.RunTime,
	}
	d.running[id] = e
	d.at(e.begun+lasts, func() { d.finish(id) })
}

func (d *driver) use(parts []crank.Part, per crank.Resources, sign int) {
	for _, p := range parts {
		w := &d.round.Workers[d.index[p.Worker]]
		w.Free = w.Free.Plus(per.Times(p.Tasks * sign))
		if !w.Capacity.Covers(w.Free) || !w.Free.Covers(crank.Resources{}) {
			d.result.violations = append(d.result.violations, "worker "+w.ID+" is overcommitted")
		}
		if sign < 0 && !w.InService {
			d.result.violations = append(d.result.violations, "start at "+w.ID+" out of service")
		}
	}
}

// end takes an attempt off its workers and returns how long it ran.
func (d *driver) end(id crank.AttemptID) (*execution, time.Duration) {
	e := d.running[id]
	delete(d.running, id)
	d.use(e.attempt.Parts, e.attempt.Shape.PerTask, 1)
	d.claims[e.claim]--
	return e, max(0, d.now()-e.begun)
}

func (d *driver) finish(id crank.AttemptID) {
	if d.running[id] == nil {
		return
	}
	e, ran := d.end(id)
	d.result.finished(d.jobs[id.Job], d.now(), ran, e.attempt.Shape)
}

// evict stops an attempt. A movable one keeps its work.
func (d *driver) evict(id crank.AttemptID) {
	e, ran := d.end(id)
	if !e.attempt.Stoppable && !e.attempt.Movable {
		d.result.violations = append(d.result.violations, "evicted what can't be stopped")
	}
	a := d.jobs[id.Job]
	if e.attempt.Movable {
		d.left[id.Job] = e.lasts - ran
	} else {
		d.result.lost += ran.Hours() * float64(e.attempt.Shape.Total().Accelerators)
	}
	d.wait(a)
	d.at(d.now()+stopTime, func() {})
}
