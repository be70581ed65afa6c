package crankentryproof

import (
	"fmt"
	"testing"
	"time"

	"cranberrycrank/standin/crankfakefleet"

	"pgregory.net/rapid"
)

// leaderRestarts is a leader that is killed several times in a row and starts again under
// its name, while two workers run on but are not reached as they should.
type leaderRestarts struct {
	lease    time.Duration
	rate     float64 // of the workers' clocks
	fault    string  // key of halfReached
	cut      time.Duration
	lasts    time.Duration
	restarts []leaderRestart
	jobs     []time.Duration // gaps between urgent jobs that are handed in meanwhile
}

type leaderRestart struct{ after, down time.Duration }

// halfReached holds the faults of calls to a worker that runs on.
var halfReached = map[string]crankfakefleet.Fault{
	"cut off":          {DropRequest: true},
	"answers are lost": {DropResponse: true},
	"calls are late":   {EffectDelay: 2500 * time.Millisecond},
	"calls are slow":   {TransitTime: 550 * time.Millisecond},
}

func drawLeaderRestarts(t *rapid.T) leaderRestarts {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * 10 * time.Millisecond
	}
	kinds := []string{"answers are lost", "calls are late", "calls are slow", "cut off"}
	restart := rapid.Custom(func(t *rapid.T) leaderRestart { return leaderRestart{ms(0, 250, "after"), ms(0, 40, "down")} })
	return leaderRestarts{
		lease: time.Duration(rapid.IntRange(5, 10).Draw(t, "lease")) * time.Second, rate: rapid.SampledFrom([]float64{1, 0.98}).Draw(t, "rate"),
		fault: rapid.SampledFrom(kinds).Draw(t, "fault"), cut: ms(0, 200, "cut"), lasts: ms(400, 1500, "lasts"),
		restarts: rapid.SliceOfN(restart, 1, 5).Draw(t, "restarts"),
		jobs:     rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Duration { return ms(0, 60, "gap") }), 0, 8).Draw(t, "jobs"),
	}
}

// play plays the restarts. Violations are reported by the cluster.
func (l leaderRestarts) play(c *cluster) {
	c.setUp(5)
	c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.ClockRate = l.rate })
	time.Sleep(2 * time.Second)
	for i := range 3 { // may be refused, as those below
		_ = c.submit("a", "patient", fmt.Sprintf("long%d", i), independentTasks(10, time.Duration(14+4*i)*time.Second))
	}
	_ = c.submit("a", "patient", "gang", gangStep(2, 4, 10*time.Second))
	go func() {
		for i, gap := range l.jobs {
			time.Sleep(gap)
			_ = c.submitTo(c.anyInstance(), "urgent", fmt.Sprintf("urgent%d", i), independentTasks(2, 6*time.Second))
		}
	}()
	time.Sleep(l.cut)
	c.update(func() {
		c.workerFaults = func(_, worker, _ string) crankfakefleet.Fault {
			if worker == workerID(0) || worker == workerID(1) {
				return halfReached[l.fault]
			}
			return crankfakefleet.Fault{}
		}
	})
	time.AfterFunc(l.lasts, func() { clearWorkerFaults(c) })
	for _, r := range l.restarts {
		time.Sleep(r.after)
		if name := c.leader(); name != "" {
			c.kill(name)
			time.Sleep(r.down)
			c.start(name)
		}
	}
	time.Sleep(20 * time.Second)
}

// anyInstance returns an instance that runs.
func (c *cluster) anyInstance() (inst *instance) {
	c.update(func() {
		for _, inst = range c.running {
			return
		}
	})
	return inst
}

// Leaders that are lost one after the other, each soon after its start, must not take runs
// at workers that they don't reach for ended.
func TestLeaderKilledAgainAndAgainStartsNothingTwice(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		l := rapid.Custom(drawLeaderRestarts).Draw(r, "restarts of the leader")
		bounds := leaseBounds
		bounds.MaxLease = l.lease
		var faults []string
		playWithBounds(t, bounds, func(_ *testing.T, c *cluster) { l.play(c) }, func(_ *testing.T, violation string) { faults = append(faults, violation) })
		if len(faults) > 0 {
			r.Fatal(faults)
		}
	})
}
