package crankplan

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	crank "cranberrycrank"
)

// simulator runs a policy in virtual time: arrivals, ends, cancellations and an
// outage of a zone.
type simulator struct {
	policy           crank.Policy
	workload         workload
	rng              *rand.Rand
	origin           time.Time
	round            crank.Round
	index            map[string]int // by worker ID
	running          map[crank.AttemptID]*execution
	attemptNumbers   map[string]int // last one, by job
	jobs             map[string]*arrival
	remaining        map[string]time.Duration // run time left of evicted movable jobs
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
	stopTime           = 300 * time.Millisecond  // of an evicted task
	claimTimeout       = 1100 * time.Millisecond // a claim that waits longer counts as unmet
	sampleInterval     = 30 * time.Minute
	zoneOutageStart    = 20 * time.Hour
	zoneOutageDuration = 3 * time.Hour
	simulationLimit    = 14 * 24 * time.Hour // stops a simulation whose jobs never finish
)

func simulate(w workload, p crank.Policy, seed uint64) result {
	s := &simulator{
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
	for i, worker := range s.round.Workers {
		s.index[worker.ID] = i
	}
	for _, a := range w.arrivals(s.rng) {
		s.jobs[a.job.ID] = &a
		s.schedule(a.at, func() { s.arrive(&a) })
	}
	length := time.Duration(w.days * 24 * float64(time.Hour))
	s.schedule(zoneOutageStart, func() { s.setZone("z0", true) })
	s.schedule(zoneOutageStart+zoneOutageDuration, func() { s.setZone("z0", false) })
	for range int(w.days) {
		s.schedule(time.Duration(s.rng.Float64()*float64(length)), s.cancelRandomThird)
	}
	for at := sampleInterval; at < length; at += sampleInterval {
		s.schedule(at, s.sampleFragmentation)
	}
	s.runEvents()
	s.result.unfinished = len(s.round.Waiting) + len(s.running)
	return s.result
}

func (s *simulator) schedule(t time.Duration, handle func()) { heap.Push(&s.events, event{t, handle}) }

func (s *simulator) now() time.Duration { return s.round.Now.Sub(s.origin) }

// runEvents handles the events in order of time, with one planning round after all
// events of the same time.
func (s *simulator) runEvents() {
	for len(s.events) > 0 && s.events[0].at < simulationLimit {
		at := s.events[0].at
		s.round.Now = s.origin.Add(at)
		for len(s.events) > 0 && s.events[0].at == at {
			heap.Pop(&s.events).(event).handle()
		}
		s.plan()
	}
}

func (s *simulator) arrive(a *arrival) {
	a.job.Submitted = s.round.Now
	a.job.Deadline = s.round.Now.Add(24 * time.Hour)
	s.enqueue(a)
}

// enqueue adds a job to the queue. The empty event causes a round just after
// claimTimeout, where an unmet claim is counted.
func (s *simulator) enqueue(a *arrival) {
	s.round.Waiting = append(s.round.Waiting, a.job)
	s.waitingSince[a.job.ID] = s.now()
	s.schedule(s.now()+claimTimeout+time.Millisecond, func() {})
}

func (s *simulator) cancelRandomThird() {
	s.round.Waiting = slices.DeleteFunc(s.round.Waiting, func(crank.RoundJob) bool { return s.rng.IntN(3) == 0 })
}

func (s *simulator) setZone(zone string, out bool) {
	for i, w := range s.round.Workers {
		if w.Zone == zone {
			s.round.Workers[i].InService = !out
			s.round.Workers[i].Draining = out
		}
	}
}

func (s *simulator) plan() {
	s.round.Active = s.round.Active[:0]
	for _, id := range s.sortedAttempts() {
		s.round.Active = append(s.round.Active, s.running[id].attempt)
	}
	begun := time.Now()
	decisions := s.policy.Plan(s.round)
	s.result.roundTimes = append(s.result.roundTimes, time.Since(begun))
	s.round.PolicyState = decisions.PolicyState
	for _, e := range decisions.Evictions {
		s.evict(e.Attempt)
	}
	for _, p := range decisions.Placements {
		for _, id := range p.Evictions {
			s.evict(id)
		}
	}
	for _, p := range decisions.Placements {
		s.start(p)
	}
	s.countUnmetClaims()
	for _, r := range decisions.Refusals {
		s.dequeue(r.Job)
		s.result.refused++
	}
}

func (s *simulator) sortedAttempts() []crank.AttemptID {
	ids := make([]crank.AttemptID, 0, len(s.running))
	for id := range s.running {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b crank.AttemptID) int { return compareAttempts(a, b) })
	return ids
}

func (s *simulator) dequeue(job string) {
	s.round.Waiting = slices.DeleteFunc(s.round.Waiting, func(j crank.RoundJob) bool { return j.ID == job })
}

// start starts a placement. If it evicts attempts, its tasks begin after stopTime.
func (s *simulator) start(p crank.Placement) {
	a := s.jobs[p.Job]
	s.dequeue(p.Job)
	s.attemptNumbers[p.Job]++
	id := crank.AttemptID{Job: p.Job, Number: s.attemptNumbers[p.Job]}
	s.adjustFree(p.Parts, a.job.Shape.PerTask, -1)
	duration := a.actual
	if left, ok := s.remaining[p.Job]; ok {
		duration = left
	}
	delay := time.Duration(0)
	if len(p.Evictions) > 0 {
		delay = stopTime
	}
	if id.Number == 1 {
		s.result.started(a, s.now()+delay-a.at)
	}
	e := &execution{start: s.now() + delay, duration: duration, claimKey: s.countClaim(a)}
	e.attempt = crank.RoundAttempt{
		ID: id, Workspace: a.job.Workspace, Class: a.job.Class, Stoppable: a.kind.stoppable, Movable: a.kind.movable,
		Cell: p.Cell, Shape: a.job.Shape, Parts: p.Parts, Placed: s.round.Now, RunTime: a.job.RunTime,
	}
	s.running[id] = e
	s.schedule(e.start+duration, func() { s.finish(id) })
}

func (s *simulator) adjustFree(parts []crank.Part, perTask crank.Resources, sign int) {
	for _, p := range parts {
		w := &s.round.Workers[s.index[p.Worker]]
		w.Free = w.Free.Plus(perTask.Times(p.Tasks * sign))
		if !w.Capacity.Covers(w.Free) || !w.Free.Covers(crank.Resources{}) {
			s.result.violations = append(s.result.violations, "worker "+w.ID+" is overcommitted")
		}
		if sign < 0 && !w.InService {
			s.result.violations = append(s.result.violations, "attempt placed on "+w.ID+", which is out of service")
		}
	}
}

// end removes an attempt from its workers and returns how long it ran.
func (s *simulator) end(id crank.AttemptID) (*execution, time.Duration) {
	e := s.running[id]
	delete(s.running, id)
	s.adjustFree(e.attempt.Parts, e.attempt.Shape.PerTask, 1)
	s.claimableRunning[e.claimKey]--
	return e, max(0, s.now()-e.start)
}

func (s *simulator) finish(id crank.AttemptID) {
	if s.running[id] == nil {
		return
	}
	e, ran := s.end(id)
	s.result.finished(s.jobs[id.Job], s.now(), ran, e.attempt.Shape)
}

// evict stops an attempt and queues its job again. A movable job keeps its progress.
func (s *simulator) evict(id crank.AttemptID) {
	e, ran := s.end(id)
	if !e.attempt.Stoppable && !e.attempt.Movable {
		s.result.violations = append(s.result.violations, "evicted an attempt that can neither be stopped nor moved")
	}
	a := s.jobs[id.Job]
	if e.attempt.Movable {
		s.remaining[id.Job] = e.duration - ran
	} else {
		s.result.lostWork += ran.Hours() * float64(e.attempt.Shape.Total().Accelerators)
	}
	s.enqueue(a)
	s.schedule(s.now()+stopTime, func() {})
}
