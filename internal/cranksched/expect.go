package cranksched

import (
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankestimate"
)

// expectationTime is how long an expectation is used: each takes 40 µs, and rounds ask for
// thousands. Expectations decide order and placement only, never whether a run has ended or how
// much capacity is free.
const expectationTime = 1 * time.Second

// expectations caches what the model expects.
type expectations struct {
	at    time.Time
	tasks map[crankestimate.Task]crankestimate.Distribution
	paths map[string]time.Duration // critical paths by job ID
}

func newExpectations() expectations {
	return expectations{tasks: make(map[crankestimate.Task]crankestimate.Distribution), paths: make(map[string]time.Duration)}
}

// refresh forgets expectations that are too old.
func (e *expectations) refresh(now time.Time) {
	if now.Sub(e.at) >= expectationTime {
		clear(e.tasks)
		clear(e.paths)
		e.at = now
	}
}

// estimatedStep returns what the model is asked for a step.
func estimatedStep(spec crank.StepJob, st *crank.Step, key string) crankestimate.Task {
	class := crankestimate.Class{Queue: spec.Queue, Workspace: spec.Workspace, Demand: st.Demand, Gang: st.Gang}
	if st.Gang {
		class.Members = st.Tasks
	}
	return crankestimate.Task{Class: class, Declared: st.RunTime, Step: key}
}

// estimated returns what the model is asked for a run of a task.
func (p *placement) estimated() crankestimate.Task {
	return estimatedStep(p.task.job.spec, p.step, p.stepKey)
}

func (s *Scheduler) expectCached(t crankestimate.Task) crankestimate.Distribution {
	s.expectations.refresh(time.Now())
	d, known := s.expectations.tasks[t]
	if !known {
		d = s.model.ExpectTask(t)
		s.expectations.tasks[t] = d
	}
	return d
}

// expectedPath returns the critical path of a job by what is expected of its steps, or by
// the caller's estimates where planning isn't adaptive.
func (s *Scheduler) expectedPath(j *job) time.Duration {
	if !s.Planning.Adaptive {
		return j.spec.CriticalPath()
	}
	s.expectations.refresh(time.Now())
	path, known := s.expectations.paths[j.spec.ID]
	if !known {
		spec := j.spec
		spec.Steps = slices.Clone(spec.Steps)
		for i := range spec.Steps {
			if st := &spec.Steps[i]; !st.LongRunning {
				st.RunTime = s.expectCached(estimatedStep(j.spec, st, "")).Quantile(0.5)
			}
		}
		path = spec.CriticalPath()
		s.expectations.paths[j.spec.ID] = path
	}
	return path
}

// expectedObjective returns the time from submission to completion that a job should keep.
func (s *Scheduler) expectedObjective(j *job) time.Duration {
	return time.Duration(j.spec.SlackFactor*float64(s.expectedPath(j))) + j.spec.TargetLatency
}

// latestStart returns when a job has to start to meet its objective.
func (s *Scheduler) latestStart(j *job) time.Time {
	return j.firstSeen.Add(s.expectedObjective(j) - s.expectedPath(j))
}

// speedOf returns how fast a worker is, 0 if that isn't known.
func (s *Scheduler) speedOf(w *worker) float64 {
	if !s.Planning.Adaptive {
		return 0
	}
	return s.model.Speed(w.incarnation)
}

// slowest returns the worker of a run, or of a gang the one that is expected to be slowest.
func (s *Scheduler) slowest(p *placement) *worker {
	slowest := p.worker
	if p.task == nil || !p.step.Gang {
		return slowest
	}
	for _, m := range p.task.members() {
		if m.placement != nil && m.placement.run == p.run && s.speedOf(m.placement.worker) < s.speedOf(slowest) {
			slowest = m.placement.worker
		}
	}
	return slowest
}

// expectedAtWorker returns how long a run of a task takes at its worker, or its gang at theirs.
func (s *Scheduler) expectedAtWorker(p *placement) crankestimate.Distribution {
	return s.expectCached(p.estimated()).Scaled(1 / s.speedOf(s.slowest(p)))
}

// refreshEnd returns what a run has told, with its expected end brought up to date.
func (s *Scheduler) refreshEnd(p *placement, now time.Time) *runLearning {
	l := p.learn()
	if l.expectedFrom != p.percent || now.Sub(l.expectedAt) >= expectationTime || !now.Before(l.endsAt) {
		left := s.left(p, now)
		l.endsAt, l.lateAt, l.expectedAt, l.expectedFrom = now.Add(usual(left)), now.Add(late(left)), now, p.percent
	}
	return l
}

// left returns how long a run of a task takes yet.
func (s *Scheduler) left(p *placement, now time.Time) crankestimate.Distribution {
	total, elapsed := s.expectedAtWorker(p), p.elapsed(now)
	if p.percent <= 0 || p.progressedAt.IsZero() {
		return total.Left(elapsed, 0)
	}
	return total.Left(elapsed, p.percent).After(now.Sub(p.progressedAt))
}

// elapsed returns how long a run that is at its percentage had taken when it got there,
// as if it had begun at 0; without any percentage, how long it has taken. It is 0 where
// nothing tells.
func (p *placement) elapsed(now time.Time) time.Duration {
	l := p.learn()
	switch {
	case l.whole && p.percent <= 0:
		return now.Sub(p.startedAt)
	case l.whole:
		return p.progressedAt.Sub(p.startedAt)
	case !l.first.at.IsZero() && p.percent > l.first.percent:
		return time.Duration(float64(p.progressedAt.Sub(l.first.at)) * p.percent / (p.percent - l.first.percent))
	}
	return 0
}

// expectedLongest returns a time that a run is unlikely to exceed, by which its progress is
// judged.
//
// Load pattern: workers take twice the usual time, and 3 % of tasks seven times theirs. Their
// progress is slower than the callers' estimates lead to expect, but not stalled.
func (s *Scheduler) expectedLongest(p *placement) time.Duration {
	runTime := p.step.RunTime
	if s.Planning.Adaptive {
		runTime = max(runTime, s.expectedAtWorker(p).Quantile(lateQuantile))
	}
	return runTime
}

// Quantiles of expected times that decisions use.
const (
	medianQuantile = 0.5
	lateQuantile   = 0.9 // a time that one of ten exceeds
)

// unlearnedSpread is the 90 % quantile of a run time, in callers' estimates, while nothing
// was learned about it. Estimates are off by up to 0.5 to 0.9 of the run time.
const unlearnedSpread = 1.5

// expectedRun returns how long a task of a step is expected to take, and 0 if that is not
// known.
func (s *Scheduler) expectedRun(j *job, st *crank.Step) crankestimate.Distribution {
	return s.expectCached(estimatedStep(j.spec, st, ""))
}

// remaining is how long a run is expected to take yet.
type remaining struct {
	usual time.Duration
	late  time.Duration // exceeded once in ten times
}

// expectedLeft returns how long a run of a task is expected to take yet. The run is of a
// step that ends by itself.
func (s *Scheduler) expectedLeft(p *placement) remaining {
	if !s.Planning.Adaptive {
		return remaining{p.declaredLeft(), p.declaredLeft()}
	}
	now := time.Now()
	l := s.refreshEnd(p, now)
	return remaining{max(0, l.endsAt.Sub(now)), max(0, l.lateAt.Sub(now))}
}

// ran returns how long a run has taken. This planner may have adopted it long after its
// start, which its progress shows.
func (p *placement) ran() time.Duration {
	ran := time.Since(p.startedAt)
	if p.step.Checkpoints { // may have begun with progress
		return ran
	}
	return max(ran, time.Duration(p.percent/100*float64(p.step.RunTime)))
}

// usual returns the median of a distribution.
func usual(d crankestimate.Distribution) time.Duration { return d.Quantile(medianQuantile) }

// late returns the time that a distribution exceeds once in ten times. A distribution
// without spread is a caller's estimate.
func late(d crankestimate.Distribution) time.Duration {
	usual, late := d.Quantile(medianQuantile), d.Quantile(lateQuantile)
	if late > usual {
		return late
	}
	return time.Duration(unlearnedSpread * float64(usual))
}

// isExpected reports whether it is known when a run ends.
func (s *Scheduler) isExpected(p *placement) bool {
	return p.task != nil && p.step != nil && !p.step.LongRunning && s.expectedRun(p.task.job, p.step).Quantile(medianQuantile) > 0
}

// pathFrom returns how long a job is expected to take from the start of a step on: its run
// by a quantile, usual or late, and the longest chain of steps after it by the median.
func (s *Scheduler) pathFrom(j *job, st *crank.Step, of func(crankestimate.Distribution) time.Duration) time.Duration {
	steps := j.spec.Steps
	ends := make([]time.Duration, len(steps))
	longest, begun := time.Duration(0), false
	for i := range steps {
		if &steps[i] == st {
			ends[i], begun = of(s.expectedRun(j, st)), true
			longest = ends[i]
			continue
		}
		if !begun {
			continue
		}
		after := time.Duration(0)
		for _, a := range steps[i].After {
			after = max(after, ends[a])
		}
		if after > 0 { // the step waits for st
			ends[i] = after + s.expectedRun(j, &steps[i]).Quantile(medianQuantile)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// slack returns how long a unit may still wait to meet its job's objective, by a quantile of
// its run time, usual or late.
func (s *Scheduler) slack(u unit, of func(crankestimate.Distribution) time.Duration, now time.Time) time.Duration {
	return u.job.firstSeen.Add(s.expectedObjective(u.job)).Sub(now) - s.pathFrom(u.job, u.step, of)
}
