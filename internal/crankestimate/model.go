// Package crankestimate learns from finished runs how long tasks take and how fast
// workers are. It does no I/O and reads no clock.
//
// Work is the run time at a worker of speed 1. For each class of tasks, the model keeps
// sketches of work, of work relative to the caller's estimate, and of work relative to
// other tasks of the same step. The speed of a worker is learned from how its runs compare
// with runs of the same step at other workers, or with their class where there are none.
package crankestimate

import (
	"math"
	"time"

	crank "cranberrycrank"

	"github.com/benbjohnson/immutable"
)

// Class is a group of tasks that are expected to take alike.
type Class struct {
	Queue     string
	Workspace string
	Demand    crank.Demand
	Gang      bool
	Members   int // of a gang, which is as slow as its slowest one
}

// Task is what is known of a task before it runs.
type Task struct {
	Class    Class
	Declared time.Duration // the caller's estimate, 0 for none
	Step     string        // key of the occurrence of its step, whose tasks are alike; "" if unknown
}

// Run is a run that ended by itself with success.
type Run struct {
	Class    Class
	Declared time.Duration // the caller's estimate, 0 for none
	Worker   string        // incarnation; the slowest one of a gang
	Took     time.Duration
	Step     string  // as in Task
	Tasks    int     // number of tasks of the step that run independently; 0 counts as 1
	Reported float64 // percent of the run that ObserveProgress was given
}

// Progress is a pair of progress readings of one run.
type Progress struct {
	Task
	Worker string        // incarnation
	Gained float64       // percent between the readings
	In     time.Duration // between the readings
}

// Model holds what was learned. The zero value knows nothing.
type Model struct {
	runs    int64                                // observed so far, the age of what was learned
	classes *immutable.SortedMap[Class, learned] // also of groups, see Class.parent
	workers *immutable.Map[string, learnedSpeed] // by incarnation
	// logSpeeds is the sum of the workers' logarithms. Speeds are relative to their mean:
	// else a change that comes to all workers alike would be taken for a change of each.
	logSpeeds float64
	steps     *immutable.Map[string, stepReadings] // recent ones by key; not recorded
}

// Parameters of learning.
const (
	maxTook     = 30 * 24 * time.Hour // longest run time that a caller may declare
	minGained   = 10                  // percent; readings are whole numbers, so that fewer have a large error
	minEndShare = 0.25                // least weight of an end for the speed of its worker
)

// Observe returns the model with one more run.
func (m Model) Observe(r Run) Model {
	if r.Took <= 0 || r.Took > maxTook {
		return m
	}
	m.runs++
	t := Task{Class: r.Class, Declared: r.Declared, Step: r.Step}
	logTook := math.Log(r.Took.Seconds())
	alike := m.reference(t.Step, r.Worker)
	if !r.Class.Gang {
		m = m.withSpeed(t, r.Worker, logTook, max(minEndShare, 1-r.Reported/100))
		m = m.withReading(t.Step, reading{worker: r.Worker, logTook: logTook})
	}
	work := r.Took.Seconds() * m.Speed(r.Worker)
	o := observation{work: work, weight: 1 / math.Sqrt(float64(max(1, r.Tasks)))}
	if r.Declared > 0 {
		o.ratio = work / r.Declared.Seconds()
	}
	if !r.Class.Gang && alike.count >= minAlike {
		o.alike = work / math.Exp(alike.logWork)
	}
	return m.withObservation(r.Class.coarse(), o)
}

// ObserveProgress returns the model with what a pair of readings tells about the worker's
// speed. The members of a gang progress at the pace of the slowest one, so theirs tell
// nothing.
func (m Model) ObserveProgress(p Progress) Model {
	if p.Class.Gang || p.Gained < minGained || p.Gained > 100 || p.In <= 0 || p.In > maxTook {
		return m
	}
	logTook := math.Log(p.In.Seconds() * 100 / p.Gained)
	m = m.withSpeed(p.Task, p.Worker, logTook, p.Gained/100)
	return m.withReading(p.Step, reading{worker: p.Worker, logTook: logTook})
}

// Expect returns how long a task takes at a worker of speed 1.
func (m Model) Expect(c Class, declared time.Duration) Distribution {
	return m.ExpectTask(Task{Class: c, Declared: declared})
}

// ExpectTask is like Expect, and uses what other tasks of the step took.
func (m Model) ExpectTask(t Task) Distribution {
	c := t.Class.coarse()
	if r := m.reference(t.Step, ""); r.count >= minAlike && !c.Gang {
		return m.blend(c, sketchAlike, pointDistribution(1)).scaled(math.Exp(r.logWork))
	}
	byRatio := pointDistribution(t.Declared.Seconds())
	if t.Declared > 0 {
		byRatio = m.blend(c, sketchRatio, pointDistribution(1)).scaled(t.Declared.Seconds())
	}
	if m.weightOf(c, sketchWork) < minOwnWork {
		return byRatio
	}
	byWork := m.blend(c, sketchWork, Distribution{})
	if t.Declared <= 0 || byWork.spread() < workPreference*byRatio.spread() {
		return byWork
	}
	return byRatio
}

// Left returns how long a run at a worker takes yet, at a time when it had run for a time
// and reported a percentage. An elapsed time of 0 means that it isn't known.
func (m Model) Left(c Class, declared, elapsed time.Duration, percent float64, worker string) Distribution {
	return m.LeftOf(Task{Class: c, Declared: declared}, elapsed, percent, worker)
}

// LeftOf is like Left, and uses what other tasks of the step took.
func (m Model) LeftOf(t Task, elapsed time.Duration, percent float64, worker string) Distribution {
	return m.ExpectTask(t).scaled(1/m.Speed(worker)).left(elapsed.Seconds(), min(percent, 100))
}

// Runs returns how many runs were observed.
func (m Model) Runs() int64 { return m.runs }

// Classes returns how many classes and groups of classes are known.
func (m Model) Classes() int {
	if m.classes == nil {
		return 0
	}
	return m.classes.Len()
}

// Workers returns of how many workers something is known.
func (m Model) Workers() int {
	if m.workers == nil {
		return 0
	}
	return m.workers.Len()
}
