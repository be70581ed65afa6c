package crankplan

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	crank "cranberrycrank"
)

type jobKind struct {
	name         string
	class        crank.Class
	arrivalShare float64 // share of the arrivals outside bursts
	shape        crank.Shape
	declared     time.Duration // predicted run time
	stoppable    bool
	movable      bool
	burst        int // jobs per burst, 0 for none
}

// workload describes a fleet and the jobs that arrive at it.
type workload struct {
	name       string
	objective  crank.Objective
	zones      int
	racks      int // per zone
	perRack    int // workers per rack
	capacity   crank.Resources
	perDay     float64 // jobs outside bursts
	bursts     int     // per day
	days       float64
	kinds      []jobKind
	workspaces []crank.RoundWorkspace
}

func shape(tasks, accelerators, cores, memoryGiB int, span crank.Span) crank.Shape {
	return crank.Shape{Tasks: tasks, PerTask: crank.Resources{Accelerators: accelerators, Cores: cores, MemoryMiB: memoryGiB << 10, Slots: 1}, Span: span}
}

// workloads returns the two example deployments and the design size.
func workloads() []workload {
	return []workload{lagos(), lahore(), designSize(1)}
}

func lagos() workload {
	triage := shape(1, 2, 4, 8, crank.SpanWorker)
	survey := shape(4, 8, 24, 48, crank.SpanRack)
	return workload{
		name: "lagos", objective: crank.ObjectiveCompletion,
		zones: 4, racks: 2, perRack: 6, capacity: crank.Resources{Accelerators: 8, Cores: 30, MemoryMiB: 64 << 10, Slots: 8},
		perDay: 2700, bursts: 4, days: 2,
		kinds: []jobKind{
			{name: "triage", class: crank.ClassUrgent, arrivalShare: 0.2, shape: triage, declared: 20 * time.Minute, stoppable: true},
			{name: "gear-fit", class: crank.ClassPatient, arrivalShare: 0.765, shape: shape(1, 1, 2, 4, crank.SpanWorker), declared: 40 * time.Minute, stoppable: true, burst: 150},
			{name: "survey", class: crank.ClassPatient, arrivalShare: 0.015, shape: survey, declared: 90 * time.Minute, stoppable: true, movable: true, burst: 6},
			{name: "dispatch", class: crank.ClassPatient, arrivalShare: 0.02, shape: shape(1, 0, 1, 1, crank.SpanWorker), declared: time.Minute},
		},
		workspaces: sameWorkspaces(4, crank.Guarantee{Shape: triage, Cells: 12}),
	}
}

func lahore() workload {
	quote := shape(1, 1, 4, 8, crank.SpanWorker)
	lot := shape(4, 8, 32, 128, crank.SpanRack)
	return workload{
		name: "lahore", objective: crank.ObjectiveFragmentation,
		zones: 3, racks: 2, perRack: 8, capacity: crank.Resources{Accelerators: 8, Cores: 60, MemoryMiB: 256 << 10, Slots: 8},
		perDay: 2000, bursts: 4, days: 2,
		kinds: []jobKind{
			{name: "quote", class: crank.ClassUrgent, arrivalShare: 0.3, shape: quote, declared: 5 * time.Minute, stoppable: true},
			{name: "shade", class: crank.ClassPatient, arrivalShare: 0.645, shape: shape(1, 2, 8, 16, crank.SpanWorker), declared: 30 * time.Minute, stoppable: true, movable: true, burst: 100},
			{name: "lot", class: crank.ClassPatient, arrivalShare: 0.025, shape: lot, declared: 90 * time.Minute, stoppable: true, movable: true, burst: 8},
			{name: "bill", class: crank.ClassPatient, arrivalShare: 0.03, shape: shape(1, 0, 1, 1, crank.SpanWorker), declared: time.Minute},
		},
		workspaces: sameWorkspaces(4, crank.Guarantee{Shape: quote, Cells: 8}, crank.Guarantee{Shape: lot, Cells: 1}),
	}
}

// designSize returns the size of docs/CAPACITY.md, multiplied by scale.
func designSize(scale float64) workload {
	urgent := shape(1, 2, 4, 8, crank.SpanWorker)
	return workload{
		name: fmt.Sprintf("design-x%g", scale), objective: crank.ObjectiveCompletion,
		zones: 5, racks: int(math.Ceil(20 * scale)), perRack: 16, capacity: crank.Resources{Accelerators: 2, Cores: 32, MemoryMiB: 128 << 10, Slots: 16},
		perDay: 820 * scale, bursts: 2, days: 2,
		kinds: []jobKind{
			{name: "urgent", class: crank.ClassUrgent, arrivalShare: 0.2, shape: urgent, declared: time.Hour, stoppable: true},
			{name: "small", class: crank.ClassPatient, arrivalShare: 0.35, shape: shape(4, 1, 2, 4, crank.SpanRack), declared: 4 * time.Hour, stoppable: true, burst: 60},
			{name: "gang-32", class: crank.ClassPatient, arrivalShare: 0.15, shape: shape(32, 1, 2, 4, crank.SpanZone), declared: 5 * time.Hour, stoppable: true, movable: true},
			{name: "gang-128", class: crank.ClassPatient, arrivalShare: 0.02, shape: shape(128, 1, 2, 4, crank.SpanZone), declared: 6 * time.Hour, stoppable: true, movable: true, burst: 3},
			{name: "processors", class: crank.ClassPatient, arrivalShare: 0.28, shape: shape(100, 0, 1, 2, crank.SpanZone), declared: 8 * time.Hour, stoppable: true},
		},
		workspaces: sameWorkspaces(int(60*scale), crank.Guarantee{Shape: urgent, Cells: 6}),
	}
}

func sameWorkspaces(n int, guarantees ...crank.Guarantee) []crank.RoundWorkspace {
	list := make([]crank.RoundWorkspace, max(1, n))
	for i := range list {
		list[i] = crank.RoundWorkspace{Name: fmt.Sprintf("tenant-%02d", i), Guarantees: guarantees}
	}
	return list
}

// fleet returns the workers of a workload, all idle.
func (w workload) fleet() []crank.RoundWorker {
	var workers []crank.RoundWorker
	for z := range w.zones {
		for r := range w.racks {
			for n := range w.perRack {
				workers = append(workers, crank.RoundWorker{
					ID:        fmt.Sprintf("z%d-r%02d-w%02d", z, r, n),
					Zone:      fmt.Sprintf("z%d", z),
					Rack:      fmt.Sprintf("z%d-r%02d", z, r),
					Capacity:  w.capacity,
					Free:      w.capacity,
					InService: true,
				})
			}
		}
	}
	return workers
}

// arrival is a job that arrives during a simulation.
type arrival struct {
	at     time.Duration
	job    crank.RoundJob
	kind   jobKind
	actual time.Duration // run time
}

// firstHalfShare is the share of a day's jobs that arrive in its first half.
const firstHalfShare = 0.8

// arrivals draws the jobs of a workload: a steady stream and bursts of single kinds.
// Actual run times are between a tenth and ten times the declared one.
func (w workload) arrivals(rng *rand.Rand) []arrival {
	var list []arrival
	length := time.Duration(w.days * 24 * float64(time.Hour))
	add := func(at time.Duration, k jobKind) {
		factor := math.Exp((rng.Float64()*2 - 1) * math.Log(10))
		job := crank.RoundJob{
			ID:        fmt.Sprintf("%s-%05d", k.name, len(list)),
			Workspace: w.workspaces[rng.IntN(len(w.workspaces))].Name,
			Profile:   k.name,
			Class:     k.class,
			Stoppable: k.stoppable,
			Shape:     k.shape,
			RunTime:   k.declared,
		}
		list = append(list, arrival{at: at, job: job, kind: k, actual: time.Duration(factor * float64(k.declared))})
	}
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / (w.perDay * firstHalfShare * 2) * 24 * float64(time.Hour)) {
		if at%(24*time.Hour) >= 12*time.Hour && rng.Float64()*firstHalfShare > 1-firstHalfShare {
			continue // fewer jobs arrive in the second half of the day
		}
		pick := rng.Float64()
		for _, k := range w.kinds {
			if pick -= k.arrivalShare; pick < 0 {
				add(at, k)
				break
			}
		}
	}
	for range int(float64(w.bursts) * w.days) {
		at := time.Duration(rng.Float64() * float64(length))
		for _, k := range w.kinds {
			if k.burst > 0 && rng.IntN(2) == 0 {
				for range k.burst {
					add(at, k)
				}
			}
		}
	}
	return list
}
