package cranksched

import (
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankestimate"
	"cranberrycrank/internal/crankfleet"

	"github.com/uber-go/tally/v4"
)

const (
	minReadingGain = 20  // percent between two readings; whole numbers make the rate of fewer inexact
	maxStartShare  = 0.1 // of a run's time, that the start may have taken to be answered
)

// runTimeErrorBuckets are bounds of the ratio of a run's time to what was expected.
var runTimeErrorBuckets = tally.ValueBuckets{0.25, 0.5, 0.7, 0.8, 0.9, 1, 1.1, 1.25, 1.5, 2, 4, 8}

// runLearning is what a run has told so far.
type runLearning struct {
	whole        bool          // it was started in this term and from the beginning
	expected     time.Duration // median at its start
	first        progressReading
	base         progressReading // from which the next gain counts
	reported     float64         // percent that the model was given
	endsAt       time.Time       // when it is expected to end, from expectedAt on
	lateAt       time.Time       // when it ends later once in ten times
	expectedAt   time.Time
	expectedFrom float64 // percent
}

type progressReading struct {
	percent float64
	at      time.Time // zero if there is none
}

// noteStart prepares learning from a run whose start is ordered.
func (s *Scheduler) noteStart(p *placement) {
	if !s.Planning.Adaptive || !learnable(p) {
		return
	}
	p.learning = &runLearning{whole: p.task.checkpoint == "", expected: s.expectedAtWorker(p).Quantile(0.5)}
}

// learn returns what a run has told. One of an earlier term has told nothing yet.
func (p *placement) learn() *runLearning {
	if p.learning == nil {
		p.learning = &runLearning{}
	}
	return p.learning
}

// learnable reports whether a run may tell about its class or worker. How fast best-effort
// tasks are depends on what runs beside them.
func learnable(p *placement) bool {
	return p != nil && p.task != nil && !p.step.LongRunning && !p.step.BestEffort
}

// awayFromRack reports whether a run is slower than its work and its worker are: its gang is
// spread over racks although it wants one, or its input data lie elsewhere.
func (p *placement) awayFromRack() bool {
	rack := p.worker.entry.Rack
	if p.step.DataRack != "" && p.step.DataRack != rack {
		return true
	}
	return p.step.Gang && p.step.SameRack && slices.ContainsFunc(p.task.members(), func(m *task) bool {
		return m.placement != nil && m.placement.worker.entry.Rack != rack
	})
}

// observe learns from a worker's report, before it is applied. Ends that a worker reports
// after a silence may be old.
func (s *Scheduler) observe(w *worker, r crankfleet.RenewResult) {
	if !s.Planning.Adaptive {
		return
	}
	for _, e := range r.Ended {
		p := w.placements[e.Task]
		if e.Number > w.lastEnd && e.Kind == crank.EndDone && w.failedRenewals == 0 && learnable(p) && p.run == e.Run {
			s.observeEnd(p, r.Received)
		}
	}
	for _, a := range r.Active {
		if p := w.placements[a.Task]; learnable(p) && p.run == a.Run {
			s.observeProgress(p, progressReading{a.Percent, r.Received})
		}
	}
}

// observeEnd learns from a run that is done. The first member of a gang that ends tells for
// all. What a run from a checkpoint took is only a part of its work.
func (s *Scheduler) observeEnd(p *placement, received time.Time) {
	took, t := received.Sub(p.startedAt), p.task
	if t.done || !p.learn().whole || took <= 0 || p.awayFromRack() {
		return
	}
	if !p.answeredAt.IsZero() && float64(p.answeredAt.Sub(p.startedAt)) > maxStartShare*float64(took) {
		return // when it started is not known well enough
	}
	if expected := p.learning.expected; expected > 0 {
		s.Scope.Histogram("run_time_error", runTimeErrorBuckets).RecordValue(float64(took) / float64(expected))
	}
	asked, independent := p.estimated(), t.step.Tasks
	if t.step.Gang {
		independent = 1
	}
	s.model = s.model.Observe(crankestimate.Run{
		Class: asked.Class, Declared: asked.Declared, Step: asked.Step, Worker: s.slowest(p).incarnation, Took: took,
		Tasks: independent, Reported: p.learning.reported,
	})
}

// observeProgress learns from progress since an earlier reading of the same run.
func (s *Scheduler) observeProgress(p *placement, next progressReading) {
	l := p.learn()
	gained, in := next.percent-l.base.percent, next.at.Sub(l.base.at)
	switch {
	case l.base.at.IsZero() || gained < 0:
		l.first, l.base = next, next
	case gained >= minReadingGain && next.percent < 100:
		if !p.step.Gang && !p.awayFromRack() {
			s.model = s.model.ObserveProgress(crankestimate.Progress{
				Task: p.estimated(), Worker: p.worker.incarnation, Gained: gained, In: in,
			})
			l.reported += gained
		}
		l.base = next
	}
}
