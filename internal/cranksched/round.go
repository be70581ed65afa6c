package cranksched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankpack"
)

// rank orders units: lower ranks go first.
type rank int

// Ranks.
const (
	rankGuaranteed rank = iota // priority 0 within the workspace's guarantee
	rankUrgent                 // priority 0 beyond it
	rankLasting                // runs until it is cancelled, and is missed while it does not
	rankPatient                // may still end in time
	rankLate                   // too late to be worth much
)

// Times of the policy.
const (
	lateFactor  = 3                       // after so many times its objective a job is worth nothing more
	spreadWait  = 1200 * time.Millisecond // guaranteed work that found no rack by then is spread over several
	reserveWait = 1500 * time.Millisecond // a gang that waits longer keeps room free for itself
	avoidTime   = 2 * time.Second         // a task avoids workers where it failed for so long
	maxReserved = 2                       // gangs of a pool that keep room free at once
	atWork      = 100                     // percent of a lasting task that has started up
	restoreCost = 1.0                     // seconds that a stop costs a task that has checkpoints
)

// unit is a set of tasks that are placed in one decision: a gang, or the tasks
// of a step that wait.
type unit struct {
	job   *job
	tasks []*task
	step  *crank.Step
	rank  rank
	start time.Time // latest start with which the job may still end in time
	since time.Time
}

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

// units returns what waits for a place, the most urgent first.
func (s *Scheduler) units(now time.Time) []unit {
	s.within = s.withinGuarantee(now)
	var units []unit
	for _, j := range s.jobs {
		if !j.claimed || j.ending() || (j.inherited && len(s.pending) > 0) {
			continue
		}
		for o := range j.spec.Occurrences() {
			for i := range j.spec.Steps {
				if tasks := j.waiting(o, i); len(tasks) > 0 && j.ready(o, i, now) {
					units = append(units, newUnit(j, tasks, s.within[j.spec.Workspace], now))
				}
			}
		}
	}
	slices.SortFunc(units, func(a, b unit) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
			a.start.Compare(b.start),
			cmp.Compare(a.job.spec.ID, b.job.spec.ID),
			cmp.Compare(a.tasks[0].ordinal, b.tasks[0].ordinal),
		)
	})
	return units
}

// waiting returns the tasks of a step that have no place; none of a gang while
// a member still has one.
func (j *job) waiting(occurrence, step int) []*task {
	first, _ := j.spec.Ordinal(crank.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: step})
	all := j.tasks[first : first+j.spec.Steps[step].Tasks]
	var tasks []*task
	for _, t := range all {
		if !t.done && t.place == nil {
			tasks = append(tasks, t)
		}
	}
	if j.spec.Steps[step].Gang && len(tasks) != len(all) {
		return nil
	}
	return tasks
}

func newUnit(j *job, tasks []*task, within bool, now time.Time) unit {
	objective := j.spec.Objective()
	u := unit{job: j, tasks: tasks, step: tasks[0].step, since: tasks[0].idle}
	u.start = j.seen.Add(objective - j.spec.Chain())
	switch {
	case j.spec.Priority == 0 && within:
		u.rank = rankGuaranteed
	case now.Sub(j.seen) > lateFactor*objective && !u.step.Lasting && j.spec.Repeat.Times == 0:
		u.rank = rankLate
	case j.spec.Priority == 0:
		u.rank = rankUrgent
	case u.step.Lasting:
		u.rank = rankLasting
	default:
		u.rank = rankPatient
	}
	return u
}

// withinGuarantee returns the workspaces whose jobs of priority 0 need no more
// accelerators than are guaranteed to them.
func (s *Scheduler) withinGuarantee(now time.Time) map[string]bool {
	needs := make(map[string]int)
	for _, j := range s.jobs {
		if j.spec.Priority == 0 && !j.ending() {
			needs[j.spec.Workspace] += j.need(now)
		}
	}
	config := s.Board.View().Config
	within := make(map[string]bool, len(needs))
	for workspace, need := range needs {
		within[workspace] = need <= config.Guaranteed(workspace)
	}
	return within
}

// need returns the accelerators of the steps whose turn has come.
func (j *job) need(now time.Time) int {
	sum := 0
	for o := range j.spec.Occurrences() {
		for i, st := range j.spec.Steps {
			if st.Demand.Accelerators == 0 || !j.ready(o, i, now) {
				continue
			}
			first, _ := j.spec.Ordinal(crank.TaskID{Job: j.spec.ID, Occurrence: o, Step: i})
			for _, t := range j.tasks[first : first+st.Tasks] {
				if !t.done {
					sum += st.Demand.Accelerators
				}
			}
		}
	}
	return sum
}

// request asks for places for tasks of the unit. Workers where one of them
// failed are avoided for a while; then any worker is better than none.
func (u unit) request(tasks []*task, now time.Time) crankpack.Request {
	q := crankpack.Request{Key: stepKey(tasks[0]), Step: *u.step, Tasks: len(tasks)}
	if now.Sub(u.since) > avoidTime {
		return q
	}
	avoided := make(map[string]bool)
	for _, t := range tasks {
		maps.Copy(avoided, t.shun)
	}
	if len(avoided) > 0 {
		q.Avoid = func(worker string) bool { return avoided[worker] }
	}
	return q
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
	if u.rank <= rankUrgent && s.preempt(u, floor, q) {
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
		if u.rank <= rankUrgent && s.preempt(u, floor, q) {
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

// preempt stops the cheapest work of lower rank that makes room for a request.
func (s *Scheduler) preempt(u unit, floor *crankpack.Floor, q crankpack.Request) bool {
	victims, places := s.victims(u)
	chosen := floor.Preempt(q, victims)
	if chosen == nil {
		return false
	}
	rooms := make(map[string]*crankpack.Room, len(floor.Rooms))
	for _, r := range floor.Rooms {
		rooms[r.Worker] = r
	}
	for _, v := range chosen {
		for _, part := range v.Parts {
			rooms[part.Worker].Soon = rooms[part.Worker].Soon.Plus(part.Holds)
		}
		p := places[v.ID]
		s.Logger.Info("sched: work preempted", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "for", u.job.spec.ID,
			"rank", int(u.rank), "waited", time.Since(u.since).Round(time.Millisecond), "cost-core-seconds", int(v.Cost))
		s.Scope.Counter("preemptions").Inc(1)
		s.stopRun(p, "preempted")
	}
	return true
}

// victims returns the work that a unit may stop, and one run of each.
func (s *Scheduler) victims(u unit) ([]crankpack.Victim, []*placement) {
	var victims []crankpack.Victim
	var places []*placement
	gangs := make(map[string]int)
	spared := make(map[string]int) // lasting tasks that may still be stopped, by step
	for _, w := range s.workers {
		if w.entry.Pool != u.job.spec.Pool {
			continue
		}
		for _, p := range w.places {
			if !s.mayStop(u, p) || !p.maySpare(spared) {
				continue
			}
			part := crankpack.VictimPart{Worker: w.entry.ID, Holds: p.room}
			cost := p.cost()
			if i, ok := gangs[p.key]; ok && p.step.Gang {
				victims[i].Parts = append(victims[i].Parts, part)
				victims[i].Cost += cost
				continue
			}
			gangs[p.key] = len(victims)
			victims = append(victims, crankpack.Victim{ID: len(victims), Parts: []crankpack.VictimPart{part}, Cost: cost})
			places = append(places, p)
		}
	}
	return victims, places
}

// mayStop reports whether a unit may stop a run.
func (s *Scheduler) mayStop(u unit, p *placement) bool {
	if p.state != running || p.task == nil {
		return false
	}
	if p.step.Lasting && u.rank != rankGuaranteed {
		return false
	}
	spec := p.task.job.spec
	return spec.Priority > u.job.spec.Priority || (u.rank == rankGuaranteed && !s.within[spec.Workspace])
}

// maySpare reports whether a run may be stopped as far as its step limits how
// many of its lasting tasks are away, and counts it.
func (p *placement) maySpare(spared map[string]int) bool {
	if !p.step.Lasting || p.step.MaxAway == 0 {
		return true
	}
	left, ok := spared[p.key]
	if !ok {
		left = p.step.MaxAway
		for _, t := range p.task.members() {
			if t.place == nil || t.place.state != running || t.place.percent < atWork {
				left--
			}
		}
	}
	spared[p.key] = left - 1
	return left > 0 && p.percent >= atWork
}

// cost returns the core-seconds that a stop throws away.
func (p *placement) cost() float64 {
	seconds := time.Since(p.began).Seconds()
	if p.step.Checkpoints {
		seconds = min(seconds, restoreCost)
	}
	return seconds * p.room.Cores()
}
