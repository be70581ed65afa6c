package cranksched

import (
	"time"

	"cranberrycrank/internal/crankevidence"
	"cranberrycrank/internal/crankjobs"
)

// witnessedTime is how long witnessed ends are kept in the store. It is shorter than the
// retention of jobs, so that none is left of a job when its ID is used again.
const witnessedTime = 30 * time.Second

// witnessTime is how long after a worker's last answer the ends are stored and read that other
// instances have seen there: a look, an append and a read of the job topic.
const witnessTime = 500 * time.Millisecond

// noteWitnessed marks the tasks as done whose ends other instances saw while there was
// no leader. An end counts unless a later run of the task, or of its gang, is known.
func (s *Scheduler) noteWitnessed(ends []crankjobs.WitnessedEnds) {
	for _, e := range ends {
		for _, d := range e.Done {
			j := s.jobs[d.Job]
			if j == nil {
				continue
			}
			t := j.task(d.Task())
			if t == nil || t.done || !crankevidence.JudgeWitnessed(d.Run, t.newestRun()).Over() {
				continue
			}
			s.Logger.Info("sched: end witnessed by another instance", "task", t.id, "run", d.Run, "incarnation", e.Incarnation)
			t.lastRun = max(t.lastRun, d.Run)
			s.noteStarted(j)
			s.finishRun(t)
		}
	}
}

// newestRun returns the highest number of a run of the task or its gang that is known.
func (t *task) newestRun() (run int64) {
	members := []*task{t}
	if t.step.Gang {
		members = t.members()
	}
	for _, m := range members {
		run = max(run, m.lastRun)
		if m.placement != nil {
			run = max(run, m.placement.run)
		}
	}
	return run
}
