package cranksched

import (
	"math"
	"time"

	"cranberrycrank/internal/crankpack"
)

// room is the free capacity that a waiting task, or its gang, finds.
type room struct {
	crankpack.Fit
	tasks    int // that wait and have to start together
	sameRack bool
	inUse    float64 // share of the pool
}

// reason returns why a job with this room stands.
func (r room) reason() standingReason {
	switch {
	case r.Pool < r.tasks:
		return standsCapacity
	case r.sameRack && r.Rack < r.tasks:
		return standsRack
	}
	return standsReserved
}

// roomFinder finds the room for waiting tasks at one moment.
type roomFinder struct {
	s     *Scheduler
	now   time.Time
	pools map[string]*crankpack.Pool // nil until they are needed
	known map[roomClass]crankpack.Fit
}

// roomClass is a group of requests that have the same room.
type roomClass struct {
	pool  string
	tasks int
	crankpack.RequestClass
}

func newRoomFinder(s *Scheduler, now time.Time) *roomFinder {
	return &roomFinder{s: s, now: now, known: make(map[roomClass]crankpack.Fit)}
}

// find returns the room for a waiting task, or its gang.
func (f *roomFinder) find(t *task) room {
	if f.pools == nil {
		f.pools = f.s.pools(f.s.Operator.View().EvacuatedZones, f.now)
	}
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.members()
	}
	r := room{tasks: len(tasks), sameRack: t.step.SameRack}
	pool := f.pools[t.job.spec.Pool]
	if pool == nil {
		return r
	}
	q := crankpack.Request{StepKey: stepKey(t), Step: *t.step, Tasks: len(tasks)}
	class, cacheable := crankpack.ClassOf(q)
	key := roomClass{t.job.spec.Pool, len(tasks), class}
	fit, ok := f.known[key]
	if !ok || !cacheable {
		fit = pool.Fit(q, crankpack.FreeCapacity)
		f.known[key] = fit
	}
	r.Fit, r.inUse = fit, math.Round(pool.InUse()*100)/100
	return r
}
