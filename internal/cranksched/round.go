package cranksched

import (
	"slices"
	"time"

	"cranberrycrank/internal/crankpack"
)

// Times of the policy.
const (
	lateFactor  = 3                       // after so many times its objective a job is worth nothing more
	spreadWait  = 1200 * time.Millisecond // guaranteed work that found no rack by then is spread over several
	missedTime  = 2 * time.Second         // a lasting task that waits longer goes first, also before room that is kept free
	reserveWait = 1500 * time.Millisecond // a gang that waits longer keeps room free for itself
	avoidTime   = 2 * time.Second         // a task avoids workers where it failed for so long
	maxReserved = 2                       // gangs of a pool that keep room free at once
	atWork      = 100                     // percent of a lasting task that has started up
	restoreCost = 1.0                     // seconds that a stop costs a task that has checkpoints
)

// round stops what has to stop and starts what fits.
func (s *Scheduler) round() {
	now := time.Now()
	s.stopEnding(now)
	board := s.Board.View()
	floors := s.floors(board.Out, now)
	units := s.units(now)
	reserved := make(map[string]int)
	for _, u := range units {
		floor := floors[u.job.spec.Pool]
		if floor == nil {
			continue
		}
		if u.step.Gang {
			s.placeGang(u, floor, reserved, now)
		} else {
			s.placeTasks(u, floor, now)
		}
	}
}

// stopEnding stops what runs of jobs that have ended.
func (s *Scheduler) stopEnding(now time.Time) {
	for _, j := range s.jobs {
		if !j.ending() {
			continue
		}
		for _, t := range j.tasks {
			if t.place != nil && !t.place.ending(now) {
				s.stopRun(t.place, "its job has ended")
			}
		}
		if j.running == 0 {
			s.dropEnded(j)
		}
	}
}

// ending reports whether a member of a gang that is done ends by itself: the
// other members list the same end.
func (p *placement) ending(now time.Time) bool {
	return p.task.done && p.step.Gang && now.Before(p.endBy)
}

// floors returns the room of each pool.
func (s *Scheduler) floors(out map[string]bool, now time.Time) map[string]*crankpack.Floor {
	rooms := make(map[string][]*crankpack.Room)
	ids := make([]string, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		w := s.workers[id]
		rooms[w.entry.Pool] = append(rooms[w.entry.Pool], s.roomAt(w, s.open(w, out, now)))
	}
	floors := make(map[string]*crankpack.Floor, len(rooms))
	for pool, r := range rooms {
		floors[pool] = crankpack.NewFloor(r)
	}
	return floors
}

func (s *Scheduler) roomAt(w *worker, open bool) *crankpack.Room {
	e := w.entry
	r := &crankpack.Room{
		Worker: e.ID, Zone: e.Zone, Rack: e.Rack, Labels: e.Labels, Total: e.Capacity, Free: e.Capacity, Soon: e.Capacity,
		Open: open, PerStep: make(map[string]int), Doubt: s.doubt(w),
	}
	for _, p := range w.places {
		r.Free = r.Free.Minus(p.room)
		if p.state != stopping {
			r.Soon = r.Soon.Minus(p.room)
		}
		if p.step == nil {
			continue
		}
		r.PerStep[p.key]++
		r.Serves = r.Serves || p.step.Latency > 0
		r.Fills = r.Fills || p.step.Filler
	}
	return r
}

// placeGang starts a gang if all of it fits. Otherwise it may stop other work,
// or keep room free for itself.
func (s *Scheduler) placeGang(u unit, floor *crankpack.Floor, reserved map[string]int, now time.Time) {
	q := u.request(u.tasks, now)
	place := floor.Place
	if u.step.SameRack && floor.Place(q, crankpack.Empty) == nil {
		place = floor.Spread
		q.Step.SameRack = false
	}
	if rooms := place(q, crankpack.Now); rooms != nil {
		s.begin(u.tasks, rooms, q)
		return
	}
	if rooms := place(q, crankpack.Later); rooms != nil {
		take(rooms, q)
		return
	}
	if u.mayPreempt() && s.preempt(u, floor, q) {
		if rooms := place(q, crankpack.Later); rooms != nil {
			take(rooms, q)
		}
		return
	}
	if u.rank == rankGuaranteed && u.step.SameRack && now.Sub(u.since) > spreadWait {
		s.spreadGang(u, floor, q)
		return
	}
	if now.Sub(u.since) > reserveWait && u.rank != rankLate && reserved[u.job.spec.Pool] < maxReserved {
		if rooms := place(q, crankpack.Empty); rooms != nil {
			reserved[u.job.spec.Pool]++
			take(rooms, q)
		}
	}
}

// spreadGang starts a gang on several racks: a guarantee counts for more than
// the time that its tasks lose there.
func (s *Scheduler) spreadGang(u unit, floor *crankpack.Floor, q crankpack.Request) {
	q.Step.SameRack = false
	if rooms := floor.Spread(q, crankpack.Now); rooms != nil {
		s.begin(u.tasks, rooms, q)
		return
	}
	if floor.Spread(q, crankpack.Later) == nil && !s.preempt(u, floor, q) {
		return
	}
	if rooms := floor.Spread(q, crankpack.Later); rooms != nil {
		take(rooms, q)
	}
}

// placeTasks starts as many of a step's tasks as fit.
func (s *Scheduler) placeTasks(u unit, floor *crankpack.Floor, now time.Time) {
	full := false
	for _, t := range u.tasks {
		one := []*task{t}
		q := u.request(one, now)
		if full && q.Avoid == nil {
			continue
		}
		if rooms := floor.Place(q, crankpack.Now); rooms != nil {
			s.begin(one, rooms, q)
			continue
		}
		if rooms := floor.Place(q, crankpack.Later); rooms != nil {
			take(rooms, q)
			continue
		}
		if u.mayPreempt() && s.preempt(u, floor, q) {
			if rooms := floor.Place(q, crankpack.Later); rooms != nil {
				take(rooms, q)
			}
			continue
		}
		full = full || q.Avoid == nil
	}
}

func take(rooms []*crankpack.Room, q crankpack.Request) {
	for _, r := range rooms {
		r.Take(q)
	}
}

// begin starts tasks in the rooms chosen for them.
func (s *Scheduler) begin(tasks []*task, rooms []*crankpack.Room, q crankpack.Request) {
	take(rooms, q)
	workers := make([]*worker, len(rooms))
	for i, r := range rooms {
		workers[i] = s.workers[r.Worker]
	}
	s.start(tasks, workers)
}
