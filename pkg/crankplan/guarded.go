package crankplan

import (
	"time"

	crank "cranberrycrank"
)

// Guarded is the product's policy.
//
// A round goes through these steps:
//
//	count what is free, and what may be stopped for a guarantee
//	find a place for every free cell of every guarantee (cells.go)
//	evict what should move off draining workers
//	order the waiting jobs (order.go)
//	for each job, the first that works of:
//	    its workspace's cell, where that stops nothing
//	    a place that leaves every free cell its place
//	    for a job that may be stopped, any free place
//	    its workspace's cell, stopping what borrows from it (reclaim.go)
//	    for an urgent job, a place that patient borrowers give up
//	hold workers for large jobs that find no place (holds.go)
//
// After every placement all free cells can still be claimed at once, by
// stopping only attempts that may be stopped.
type Guarded struct {
	HoldAfter  time.Duration // wait of a blocked job before workers are held for it
	AgingBound time.Duration // wait after which patient work goes by submission
	Scored     bool          // places are chosen by the room that they leave for other gangs
}

// NewGuarded returns the policy with its defaults.
func NewGuarded() Guarded {
	return Guarded{HoldAfter: DefaultHoldAfter, AgingBound: DefaultAgingBound, Scored: true}
}

// WithHoldAfter returns the policy with another wait before workers are held.
func (g Guarded) WithHoldAfter(d time.Duration) Guarded {
	g.HoldAfter = d
	return g
}

// WithScored returns the policy with or without scored places.
func (g Guarded) WithScored(scored bool) Guarded {
	g.Scored = scored
	return g
}

// round is the working state of one planning round.
type round struct {
	crank.Round
	policy    Guarded
	fleet     *fleet
	cells     []*cell
	borrowers *borrowers
	quota     quotas
	fits      map[crank.Shape]bool       // whether a gang fits on an idle fleet
	blocked   map[blockKey]time.Duration // shortest run time of a job that found no place
	drains    map[string]time.Duration   // until held workers are free, by the job they are held for
	remaining map[string]time.Duration   // until a worker's last attempt ends, by worker
	decisions crank.Decisions
}

// blockKey names a search that found nothing in this round.
type blockKey struct {
	shape crank.Shape
	view  view
}

// Plan implements crank.Policy.
func (g Guarded) Plan(in crank.Round) crank.Decisions {
	r := &round{
		Round:     in,
		policy:    g,
		fleet:     newFleet(in.Workers),
		borrowers: newBorrowers(in),
		quota:     newQuotas(in),
		fits:      make(map[crank.Shape]bool),
		blocked:   make(map[blockKey]time.Duration),
		drains:    make(map[string]time.Duration),
	}
	for _, a := range in.Active {
		if borrows(a) {
			r.fleet.addBorrower(a)
		}
	}
	holdClaimed(r.fleet, in)
	r.cells = freeCells(in)
	bindCells(r.fleet, r.cells, in.Memory.Bindings)
	if g.Scored {
		r.fleet.scores = newGradient(r.fleet, in)
	}
	r.evictDraining()
	r.restoreHolds()
	for _, j := range claimantsFirst(g.order(in, r.quota), r.cells) {
		r.try(j.job)
	}
	r.remember()
	return r.decisions
}

// evictDraining moves what can move off workers that leave service.
func (r *round) evictDraining() {
	draining := make(map[string]bool)
	for _, w := range r.Workers {
		if w.Draining {
			draining[w.ID] = true
		}
	}
	if len(draining) == 0 {
		return
	}
	for n, a := range r.Active {
		if !a.Movable || a.Stopping || !touches(a, draining) {
			continue
		}
		r.borrowers.evicted[n] = true
		r.decisions.Evicts = append(r.decisions.Evicts, crank.Eviction{Attempt: a.ID, Reason: reasonDraining})
	}
}

func touches(a crank.RoundAttempt, workers map[string]bool) bool {
	for _, p := range a.Parts {
		if workers[p.Worker] {
			return true
		}
	}
	return false
}

// try places one job, or says why it waits.
func (r *round) try(j crank.RoundJob) {
	if r.neverRuns(j) {
		return
	}
	if !r.quota.allows(j) {
		r.wait(j, reasonQuota)
		return
	}
	if r.claimIdle(j) || r.placeSafely(j) || r.borrow(j) || r.claim(j) || r.reclaim(j) || r.placeHeld(j) {
		return
	}
	r.wait(j, r.holdFor(j))
}

func (r *round) neverRuns(j crank.RoundJob) bool {
	fits, known := r.fits[j.Shape]
	if !known {
		fits = everFits(r.fleet, j.Shape)
		r.fits[j.Shape] = fits
	}
	if !r.Whole || (fits && !r.quota.tooLarge(j)) {
		return false
	}
	r.decisions.Refuse = append(r.decisions.Refuse, crank.Refusal{Job: j.ID, Reason: never(r.fleet, r.quota, j)})
	return true
}

// placeSafely uses what is free and not needed for any free cell.
func (r *round) placeSafely(j crank.RoundJob) bool {
	parts := r.find(j, viewSafe)
	if parts == nil {
		return false
	}
	r.place(j, crank.Placement{Parts: parts}, j.Stoppable)
	return true
}

// borrow uses what is free, also where a cell is held.
func (r *round) borrow(j crank.RoundJob) bool {
	if !j.Stoppable {
		return false
	}
	parts := r.find(j, viewFree)
	if parts == nil {
		return false
	}
	r.place(j, crank.Placement{Parts: parts}, true)
	return true
}

// find looks for a place and remembers shapes that have none. Where a job
// finds none, one of the same shape with a longer run time does not either.
func (r *round) find(j crank.RoundJob, v view) []crank.Part {
	key := blockKey{shape: j.Shape, view: v}
	run := r.backfillTime(j)
	mine := r.heldFor(j.ID) != nil
	if shortest, ok := r.blocked[key]; ok && run >= shortest && !mine {
		return nil
	}
	s := search{fleet: r.fleet, view: v, shape: j.Shape, job: j.ID, avoid: j.Avoid, open: r.backfills(run)}
	parts := s.best()
	if parts == nil && len(j.Avoid) == 0 {
		r.blocked[key] = run
	}
	return parts
}

// claimIdle takes a free cell of the job's workspace without stopping anything.
// It comes before borrowing, so that a workspace's own borrowers never stand
// where its next claim has to go.
func (r *round) claimIdle(j crank.RoundJob) bool {
	c := r.cellFor(j)
	if c == nil {
		return false
	}
	bound := c.parts
	unbind(r.fleet, c)
	s := search{fleet: r.fleet, view: viewSafe, shape: c.shape, job: j.ID, avoid: j.Avoid, open: always}
	parts := s.best()
	if parts == nil {
		bind(r.fleet, c, bound)
		return false
	}
	r.placeClaim(j, c, crank.Placement{Parts: parts})
	return true
}

// claim takes a free cell of the job's workspace and stops what borrows from
// it: where that loses least, else at the cell's own place.
func (r *round) claim(j crank.RoundJob) bool {
	c := r.cellFor(j)
	if c == nil {
		return false
	}
	bound := c.parts
	unbind(r.fleet, c)
	parts, victims, ok := r.cheapest(cellJob(j, c), viewSoft, anyBorrower)
	if !ok {
		parts = bound
		victims, ok = r.borrowers.victims(r.fleet, parts, c.shape.PerTask, anyBorrower)
	}
	if !ok {
		bind(r.fleet, c, bound)
		return false
	}
	r.placeClaim(j, c, crank.Placement{Parts: parts, Evicts: r.borrowers.evict(r.fleet, victims)})
	return true
}

// cellJob is a job that needs the whole shape of the cell that it claims.
func cellJob(j crank.RoundJob, c *cell) crank.RoundJob {
	j.Shape = c.shape
	return j
}

// placeClaim places a claim and keeps what it leaves unused of its cell.
func (r *round) placeClaim(j crank.RoundJob, c *cell, p crank.Placement) {
	p.Cell = c.name
	r.dropCell(c)
	r.place(j, p, false)
	r.fleet.hold(p.Parts, c.shape.PerTask.Minus(j.Shape.PerTask), 1)
	r.decisions.Memory.Bindings = append(r.decisions.Memory.Bindings, crank.Binding{Cell: c.name, Parts: p.Parts})
}

// cellFor returns the smallest bound cell that the job can claim.
func (r *round) cellFor(j crank.RoundJob) *cell {
	var best *cell
	for _, c := range r.cells {
		if c.parts == nil || c.workspace != j.Workspace || !j.Shape.Within(c.shape) {
			continue
		}
		if best == nil || hardness(c.shape) <= hardness(best.shape) {
			best = c
		}
	}
	return best
}

func (r *round) dropCell(c *cell) {
	for i := range r.cells {
		if r.cells[i] == c {
			r.cells = append(r.cells[:i:i], r.cells[i+1:]...)
			return
		}
	}
}

// reclaim lets an urgent job take what patient borrowers hold, outside the
// held cells.
func (r *round) reclaim(j crank.RoundJob) bool {
	key := blockKey{shape: j.Shape, view: viewMild}
	if _, blocked := r.blocked[key]; blocked || j.Class != crank.ClassUrgent {
		return false
	}
	parts, victims, ok := r.cheapest(j, viewMild, patientBorrower)
	if !ok {
		if len(j.Avoid) == 0 {
			r.blocked[key] = 0
		}
		return false
	}
	evicts := r.borrowers.evict(r.fleet, victims)
	r.place(j, crank.Placement{Parts: parts, Evicts: evicts}, j.Stoppable)
	return true
}

// place records a placement. A borrower may be stopped later.
func (r *round) place(j crank.RoundJob, p crank.Placement, borrower bool) {
	p.Job = j.ID
	r.fleet.take(p.Parts, j.Shape.PerTask, borrower)
	r.quota.add(j)
	r.openHold(j.ID)
	r.decisions.Places = append(r.decisions.Places, p)
}

func (r *round) wait(j crank.RoundJob, reason string) {
	r.decisions.Waits = append(r.decisions.Waits, crank.Wait{Job: j.ID, Reason: reason})
}

// remember writes down what the next round should know.
func (r *round) remember() {
	for name, a := range claimedCells(r.Round) {
		r.decisions.Memory.Bindings = append(r.decisions.Memory.Bindings, crank.Binding{Cell: name, Parts: a.Parts})
	}
	for _, c := range r.cells {
		if c.parts == nil {
			r.decisions.AtRisk = append(r.decisions.AtRisk, c.name)
			continue
		}
		r.decisions.Memory.Bindings = append(r.decisions.Memory.Bindings, crank.Binding{Cell: c.name, Parts: c.parts})
	}
}
