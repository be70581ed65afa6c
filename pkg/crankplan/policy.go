package crankplan

import (
	"time"

	crank "cranberrycrank"
)

// GuaranteePolicy is the production policy. It guarantees each workspace a number
// of cells, each with capacity for one shape, and lends unclaimed cells to jobs that
// may be stopped (borrowers).
//
// A round takes these steps:
//
//	count free and reclaimable resources (fleet.go)
//	find a place for every free cell of every guarantee (cells.go)
//	evict movable attempts from draining workers
//	restore the holds of the previous round (holds.go)
//	order the waiting jobs (order.go)
//	for each job, take the first option that works:
//	    claim a cell of its workspace without evicting anything
//	    use free resources that no free cell needs
//	    if the job may be stopped, use any free resources
//	    claim a cell of its workspace, evicting borrowers (eviction.go)
//	    if the job is urgent, evict patient borrowers, sparing what cells need
//	    use the workers held for it, moving small attempts off (holds.go)
//	    hold workers for it once it has waited long enough (holds.go)
//
// After every placement all bound free cells can still be claimed at once, by
// evicting only attempts that may be stopped.
type GuaranteePolicy struct {
	HoldAfter          time.Duration // how long a blocked job waits before workers are held for it
	AgingBound         time.Duration // wait after which patient jobs are ordered by submission
	ScoreFragmentation bool          // choose places by the capacity that they leave for other gangs
}

// NewGuaranteePolicy returns the policy with default settings.
func NewGuaranteePolicy() GuaranteePolicy {
	return GuaranteePolicy{HoldAfter: DefaultHoldAfter, AgingBound: DefaultAgingBound, ScoreFragmentation: true}
}

// WithHoldAfter returns the policy with another HoldAfter.
func (g GuaranteePolicy) WithHoldAfter(d time.Duration) GuaranteePolicy {
	g.HoldAfter = d
	return g
}

// WithFragmentationScoring returns the policy with scoring on or off.
func (g GuaranteePolicy) WithFragmentationScoring(enabled bool) GuaranteePolicy {
	g.ScoreFragmentation = enabled
	return g
}

// round is the working state while one round is planned.
type round struct {
	crank.Round
	policy     GuaranteePolicy
	fleet      *fleet
	cells      []*cell
	borrowers  *borrowers
	quotas     quotas
	fitsIdle   map[crank.Shape]bool       // results of fitsIdleFleet
	blocked    map[blockKey]time.Duration // shortest run time of a job that found no place
	drainTimes map[string]time.Duration   // until held workers are free, by the job they are held for
	remaining  map[string]time.Duration   // until a worker's last attempt ends, by worker
	decisions  crank.Decisions
}

// blockKey identifies a search that found no place in this round.
type blockKey struct {
	shape crank.Shape
	view  view
}

// Plan implements crank.Policy.
func (g GuaranteePolicy) Plan(in crank.Round) crank.Decisions {
	r := &round{
		Round:      in,
		policy:     g,
		fleet:      newFleet(in.Workers),
		borrowers:  newBorrowers(in),
		quotas:     newQuotas(in),
		fitsIdle:   make(map[crank.Shape]bool),
		blocked:    make(map[blockKey]time.Duration),
		drainTimes: make(map[string]time.Duration),
	}
	for _, a := range in.Active {
		if isBorrower(a) {
			r.fleet.addBorrower(a)
		}
	}
	reserveClaimRemainders(r.fleet, in)
	r.cells = freeCells(in)
	bindCells(r.fleet, r.cells, in.PolicyState.Bindings)
	if g.ScoreFragmentation {
		r.fleet.scorer = newFragmentationScorer(r.fleet, in)
	}
	r.evictDraining()
	r.restoreHolds()
	for _, j := range claimantsFirst(g.orderJobs(in, r.quotas), r.cells) {
		r.planJob(j.job)
	}
	r.recordCells()
	return r.decisions
}

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
		if !a.Movable || a.Stopping || !usesAny(a, draining) {
			continue
		}
		r.borrowers.evicted[n] = true
		r.decisions.Evictions = append(r.decisions.Evictions, crank.Eviction{Attempt: a.ID, Reason: reasonDraining})
	}
}

func usesAny(a crank.RoundAttempt, workers map[string]bool) bool {
	for _, p := range a.Parts {
		if workers[p.Worker] {
			return true
		}
	}
	return false
}

// planJob places a job, refuses it, or records why it waits.
func (r *round) planJob(j crank.RoundJob) {
	if r.refuseUnplaceable(j) {
		return
	}
	if !r.quotas.allows(j) {
		r.recordWait(j, reasonQuota)
		return
	}
	if r.claimWithoutEvicting(j) || r.placeUnreserved(j) || r.borrow(j) || r.claimWithEvicting(j) || r.placeEvictingPatient(j) || r.placeOnHeld(j) {
		return
	}
	r.recordWait(j, r.holdWorkersFor(j))
}

// refuseUnplaceable refuses a job that can never run. While a declared availability
// zone has no known worker, it refuses nothing.
func (r *round) refuseUnplaceable(j crank.RoundJob) bool {
	fits, known := r.fitsIdle[j.Shape]
	if !known {
		fits = fitsIdleFleet(r.fleet, j.Shape)
		r.fitsIdle[j.Shape] = fits
	}
	if !r.AllZonesKnown || (fits && !r.quotas.tooLarge(j)) {
		return false
	}
	r.decisions.Refusals = append(r.decisions.Refusals, crank.Refusal{Job: j.ID, Reason: refusalReason(r.fleet, r.quotas, j)})
	return true
}

// placeUnreserved uses free resources that no free cell needs.
func (r *round) placeUnreserved(j crank.RoundJob) bool {
	parts := r.findPlace(j, viewUnreserved)
	if parts == nil {
		return false
	}
	r.place(j, crank.Placement{Parts: parts}, j.Stoppable)
	return true
}

// borrow lets a job that may be stopped use free resources, including those reserved
// for cells.
func (r *round) borrow(j crank.RoundJob) bool {
	if !j.Stoppable {
		return false
	}
	parts := r.findPlace(j, viewFree)
	if parts == nil {
		return false
	}
	r.place(j, crank.Placement{Parts: parts}, true)
	return true
}

// findPlace searches for a place, and records shapes that have none. If a job finds
// none, neither would one of the same shape with a longer run time: held workers are
// open only to jobs that end before the hold needs them.
func (r *round) findPlace(j crank.RoundJob, v view) []crank.Part {
	key := blockKey{shape: j.Shape, view: v}
	run := r.backfillTime(j)
	hasHold := r.heldWorkers(j.ID) != nil
	if shortest, ok := r.blocked[key]; ok && run >= shortest && !hasHold {
		return nil
	}
	s := search{fleet: r.fleet, view: v, shape: j.Shape, job: j.ID, avoid: j.Avoid, allowHeld: r.backfillFilter(run)}
	parts := s.findBest()
	if parts == nil && len(j.Avoid) == 0 {
		r.blocked[key] = run
	}
	return parts
}

// claimWithoutEvicting claims a free cell of the job's workspace on free resources.
// It runs before borrow, so that a workspace's own borrowers don't occupy the place
// of its next claim.
func (r *round) claimWithoutEvicting(j crank.RoundJob) bool {
	c := r.cellFor(j)
	if c == nil {
		return false
	}
	bound := c.parts
	unbind(r.fleet, c)
	s := search{fleet: r.fleet, view: viewUnreserved, shape: c.shape, job: j.ID, avoid: j.Avoid, allowHeld: anyWorker}
	parts := s.findBest()
	if parts == nil {
		bind(r.fleet, c, bound)
		return false
	}
	r.placeClaim(j, c, crank.Placement{Parts: parts})
	return true
}

// claimWithEvicting claims a free cell of the job's workspace and evicts borrowers:
// where that loses the least work, or else where the cell is bound.
func (r *round) claimWithEvicting(j crank.RoundJob) bool {
	c := r.cellFor(j)
	if c == nil {
		return false
	}
	bound := c.parts
	unbind(r.fleet, c)
	parts, victims, ok := r.cheapestEviction(withCellShape(j, c), viewReclaimable, anyBorrower)
	if !ok {
		parts = bound
		victims, ok = r.borrowers.victims(r.fleet, parts, c.shape.PerTask, anyBorrower)
	}
	if !ok {
		bind(r.fleet, c, bound)
		return false
	}
	r.placeClaim(j, c, crank.Placement{Parts: parts, Evictions: r.borrowers.evict(r.fleet, victims)})
	return true
}

func withCellShape(j crank.RoundJob, c *cell) crank.RoundJob {
	j.Shape = c.shape
	return j
}

// placeClaim places a claim and reserves what it leaves unused of the cell.
func (r *round) placeClaim(j crank.RoundJob, c *cell, p crank.Placement) {
	p.Cell = c.name
	r.removeFreeCell(c)
	r.place(j, p, false)
	r.fleet.reserveForCell(p.Parts, c.shape.PerTask.Minus(j.Shape.PerTask), 1)
	r.decisions.PolicyState.Bindings = append(r.decisions.PolicyState.Bindings, crank.Binding{Cell: c.name, Parts: p.Parts})
}

// cellFor returns the smallest bound cell that the job can claim, or nil.
func (r *round) cellFor(j crank.RoundJob) *cell {
	var best *cell
	for _, c := range r.cells {
		if c.parts == nil || c.workspace != j.Workspace || !j.Shape.FitsCell(c.shape) {
			continue
		}
		if best == nil || placementDifficulty(c.shape) <= placementDifficulty(best.shape) {
			best = c
		}
	}
	return best
}

func (r *round) removeFreeCell(c *cell) {
	for i := range r.cells {
		if r.cells[i] == c {
			r.cells = append(r.cells[:i:i], r.cells[i+1:]...)
			return
		}
	}
}

// placeEvictingPatient places an urgent job by evicting patient borrowers, sparing
// what cells need.
func (r *round) placeEvictingPatient(j crank.RoundJob) bool {
	key := blockKey{shape: j.Shape, view: viewPatientReclaimable}
	if _, blocked := r.blocked[key]; blocked || j.Class != crank.ClassUrgent {
		return false
	}
	parts, victims, ok := r.cheapestEviction(j, viewPatientReclaimable, patientBorrower)
	if !ok {
		if len(j.Avoid) == 0 {
			r.blocked[key] = 0
		}
		return false
	}
	evictions := r.borrowers.evict(r.fleet, victims)
	r.place(j, crank.Placement{Parts: parts, Evictions: evictions}, j.Stoppable)
	return true
}

// place records a placement.
func (r *round) place(j crank.RoundJob, p crank.Placement, borrower bool) {
	p.Job = j.ID
	r.fleet.allocate(p.Parts, j.Shape.PerTask, borrower)
	r.quotas.add(j)
	r.releaseHold(j.ID)
	r.decisions.Placements = append(r.decisions.Placements, p)
}

func (r *round) recordWait(j crank.RoundJob, reason string) {
	r.decisions.Waits = append(r.decisions.Waits, crank.Wait{Job: j.ID, Reason: reason})
}

// recordCells stores the bindings for the next round, and the cells that can't be
// claimed now.
func (r *round) recordCells() {
	for name, a := range claimedCells(r.Round) {
		r.decisions.PolicyState.Bindings = append(r.decisions.PolicyState.Bindings, crank.Binding{Cell: name, Parts: a.Parts})
	}
	for _, c := range r.cells {
		if c.parts == nil {
			r.decisions.CellsAtRisk = append(r.decisions.CellsAtRisk, c.name)
			continue
		}
		r.decisions.PolicyState.Bindings = append(r.decisions.PolicyState.Bindings, crank.Binding{Cell: c.name, Parts: c.parts})
	}
}
