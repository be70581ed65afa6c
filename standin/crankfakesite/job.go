package crankfakesite

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	crank "cranberrycrank"
)

// Job is a job of the traffic.
type Job struct {
	crank.StepJob
	Class       string
	At          time.Duration // of its submission, after the start of the traffic
	Zone        string        // of its caller
	CancelAfter time.Duration // 0 for none
	FirstAfter  time.Duration // of the first occurrence, after the submission
	Lasting     bool
	Poisoned    bool            // its tasks always fail
	Work        []time.Duration // of a task by step, at an average worker; the estimates if nil
	Uneven      float64
}

// WorkTime returns the time that a task takes at an average worker.
func (j Job) WorkTime(t crank.TaskID) time.Duration {
	work := j.Steps[t.Step].RunTime
	if t.Step < len(j.Work) {
		work = j.Work[t.Step]
	}
	if j.Uneven == 0 {
		return work
	}
	h := fnv.New64a()
	fmt.Fprint(h, t)
	return time.Duration(float64(work) * spread(rand.New(rand.NewPCG(h.Sum64(), 3)), j.Uneven))
}

// Traffic draws the jobs of a seed in the order of their submission.
func (s Site) Traffic(seed uint64) []Job {
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []Job
	for _, c := range s.Classes {
		for range c.Lasting {
			j := s.draw(rng, c, len(jobs))
			j.Lasting, j.CancelAfter, j.Repeat = true, 0, crank.Repeat{}
			j.Steps = j.Steps[:1]
			j.Steps[0].LongRunning, j.Steps[0].Gang, j.Steps[0].Checkpoints = true, false, false
			j.Steps[0].MaxPerWorker = 0
			j.Zone = s.Zones[rng.IntN(len(s.Zones))].Name
			jobs = append(jobs, j)
		}
		for range c.Services {
			jobs = append(jobs, s.drawService(rng, c, len(jobs)))
		}
	}
	total := 0.0
	for _, z := range s.Zones {
		total += z.JobsPerSecond
	}
	at := time.Duration(0)
	for total > 0 {
		at += time.Duration(rng.ExpFloat64() / total * float64(time.Second))
		if at >= s.Bounds.TrafficEnd() {
			break
		}
		j := s.draw(rng, s.drawClass(rng), len(jobs))
		j.At, j.Zone = at, s.drawZone(rng, total)
		jobs = append(jobs, j)
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return jobs
}

// drawService draws a job with a latency step and a best-effort step that last.
func (s Site) drawService(rng *rand.Rand, c Class, n int) Job {
	j := s.draw(rng, c, n)
	j.At = time.Duration(rng.Float64() * float64(s.Bounds.TrafficTime) / 2)
	j.Zone = s.Zones[rng.IntN(len(s.Zones))].Name
	j.Lasting, j.Poisoned, j.CancelAfter, j.Repeat = true, false, 0, crank.Repeat{}
	serving := crank.Step{
		Tasks: drawCount(rng, c.ServiceTasks, 0.5, c.MaxTasks), RunTime: c.Run, Demand: j.Steps[0].Demand,
		LongRunning: true, Latency: c.Latency, MaxUnavailable: 1,
	}
	serving.Demand.Accelerators = min(1, serving.Demand.Accelerators)
	filling := crank.Step{Tasks: drawCount(rng, c.ServiceTasks, 0.5, c.MaxTasks), RunTime: c.Run, Demand: serving.Demand, LongRunning: true, BestEffort: true}
	filling.Demand.Accelerators = 0
	j.Steps, j.Work = []crank.Step{serving, filling}, []time.Duration{c.Run, c.Run}
	return j
}

func (s Site) drawClass(rng *rand.Rand) Class {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Weight
	}
	x := rng.Float64() * sum
	for _, c := range s.Classes {
		if x -= c.Weight; x < 0 {
			return c
		}
	}
	return s.Classes[0]
}

func (s Site) drawZone(rng *rand.Rand, total float64) string {
	x := rng.Float64() * total
	for _, z := range s.Zones {
		if x -= z.JobsPerSecond; x < 0 {
			return z.Name
		}
	}
	return s.Zones[0].Name
}

func (s Site) draw(rng *rand.Rand, c Class, n int) Job {
	id := fmt.Sprintf("%08x%08x", rng.Uint32(), n)
	j := Job{Class: c.Name, StepJob: crank.StepJob{
		ID: id, Queue: c.Name, Payload: "plan " + id, Priority: c.Priority, Attempts: c.Attempts,
		Workspace: fmt.Sprintf("tenant-%d", int(float64(s.Bounds.Workspaces)*math.Pow(rng.Float64(), 2))),
	}}
	steps := drawCount(rng, c.Steps, 0.4, c.MaxSteps)
	accelerators := c.Accelerators[rng.IntN(len(c.Accelerators))]
	for i := range steps {
		run := time.Duration(float64(c.Run) * spread(rng, 0.3))
		step := crank.Step{
			Tasks: drawCount(rng, c.Tasks, 0.8, c.MaxTasks), RunTime: min(run, c.MaxRun),
			Demand: crank.Demand{MilliCores: c.MilliCores, MemoryMiB: c.MemoryMiB, Accelerators: accelerators},
		}
		step.Gang = rng.Float64() < c.Gang
		step.SameRack = step.Gang && rng.Float64() < c.SameRack
		step.Checkpoints = rng.Float64() < c.Checkpoints
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Work = append(j.Work, step.RunTime)
		s.constrain(rng, c, &step)
		j.Steps = append(j.Steps, step)
	}
	j.Uneven, j.Poisoned = c.Uneven, Chance(rng, c.Poisoned)
	if rng.Float64() < c.Cancelled {
		j.CancelAfter = time.Second + time.Duration(rng.Float64()*6*float64(time.Second))
	}
	if rng.Float64() < c.Recurring {
		j.FirstAfter = time.Second
		j.Repeat = crank.Repeat{Times: c.Times, Every: c.Every}
	}
	return j
}

// constrain draws where the tasks of a step are to run, and how far its estimate is off.
func (s Site) constrain(rng *rand.Rand, c Class, step *crank.Step) {
	if Chance(rng, c.DataRack) {
		racks := s.racks()
		step.DataRack = racks[rng.IntN(len(racks))]
	}
	if Chance(rng, c.NeedsKind) {
		step.Label = s.Worker.Kinds[rng.IntN(len(s.Worker.Kinds))]
	}
	if !step.Gang && Chance(rng, c.Apart) {
		step.MaxPerWorker = 1 + rng.IntN(3)
	}
	if c.Misjudged > 0 {
		step.RunTime = time.Duration(float64(step.RunTime) * spread(rng, c.Misjudged)).Round(time.Millisecond)
	}
}

// Chance draws whether an event of a probability occurs.
func Chance(rng *rand.Rand, p float64) bool { return p > 0 && rng.Float64() < p }

// spread draws a factor with mean 1.
func spread(rng *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*rng.NormFloat64() - sigma*sigma/2)
}

func drawCount(rng *rand.Rand, mean, sigma float64, most int) int {
	return max(1, min(most, int(math.Round(mean*spread(rng, sigma)))))
}
