package crankplan

import (
	"cmp"
	"fmt"
	"slices"

	crank "cranberrycrank"
)

// cell is one unit of a workspace's guarantee, claimed by one attempt at a time.
type cell struct {
	name      string
	workspace string
	shape     crank.Shape
	parts     []crank.Part // where it can be claimed, or nil
}

// freeCells returns the cells that no attempt claims, hardest to place first.
func freeCells(r crank.Round) []*cell {
	claimed := claimedCells(r)
	var cells []*cell
	for _, w := range r.Workspaces {
		for g, guarantee := range w.Guarantees {
			for n := range guarantee.Cells {
				name := cellName(w.Name, g, n)
				if _, ok := claimed[name]; !ok {
					cells = append(cells, &cell{name: name, workspace: w.Name, shape: guarantee.Shape})
				}
			}
		}
	}
	slices.SortStableFunc(cells, func(a, b *cell) int {
		return cmp.Compare(placementDifficulty(b.shape), placementDifficulty(a.shape))
	})
	return cells
}

// claimedCells returns the attempts that claim cells, by cell name.
func claimedCells(r crank.Round) map[string]crank.RoundAttempt {
	claimed := make(map[string]crank.RoundAttempt)
	for _, a := range r.Active {
		if a.Cell != "" {
			claimed[a.Cell] = a
		}
	}
	return claimed
}

// reserveClaimRemainders reserves what claims leave unused of their cells, so that a
// cell is complete again when its attempt ends.
func reserveClaimRemainders(f *fleet, r crank.Round) {
	claimed := claimedCells(r)
	for _, w := range r.Workspaces {
		for g, guarantee := range w.Guarantees {
			for n := range guarantee.Cells {
				a, ok := claimed[cellName(w.Name, g, n)]
				if !ok {
					continue
				}
				f.reserveForCell(f.knownParts(a.Parts), guarantee.Shape.PerTask.Minus(a.Shape.PerTask), 1)
			}
		}
	}
}

// knownParts returns the parts on workers of the fleet.
func (f *fleet) knownParts(parts []crank.Part) []crank.Part {
	var known []crank.Part
	for _, p := range parts {
		if _, ok := f.index[p.Worker]; ok {
			known = append(known, p)
		}
	}
	return known
}

func cellName(workspace string, guarantee, cell int) string {
	return fmt.Sprintf("%s/%d/%d", workspace, guarantee, cell)
}

// placementDifficulty orders shapes by how many accelerators must be adjacent: in
// total, then for one task.
func placementDifficulty(s crank.Shape) int {
	return s.Total().Accelerators*16 + s.PerTask.Accelerators
}

// bindCells finds places for all free cells together, on capacity that is free or can
// be reclaimed. It keeps bindings of the previous round that still fit. If that
// leaves a cell without a place, it places all cells anew, and uses the result if
// fewer cells lack a place and none loses its place.
func bindCells(f *fleet, cells []*cell, previous []crank.Binding) {
	known := make(map[string][]crank.Part, len(previous))
	for _, b := range previous {
		known[b.Cell] = b.Parts
	}
	if bindPass(f, cells, known) == 0 || len(known) == 0 {
		return
	}
	kept := make([][]crank.Part, len(cells))
	missing := 0
	for i, c := range cells {
		kept[i] = c.parts
		if c.parts == nil {
			missing++
		}
		unbind(f, c)
	}
	if bindPass(f, cells, nil) < missing && allBound(cells, kept) {
		return
	}
	for i, c := range cells {
		unbind(f, c)
		if kept[i] != nil {
			bind(f, c, kept[i])
		}
	}
}

// allBound reports whether every cell with a place in kept still has one.
func allBound(cells []*cell, kept [][]crank.Part) bool {
	for i, c := range cells {
		if kept[i] != nil && c.parts == nil {
			return false
		}
	}
	return true
}

// bindPass binds the cells it can, first to their known places, and returns how many
// have no place.
func bindPass(f *fleet, cells []*cell, known map[string][]crank.Part) (missing int) {
	for _, c := range cells {
		if parts := known[c.name]; parts != nil && f.cellFits(c, parts) {
			bind(f, c, parts)
		}
	}
	for _, c := range cells {
		if c.parts != nil {
			continue
		}
		if parts := f.placeCell(c.shape); parts != nil {
			bind(f, c, parts)
			continue
		}
		missing++
	}
	return missing
}

// placeCell finds a place for a cell. It prefers free capacity, so that a later claim
// evicts little.
func (f *fleet) placeCell(shape crank.Shape) []crank.Part {
	s := search{fleet: f, view: viewUnreserved, shape: shape, allowHeld: anyWorker}
	if parts := s.findBest(); parts != nil {
		return parts
	}
	s.view = viewReclaimable
	return s.findBest()
}

func anyWorker(int) bool { return true }

// cellFits reports whether a cell still fits its previous place.
func (f *fleet) cellFits(c *cell, parts []crank.Part) bool {
	tasks := 0
	for _, p := range parts {
		i, ok := f.index[p.Worker]
		if !ok || !f.avail(viewReclaimable, i).Covers(c.shape.PerTask.Times(p.Tasks)) {
			return false
		}
		tasks += p.Tasks
	}
	return tasks == c.shape.Tasks
}

func bind(f *fleet, c *cell, parts []crank.Part) {
	c.parts = parts
	f.reserveForCell(parts, c.shape.PerTask, 1)
}

func unbind(f *fleet, c *cell) {
	if c.parts != nil {
		f.reserveForCell(c.parts, c.shape.PerTask, -1)
		c.parts = nil
	}
}

// Unsatisfiable returns the names of guaranteed cells that have no place even on an idle
// fleet.
func Unsatisfiable(workers []crank.RoundWorker, workspaces []crank.Workspace) []string {
	r := crank.Round{Workers: workers}
	sortWorkers(r.Workers)
	for _, w := range workspaces {
		r.Workspaces = append(r.Workspaces, crank.RoundWorkspace{Name: w.Name, Guarantees: w.Guarantees})
	}
	cells := freeCells(r)
	bindCells(newFleet(r.Workers), cells, nil)
	var missing []string
	for _, c := range cells {
		if c.parts == nil {
			missing = append(missing, c.name)
		}
	}
	return missing
}

// sortWorkers sorts workers by zone, rack and ID, so that each domain is contiguous.
func sortWorkers(workers []crank.RoundWorker) {
	slices.SortFunc(workers, func(a, b crank.RoundWorker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
}
