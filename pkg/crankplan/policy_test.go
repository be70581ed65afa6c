package crankplan

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fixedSeed makes every run draw the same test cases.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// model is a fleet under a policy that random steps change.
type model struct {
	round          crank.Round
	index          map[string]int
	lastJob        int
	claimable      map[string]bool // free cells that had a place after the last round
	allClaimable   bool            // every cell had a place, or was claimed on workers in service
	serviceChanged bool            // a zone entered or left service since the last round
}

func newModel(t *rapid.T) *model {
	m := &model{index: map[string]int{}, claimable: map[string]bool{}}
	m.round.Now = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	m.round.AllZonesKnown = true
	capacity := crank.Resources{Accelerators: 4, Cores: 16, MemoryMiB: 1 << 15, Slots: 6}
	for z := range 2 {
		for r := range 2 {
			for w := range rapid.IntRange(1, 4).Draw(t, "workers") {
				id := fmt.Sprintf("z%d-r%d-w%d", z, r, w)
				m.index[id] = len(m.round.Workers)
				m.round.Workers = append(m.round.Workers, crank.RoundWorker{
					ID: id, Zone: fmt.Sprintf("z%d", z), Rack: fmt.Sprintf("z%d-r%d", z, r),
					Capacity: capacity, Free: capacity, InService: true,
				})
			}
		}
	}
	for w := range 3 {
		workspace := crank.RoundWorkspace{Name: fmt.Sprintf("t%d", w), Quota: rapid.SampledFrom([]int{0, 12}).Draw(t, "quota")}
		for range rapid.IntRange(0, 2).Draw(t, "guarantees") {
			workspace.Guarantees = append(workspace.Guarantees, crank.Guarantee{Shape: drawShape(t), Cells: rapid.IntRange(1, 2).Draw(t, "cells")})
		}
		m.round.Workspaces = append(m.round.Workspaces, workspace)
	}
	return m
}

func drawShape(t *rapid.T) crank.Shape {
	return crank.Shape{
		Tasks:   rapid.IntRange(1, 4).Draw(t, "tasks"),
		PerTask: crank.Resources{Accelerators: rapid.IntRange(0, 4).Draw(t, "accelerators"), Cores: 2, MemoryMiB: 1 << 10, Slots: 1},
		Span:    rapid.SampledFrom(spans).Draw(t, "span"),
	}
}

func (m *model) step(t *rapid.T) {
	m.round.Now = m.round.Now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1, 2:
		shape := drawShape(t)
		if w := m.round.Workspaces[rapid.IntRange(0, 2).Draw(t, "owner")]; len(w.Guarantees) > 0 && rapid.Bool().Draw(t, "claim") {
			shape = w.Guarantees[0].Shape
		}
		m.lastJob++
		m.round.Waiting = append(m.round.Waiting, crank.RoundJob{
			ID: fmt.Sprintf("j%d", m.lastJob), Workspace: fmt.Sprintf("t%d", rapid.IntRange(0, 2).Draw(t, "workspace")),
			Class:     rapid.SampledFrom([]crank.Class{crank.ClassUrgent, crank.ClassPatient}).Draw(t, "class"),
			Stoppable: rapid.Bool().Draw(t, "stoppable"), Shape: shape,
			Submitted: m.round.Now, Deadline: m.round.Now.Add(time.Hour), RunTime: time.Minute,
		})
	case 3:
		if n := len(m.round.Active); n > 0 {
			m.end(rapid.IntRange(0, n-1).Draw(t, "end"))
		}
	case 4:
		zone := rapid.SampledFrom([]string{"z0", "z1"}).Draw(t, "zone")
		in := rapid.Bool().Draw(t, "in")
		for i := range m.round.Workers {
			if m.round.Workers[i].Zone == zone {
				m.round.Workers[i].InService = in
				m.round.Workers[i].Draining = !in
				m.serviceChanged = true
			}
		}
	case 5:
		if n := len(m.round.Waiting); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(t, "cancel")
			m.round.Waiting = append(m.round.Waiting[:i:i], m.round.Waiting[i+1:]...)
		}
	}
}

func (m *model) end(n int) {
	a := m.round.Active[n]
	m.adjustFree(a.Parts, a.Shape.PerTask, 1)
	m.round.Active = append(m.round.Active[:n:n], m.round.Active[n+1:]...)
}

func (m *model) adjustFree(parts []crank.Part, perTask crank.Resources, sign int) {
	for _, p := range parts {
		w := &m.round.Workers[m.index[p.Worker]]
		w.Free = w.Free.Plus(perTask.Times(p.Tasks * sign))
	}
}

// plan runs a round, applies its decisions and checks them.
func (m *model) plan(t *rapid.T) {
	d := NewGuaranteePolicy().Plan(m.round)
	var evictions []crank.AttemptID
	for _, e := range d.Evictions {
		evictions = append(evictions, e.Attempt)
	}
	for _, p := range d.Placements {
		evictions = append(evictions, p.Evictions...)
	}
	for _, id := range evictions {
		m.evict(t, id)
	}
	for _, p := range d.Placements {
		m.place(t, p)
	}
	for _, r := range d.Refusals {
		m.dequeue(t, r.Job)
	}
	m.round.PolicyState = d.PolicyState
	m.checkCells(t, d)
}

func (m *model) evict(t *rapid.T, id crank.AttemptID) {
	for n, a := range m.round.Active {
		if a.ID != id {
			continue
		}
		if !a.Stoppable || a.Cell != "" {
			t.Fatalf("%s was evicted, but it can't be stopped or claims a cell", id.Job)
		}
		m.end(n)
		return
	}
	t.Fatalf("%s was evicted twice", id.Job)
}

func (m *model) dequeue(t *rapid.T, job string) crank.RoundJob {
	for i, j := range m.round.Waiting {
		if j.ID == job {
			m.round.Waiting = append(m.round.Waiting[:i:i], m.round.Waiting[i+1:]...)
			return j
		}
	}
	t.Fatalf("%s is not waiting", job)
	return crank.RoundJob{}
}

func (m *model) place(t *rapid.T, p crank.Placement) {
	j := m.dequeue(t, p.Job)
	tasks := 0
	domains := map[string]bool{}
	for _, part := range p.Parts {
		w := m.round.Workers[m.index[part.Worker]]
		if !w.InService {
			t.Fatalf("%s was placed on %s, which is out of service", j.ID, w.ID)
		}
		tasks += part.Tasks
		domains[map[crank.Span]string{crank.SpanWorker: w.ID, crank.SpanRack: w.Rack, crank.SpanZone: w.Zone}[j.Shape.Span]] = true
	}
	if tasks != j.Shape.Tasks || len(domains) != 1 {
		t.Fatalf("%s was placed as %+v, its shape is %+v", j.ID, p.Parts, j.Shape)
	}
	m.adjustFree(p.Parts, j.Shape.PerTask, -1)
	for _, w := range m.round.Workers {
		if !w.Free.Covers(crank.Resources{}) {
			t.Fatalf("worker %s is overcommitted after %s", w.ID, j.ID)
		}
	}
	m.round.Active = append(m.round.Active, crank.RoundAttempt{
		ID: crank.AttemptID{Job: j.ID, Number: 1}, Workspace: j.Workspace, Class: j.Class, Stoppable: j.Stoppable,
		Cell: p.Cell, Shape: j.Shape, Parts: p.Parts, Placed: m.round.Now, RunTime: j.RunTime,
	})
	m.checkQuota(t, j.Workspace)
}

func (m *model) checkQuota(t *rapid.T, workspace string) {
	used := 0
	for _, a := range m.round.Active {
		if a.Workspace == workspace {
			used += a.Shape.Total().Accelerators
		}
	}
	for _, w := range m.round.Workspaces {
		if w.Name == workspace && w.Quota > 0 && used > w.Quota {
			t.Fatalf("workspace %s uses %d accelerators, its quota is %d", workspace, used, w.Quota)
		}
	}
}

// checkCells checks that all bound cells fit at once into what is free or
// reclaimable, and that no cell lost its place unless a zone changed service.
func (m *model) checkCells(t *rapid.T, d crank.Decisions) {
	free := map[string]crank.Resources{}
	for _, w := range m.round.Workers {
		if w.InService {
			free[w.ID] = w.Free
		}
	}
	claimed := map[string]bool{}
	for _, a := range m.round.Active {
		claimed[a.Cell] = true
		if !a.Stoppable || a.Cell != "" {
			continue
		}
		for _, p := range a.Parts {
			if m.round.Workers[m.index[p.Worker]].InService {
				free[p.Worker] = free[p.Worker].Plus(a.Shape.PerTask.Times(p.Tasks))
			}
		}
	}
	bound := map[string]bool{}
	for _, b := range d.PolicyState.Bindings {
		if claimed[b.Cell] {
			continue
		}
		bound[b.Cell] = true
		perTask := m.cellShape(b.Cell).PerTask
		for _, p := range b.Parts {
			free[p.Worker] = free[p.Worker].Minus(perTask.Times(p.Tasks))
			if !free[p.Worker].Covers(crank.Resources{}) {
				t.Fatalf("the cells can't all be claimed at once: worker %s has no room for %s", p.Worker, b.Cell)
			}
		}
	}
	if m.allClaimable && !m.serviceChanged && len(d.CellsAtRisk) > 0 {
		t.Fatalf("all cells were claimable, but %v no longer are", d.CellsAtRisk)
	}
	for cell := range m.claimable {
		if !m.serviceChanged && !bound[cell] && !claimed[cell] {
			t.Fatalf("cell %s was claimable, but no longer is", cell)
		}
	}
	m.claimable, m.serviceChanged, m.allClaimable = bound, false, len(d.CellsAtRisk) == 0 && m.claimsInService()
}

// claimsInService reports whether every claimed cell is on workers in service.
func (m *model) claimsInService() bool {
	for _, a := range m.round.Active {
		for _, p := range a.Parts {
			if a.Cell != "" && !m.round.Workers[m.index[p.Worker]].InService {
				return false
			}
		}
	}
	return true
}

func (m *model) cellShape(cell string) crank.Shape {
	for _, w := range m.round.Workspaces {
		for g, guarantee := range w.Guarantees {
			for n := range guarantee.Cells {
				if cell == fmt.Sprintf("%s/%d/%d", w.Name, g, n) {
					return guarantee.Shape
				}
			}
		}
	}
	return crank.Shape{}
}

// TestGuaranteesStayClaimable checks every round on randomly changing fleets.
func TestGuaranteesStayClaimable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			m.step(t)
			m.plan(t)
		}
	})
}

// TestClaimEvictsBorrowers fills a fleet with borrowers. A claim of a gang of four whole
// workers in one rack must evict the 16 attempts there.
func TestClaimEvictsBorrowers(t *testing.T) {
	is := is.New(t)
	w := lahore()
	lot := w.kinds[2].shape
	r := crank.Round{AllZonesKnown: true, Workers: w.fleet(), Workspaces: w.workspaces, Now: time.Unix(0, 0)}
	for n := range 48 * 4 {
		r.Waiting = append(r.Waiting, crank.RoundJob{ID: fmt.Sprint(n), Workspace: "tenant-00", Class: crank.ClassPatient, Stoppable: true, Shape: w.kinds[1].shape})
	}
	index := map[string]int{}
	for i, x := range r.Workers {
		index[x.ID] = i
	}
	r = applyPlacements(r, NewGuaranteePolicy().Plan(r), index)
	is.Equal(len(r.Waiting), 0)
	r.Waiting = []crank.RoundJob{{ID: "claim", Workspace: "tenant-01", Class: crank.ClassPatient, Shape: lot}}
	d := NewGuaranteePolicy().Plan(r)
	is.Equal(len(d.Placements), 1)
	is.True(d.Placements[0].Cell != "")
	is.Equal(len(d.Placements[0].Evictions), 16)
}

// TestClaimsDoNotEvictOwnBorrowers fills a fleet with urgent jobs of one workspace. None
// of them may be evicted for another job of the same kind.
func TestClaimsDoNotEvictOwnBorrowers(t *testing.T) {
	is := is.New(t)
	w := lahore()
	quote := w.kinds[0].shape
	r := crank.Round{AllZonesKnown: true, Workers: w.fleet(), Workspaces: w.workspaces[:1], Now: time.Unix(0, 0)}
	index := map[string]int{}
	for i, x := range r.Workers {
		index[x.ID] = i
	}
	for round := range 8 {
		for n := range 60 {
			r.Waiting = append(r.Waiting, crank.RoundJob{ID: fmt.Sprint(round, n), Workspace: "tenant-00", Class: crank.ClassUrgent, Stoppable: true, Shape: quote})
		}
		d := NewGuaranteePolicy().Plan(r)
		for _, p := range d.Placements {
			is.Equal(len(p.Evictions), 0)
		}
		r = applyPlacements(r, d, index)
	}
	is.Equal(len(r.Active), 48*8)
}

// TestRemainderOfClaimedCellStaysReserved claims a cell with a job that uses only a part
// of it. A job that can't be stopped must not get the rest.
func TestRemainderOfClaimedCellStaysReserved(t *testing.T) {
	is := is.New(t)
	capacity := crank.Resources{Accelerators: 4, Cores: 16, MemoryMiB: 1 << 15, Slots: 6}
	cell := shape(1, 4, 1, 1, crank.SpanWorker)
	r := crank.Round{AllZonesKnown: true, Now: time.Unix(0, 0)}
	r.Workers = []crank.RoundWorker{{ID: "w", Zone: "z", Rack: "r", Capacity: capacity, Free: capacity, InService: true}}
	r.Workspaces = []crank.RoundWorkspace{{Name: "owner", Guarantees: []crank.Guarantee{{Shape: cell, Cells: 1}}}, {Name: "other"}}
	r.Waiting = []crank.RoundJob{
		{ID: "claim", Workspace: "owner", Class: crank.ClassUrgent, Shape: shape(1, 1, 1, 1, crank.SpanWorker)},
		{ID: "rest", Workspace: "other", Class: crank.ClassPatient, Shape: shape(1, 3, 1, 1, crank.SpanWorker)},
	}
	d := NewGuaranteePolicy().Plan(r)
	is.Equal(len(d.Placements), 1)
	is.Equal(d.Placements[0].Cell, "owner/0/0")
	r = applyPlacements(r, d, map[string]int{"w": 0})
	is.Equal(len(NewGuaranteePolicy().Plan(r).Placements), 0)
}

// TestJobThatNeverFitsIsRefused submits a gang larger than any rack, which must not
// wait forever.
func TestJobThatNeverFitsIsRefused(t *testing.T) {
	is := is.New(t)
	w := lahore()
	r := crank.Round{AllZonesKnown: true, Workers: w.fleet(), Workspaces: w.workspaces}
	r.Waiting = []crank.RoundJob{{ID: "huge", Workspace: "tenant-00", Shape: shape(9, 8, 1, 1, crank.SpanRack)}}
	d := NewGuaranteePolicy().Plan(r)
	is.Equal(d.Refusals, []crank.Refusal{{Job: "huge", Reason: reasonNeverFits}})
}
