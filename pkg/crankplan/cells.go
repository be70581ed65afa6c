package crankplan

import (
	"cmp"
	"fmt"
	"slices"

	crank "cranberrycrank"
)

// cell is one claimable unit of a workspace's guarantee.
type cell struct {
	name      string
	workspace string
	shape     crank.Shape
	parts     []crank.Part // where it could be claimed, nil when it can't
}

// freeCells returns the cells that no attempt claims, the hardest to place
// first.
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
		return cmp.Compare(hardness(b.shape), hardness(a.shape))
	})
	return cells
}

// claimedCells returns the attempts that claim cells, by cell.
func claimedCells(r crank.Round) map[string]crank.RoundAttempt {
	claimed := make(map[string]crank.RoundAttempt)
	for _, a := range r.Active {
		if a.Cell != "" {
			claimed[a.Cell] = a
		}
	}
	return claimed
}

// holdClaimed keeps for every claimed cell what its claim leaves unused, so
// that the cell is whole again when the claim ends.
func holdClaimed(f *fleet, r crank.Round) {
	claimed := claimedCells(r)
	for _, w := range r.Workspaces {
		for g, guarantee := range w.Guarantees {
			for n := range guarantee.Cells {
				a, ok := claimed[cellName(w.Name, g, n)]
				if !ok {
					continue
				}
				f.hold(f.known(a.Parts), guarantee.Shape.PerTask.Minus(a.Shape.PerTask), 1)
			}
		}
	}
}

// known returns the parts at workers that the fleet has.
func (f *fleet) known(parts []crank.Part) []crank.Part {
	var list []crank.Part
	for _, p := range parts {
		if _, ok := f.index[p.Worker]; ok {
			list = append(list, p)
		}
	}
	return list
}

func cellName(workspace string, guarantee, cell int) string {
	return fmt.Sprintf("%s/%d/%d", workspace, guarantee, cell)
}

// hardness orders shapes by how many accelerators must be adjacent.
func hardness(s crank.Shape) int {
	return s.Total().Accelerators*16 + s.PerTask.Accelerators
}

// bindCells finds a place for every free cell at once, on what is free or may
// be stopped. A place of the round before is kept while it holds; when that
// leaves a cell without a place, all are placed anew, if none loses its place
// by that.
func bindCells(f *fleet, cells []*cell, memory []crank.Binding) {
	known := make(map[string][]crank.Part, len(memory))
	for _, b := range memory {
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

// allBound reports whether every cell that had a place has one again.
func allBound(cells []*cell, kept [][]crank.Part) bool {
	for i, c := range cells {
		if kept[i] != nil && c.parts == nil {
			return false
		}
	}
	return true
}

// bindPass binds what it can and returns how many cells have no place.
func bindPass(f *fleet, cells []*cell, known map[string][]crank.Part) (missing int) {
	for _, c := range cells {
		if parts := known[c.name]; parts != nil && f.canHold(c, parts) {
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

// placeCell prefers idle workers, so that a claim stops little.
func (f *fleet) placeCell(shape crank.Shape) []crank.Part {
	s := search{fleet: f, view: viewSafe, shape: shape, open: always}
	if parts := s.best(); parts != nil {
		return parts
	}
	s.view = viewSoft
	return s.best()
}

func always(int) bool { return true }

// canHold reports whether a remembered place still holds the cell.
func (f *fleet) canHold(c *cell, parts []crank.Part) bool {
	tasks := 0
	for _, p := range parts {
		i, ok := f.index[p.Worker]
		if !ok || !f.avail(viewSoft, i).Covers(c.shape.PerTask.Times(p.Tasks)) {
			return false
		}
		tasks += p.Tasks
	}
	return tasks == c.shape.Tasks
}

func bind(f *fleet, c *cell, parts []crank.Part) {
	c.parts = parts
	f.hold(parts, c.shape.PerTask, 1)
}

func unbind(f *fleet, c *cell) {
	if c.parts != nil {
		f.hold(c.parts, c.shape.PerTask, -1)
		c.parts = nil
	}
}

// Unsatisfiable returns the cells of the workspaces' guarantees that find no
// place on an idle fleet.
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

// sortWorkers puts workers into the order of adjacency.
func sortWorkers(workers []crank.RoundWorker) {
	slices.SortFunc(workers, func(a, b crank.RoundWorker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.ID, b.ID))
	})
}
