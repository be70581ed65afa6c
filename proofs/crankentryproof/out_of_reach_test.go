package crankentryproof

import (
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"

	"github.com/matryer/is"
)

// noAnswers are the ways in which a worker that lives may give no answer.
var noAnswers = map[string]crankfakefleet.Fault{
	"silent":        {DropRequest: true},
	"one_way":       {DropResponse: true},
	"refused":       {NoListener: true},
	"misdirected":   {Misdirect: true},
	"unavailable":   {Refuse: true},
	"former_answer": {FormerAnswer: true},
}

// disturb injects a fault into all calls to a worker, and lets its heartbeats stop.
func (c *cluster) disturb(worker string, f crankfakefleet.Fault, silent bool) {
	c.update(func() {
		c.silent[worker] = silent
		c.workerFaults = func(_, w, _ string) crankfakefleet.Fault {
			if w == worker {
				return f
			}
			return crankfakefleet.Fault{}
		}
	})
}

// Refused connections and answers of another worker at its address freed the runs of a
// worker that ran on.
func TestWorkerOutOfReachKeepsItsRuns(t *testing.T) {
	const away = 4 * time.Second // shorter than what is left of a lease
	for name, fault := range noAnswers {
		for _, v := range []struct {
			name     string
			unlisted bool // its entry expires meanwhile
			lose     func(c *cluster)
		}{
			{"listed", false, func(*cluster) {}},
			{"unlisted", true, func(*cluster) {}},
			{"leader_killed", false, func(c *cluster) { c.kill(c.leader()) }},
			{"leader_killed_unlisted", true, func(c *cluster) { c.kill(c.leader()) }},
			{"leader_stops", false, func(c *cluster) { c.shutDown(c.leader()) }},
		} {
			t.Run(name+"/"+v.name, func(t *testing.T) {
				t.Parallel()
				bounds := leaseBounds
				bounds.MaxLease = longestLease
				playWithBounds(t, bounds, func(t *testing.T, c *cluster) {
					is := is.New(t)
					c.setUp(4)
					time.Sleep(settled)
					log := c.recordStarts()
					const tasks = 8
					is.NoErr(c.submit("a", "patient", "job1", independentTasks(tasks, 12*time.Second)))
					time.Sleep(1500 * time.Millisecond)
					worker := log.workerOf(crank.TaskID{Job: "job1"})
					c.disturb(worker, fault, v.unlisted)
					if v.unlisted {
						c.removeEntry(worker)
					}
					time.AfterFunc(away, func() {
						clearWorkerFaults(c)
						c.reconnectWorker(worker)
					})
					time.Sleep(500 * time.Millisecond)
					v.lose(c)
					time.Sleep(away)
					c.ensureAllRunning()
					c.awaitPhase("a", "patient", "job1", crank.PhaseCompleted, 40*time.Second)
					is.Equal(c.fleet.Runs(), tasks) // each ran once
				}, func(t *testing.T, violation string) { t.Error(violation) })
			})
		}
	}
}
