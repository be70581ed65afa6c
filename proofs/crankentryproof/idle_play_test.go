package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"

	"pgregory.net/rapid"
)

// idlePlay is a service with drawn jobs and no faults.
type idlePlay struct {
	racks     int
	evacuated string // zone, or empty
	jobs      []idleJob
}

type idleJob struct {
	after time.Duration // since the one before
	queue string
	key   string
	steps []crank.Step
}

func drawIdlePlay(t *rapid.T) idlePlay {
	p := idlePlay{racks: rapid.IntRange(2, 5).Draw(t, "racks")}
	if rapid.IntRange(0, 3).Draw(t, "evacuates") == 0 {
		p.evacuated = fmt.Sprintf("z%d", rapid.IntRange(0, p.racks-1).Draw(t, "zone"))
	}
	p.jobs = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) idleJob { return drawIdleJob(t, p.racks) }), 1, 16).Draw(t, "jobs")
	return p
}

func drawIdleJob(t *rapid.T, racks int) idleJob {
	j := idleJob{
		after: time.Duration(rapid.IntRange(0, 25).Draw(t, "after")) * 100 * time.Millisecond,
		queue: rapid.SampledFrom([]string{"patient", "patient", "urgent"}).Draw(t, "queue"),
		key:   rapid.SampledFrom([]string{guaranteedKey, unguaranteedKey}).Draw(t, "key"),
	}
	for i := range rapid.IntRange(1, 2).Draw(t, "steps") {
		st := drawIdleStep(t, racks)
		if i > 0 && !j.steps[0].LongRunning {
			st.After = []int{0}
		}
		j.steps = append(j.steps, st)
	}
	return j
}

func drawIdleStep(t *rapid.T, racks int) crank.Step {
	drawRack := func(what string) string {
		if rapid.IntRange(0, 3).Draw(t, what) > 0 {
			return ""
		}
		return fmt.Sprintf("r%d", rapid.IntRange(0, racks-1).Draw(t, "rack"))
	}
	st := crank.Step{
		Tasks:   rapid.IntRange(1, 12).Draw(t, "tasks"),
		RunTime: time.Duration(rapid.SampledFrom([]int{3, 10, 30, 80, 200, 600}).Draw(t, "run")) * 100 * time.Millisecond,
		Demand:  crank.Demand{MilliCores: 1000, MemoryMiB: 2000, Accelerators: rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8}).Draw(t, "accelerators")},
		Gang:    rapid.Bool().Draw(t, "gang"), LongRunning: rapid.IntRange(0, 4).Draw(t, "lasts") == 0,
		Label: drawRack("label"), DataRack: drawRack("data rack"),
	}
	if st.LongRunning {
		st.RunTime = time.Hour
	}
	st.SameRack = st.Gang && rapid.Bool().Draw(t, "same rack")
	if rapid.IntRange(0, 2).Draw(t, "limits") == 0 {
		st.MaxPerWorker = rapid.IntRange(1, 2).Draw(t, "limit")
	}
	return st
}

// play plays p and returns the tasks that stood for longer than a bound, and what else was
// wrong.
func (p idlePlay) play(t *testing.T, bound time.Duration) (faults []string) {
	playInCluster(t, func(_ *testing.T, c *cluster) {
		c.setUpRacks(p.racks)
		m := newIdleMeter(c, p.evacuated)
		if p.evacuated != "" {
			c.store.Put(crank.OperatorTopic, p.evacuated, []byte("{}"))
			time.Sleep(2 * time.Second)
		}
		for i, j := range p.jobs {
			m.pass(j.after)
			id := fmt.Sprintf("job%02d", i)
			c.key = j.key
			if c.submit(instanceNames[i%len(instanceNames)], j.queue, id, j.steps...) == nil {
				m.accept(id)
			}
		}
		m.pass(40 * time.Second)
		faults = m.over(bound)
	}, func(_ *testing.T, violation string) { faults = append(faults, violation) })
	return faults
}

// Gangs waited for a rack, and jobs for what was reserved for gangs.
func TestNoJobStandsInAnIdleService(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		p := rapid.Custom(drawIdlePlay).Draw(r, "play")
		if faults := p.play(t, longestStand+samplePeriod); len(faults) > 0 {
			r.Fatal(p, faults)
		}
	})
}
