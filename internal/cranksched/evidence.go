package cranksched

import (
	"time"
)

// record is what runs have shown of a worker's health.
type record struct {
	failed map[string]bool // jobs with a failed run since the last good one
	still  int             // runs that stood still since the last good one
}

// Bounds of the judgement of workers.
const (
	failedJobs  = 2                       // jobs that fail in a row at a worker condemn it
	shunTime    = 8 * time.Second         // a condemned worker gets nothing for this time
	stillTime   = 2500 * time.Millisecond // a run without progress for longer stands still
	stillChunks = 6                       // or for so many times the expected time of one percent
)

func (s *Scheduler) recordOf(w *worker) *record {
	r := s.evidence[w.life]
	if r == nil {
		r = &record{failed: make(map[string]bool)}
		s.evidence[w.life] = r
	}
	return r
}

// doubt grows with what speaks against a worker.
func (s *Scheduler) doubt(w *worker) int {
	r := s.evidence[w.life]
	if r == nil {
		return 0
	}
	return len(r.failed) + r.still
}

// good notes a run that was done.
func (s *Scheduler) good(w *worker) {
	delete(s.evidence, w.life)
}

// bad notes a failed run. A worker where several jobs fail in a row gets
// nothing for a while.
func (s *Scheduler) bad(w *worker, job string) {
	r := s.recordOf(w)
	r.failed[job] = true
	if len(r.failed) >= failedJobs {
		s.shun(w, "runs fail in a row", len(r.failed))
	}
}

func (s *Scheduler) shun(w *worker, why string, count int) {
	w.shunned = time.Now().Add(shunTime)
	s.Logger.Warn("sched: worker shunned", "worker", w.entry.ID, "why", why, "count", count, "for", shunTime)
}

// checkStill stops a run that makes no progress.
func (s *Scheduler) checkStill(p *placement, now time.Time) {
	if p.state != running || p.task == nil || p.task.step.Lasting || p.worker.failing > 0 || p.moved.IsZero() {
		return
	}
	limit := max(stillTime, stillChunks*p.step.RunTime/100)
	if now.Sub(p.lastMove()) < limit {
		return
	}
	r := s.recordOf(p.worker)
	r.still++
	s.shun(p.worker, "a run stands still", r.still)
	s.Logger.Warn("sched: run stands still", "task", p.id, "run", p.run, "worker", p.worker.entry.ID, "percent", p.percent, "since", now.Sub(p.moved))
	p.task.avoid(p.worker.entry.ID)
	s.stopRun(p, "it stands still")
}

// lastMove returns when a run last made progress. The members of a gang work
// together, and one that is ready waits for the others.
func (p *placement) lastMove() time.Time {
	moved := p.moved
	if !p.step.Gang {
		return moved
	}
	for _, m := range p.task.members() {
		if m.place != nil && m.place.moved.After(moved) {
			moved = m.place.moved
		}
	}
	return moved
}

func (t *task) avoid(worker string) {
	if t.shun == nil {
		t.shun = make(map[string]bool)
	}
	t.shun[worker] = true
}
