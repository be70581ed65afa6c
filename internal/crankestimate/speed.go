package crankestimate

import (
	"math"
	"slices"

	"github.com/benbjohnson/immutable"
)

// learnedSpeed is what is known of a worker's speed.
type learnedSpeed struct {
	sum    float64 // of logarithms of speeds, weighted
	weight float64
}

// stepReadings are the newest run times of a step, one for each worker.
type stepReadings struct {
	readings []reading // not changed, the newest one last
	last     int64     // value of Model.runs at the last reading
}

// reading is the run time of a task at a worker, also one that its progress implies.
type reading struct {
	worker  string
	logTook float64 // in seconds
}

// reference is what tasks of a step are known to need.
type reference struct {
	logWork float64 // logarithm of the mean work in seconds
	count   int     // number of workers that it was seen at
}

// Parameters of speeds.
const (
	speedHalfLife = 20  // runs of a worker, until one counts half; twice the 10 within which a speed is learned
	usualWeight   = 0.5 // runs at speed 1 that count beside those of a worker; three real ones have 6/7 of the weight
	maxSurprise   = 0.8 // largest difference of one logarithm from what is known: a straggler takes 7 times as long
	classWeight   = 0.1 // of a comparison with the class: callers' estimates are off by up to a factor of 1.9
	minClassRuns  = 10  // of a class that is compared with
	maxLogSpeed   = 2.0 // workers differ by less than a factor of 7
	minAlike      = 3   // workers of a step, before its tasks are expected to take like them
	maxReadings   = 24  // of a step
	maxSteps      = 128 // with readings; 130 KB of memory at most
)

// Speed returns how fast a worker is: 1 is usual, 2 takes half the time.
func (m Model) Speed(worker string) float64 { return math.Exp(m.logSpeed(worker)) }

func (m Model) logSpeed(worker string) float64 {
	if m.workers == nil {
		return 0
	}
	s, known := m.workers.Get(worker)
	if !known {
		return 0
	}
	return s.log() - m.logSpeeds/float64(m.workers.Len())
}

// log returns the logarithm of the speed before it is related to that of all workers.
func (s learnedSpeed) log() float64 {
	return min(max(s.sum/(s.weight+usualWeight), -maxLogSpeed), maxLogSpeed)
}

// withWorker sets what is known of a worker.
func (m Model) withWorker(worker string, s learnedSpeed) Model {
	if m.workers == nil {
		m.workers = immutable.NewMap[string, learnedSpeed](nil)
	}
	if old, known := m.workers.Get(worker); known {
		m.logSpeeds -= old.log()
	}
	m.workers, m.logSpeeds = m.workers.Set(worker, s), m.logSpeeds+s.log()
	return m
}

// withSpeed compares a run with what its task needs elsewhere.
func (m Model) withSpeed(t Task, worker string, logTook, weight float64) Model {
	if worker == "" {
		return m
	}
	expected, share := m.elsewhere(t, worker)
	if share <= 0 {
		return m
	}
	var s learnedSpeed
	if m.workers != nil {
		s, _ = m.workers.Get(worker)
	}
	known := s.log()
	weight *= share
	logSpeed := min(max(expected-logTook, known-maxSurprise), known+maxSurprise)
	fade := math.Exp2(-weight / speedHalfLife)
	s.sum, s.weight = s.sum*fade+weight*logSpeed, s.weight*fade+weight
	return m.withWorker(worker, s)
}

// elsewhere returns the logarithm of the work that a task is known to need, and what a
// comparison with it counts. Tasks of a step are alike, so their times tell much more than
// the class.
func (m Model) elsewhere(t Task, worker string) (logWork, share float64) {
	if r := m.reference(t.Step, worker); r.count > 0 {
		return r.logWork, float64(r.count) / float64(r.count+1)
	}
	c := t.Class.coarse()
	if t.Declared <= 0 || m.weightOf(c, sketchRatio) < minClassRuns {
		return 0, 0
	}
	return math.Log(m.Expect(t.Class, t.Declared).quantile(0.5)), classWeight
}

// reference returns what tasks of a step needed at other workers. Far ones are drawn to the
// median, so that one straggler doesn't make all others look fast.
func (m Model) reference(step, except string) reference {
	if step == "" || m.steps == nil {
		return reference{}
	}
	s, _ := m.steps.Get(step)
	logs := make([]float64, 0, len(s.readings))
	for _, r := range s.readings {
		if r.worker != except {
			logs = append(logs, r.logTook+m.logSpeed(r.worker))
		}
	}
	if len(logs) == 0 {
		return reference{}
	}
	slices.Sort(logs)
	median, sum := logs[(len(logs)-1)/2], 0.0
	for _, l := range logs {
		sum += min(max(l, median-maxSurprise), median+maxSurprise)
	}
	return reference{sum / float64(len(logs)), len(logs)}
}

// withReading sets the newest reading of a worker for a step. Where there are too many
// steps, it forgets the one that was not seen for longest.
func (m Model) withReading(step string, r reading) Model {
	if step == "" || r.worker == "" {
		return m
	}
	if m.steps == nil {
		m.steps = immutable.NewMap[string, stepReadings](nil)
	}
	s, known := m.steps.Get(step)
	readings := make([]reading, 0, len(s.readings)+1)
	for _, old := range s.readings {
		if old.worker != r.worker {
			readings = append(readings, old)
		}
	}
	readings = append(readings, r)
	s.readings, s.last = readings[max(0, len(readings)-maxReadings):], m.runs
	m.steps = m.steps.Set(step, s)
	if known || m.steps.Len() <= maxSteps {
		return m
	}
	oldest, oldestRun := step, int64(math.MaxInt64)
	for i := m.steps.Iterator(); !i.Done(); {
		if key, other, _ := i.Next(); key != step && (other.last < oldestRun || (other.last == oldestRun && key < oldest)) {
			oldest, oldestRun = key, other.last
		}
	}
	m.steps = m.steps.Delete(oldest)
	return m
}

// WithWorkers returns the model with the speeds of those workers only that are kept.
func (m Model) WithWorkers(keep func(incarnation string) bool) Model {
	if m.workers == nil {
		return m
	}
	all := m.workers
	m.workers, m.logSpeeds = nil, 0
	for i := all.Iterator(); !i.Done(); {
		if worker, s, _ := i.Next(); keep(worker) {
			m = m.withWorker(worker, s)
		}
	}
	return m
}
