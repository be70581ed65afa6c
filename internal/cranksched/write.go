package cranksched

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankbook"
)

// write stores the progress that changed, one append at a time. Ends are
// acknowledged to their workers once they are stored.
func (s *Scheduler) write() {
	if s.writing || time.Now().Before(s.retryAt) {
		return
	}
	if len(s.dirty) == 0 && !s.stale {
		s.acknowledge(s.acks)
		clear(s.acks)
		return
	}
	records := make([]crank.KeyedRecord, 0, len(s.dirty)+1)
	jobs := make([]*job, 0, len(s.dirty))
	for id, j := range s.dirty {
		j.progress.Term = s.Term
		r, err := crankbook.ProgressRecord(id, j.progress)
		if err != nil {
			s.Logger.Error("sched: progress not encoded", "job", id, "error", err)
			continue
		}
		records = append(records, r)
		jobs = append(jobs, j)
	}
	clear(s.dirty)
	lives := s.lives()
	rosterChanged := s.stale
	if rosterChanged {
		r, err := crankbook.RosterRecord(crankbook.Roster{Term: s.Term, Lives: lives})
		if err != nil {
			s.Logger.Error("sched: roster not encoded", "error", err)
		}
		records = append(records, r)
		s.stale = false
	}
	acks := s.acks
	s.acks = make(map[*worker]int64)
	s.writing = true
	begun := time.Now()
	go func() {
		_, err := s.writer.Append(s.ctx, records...)
		s.post(func() {
			s.writing = false
			s.Scope.Timer("progress_write").Record(time.Since(begun))
			s.written(jobs, lives, rosterChanged, acks, err)
		})
	}()
}

// lives returns the lives that may have been given orders, or will be.
func (s *Scheduler) lives() []string {
	var lives []string
	for life := range s.roster {
		lives = append(lives, life)
	}
	for _, w := range s.workers {
		if !w.over && !s.roster[w.life] {
			lives = append(lives, w.life)
		}
	}
	return lives
}

// written takes in what became of an append.
func (s *Scheduler) written(jobs []*job, lives []string, rosterChanged bool, acks map[*worker]int64, err error) {
	if err != nil {
		if crank.KindOf(err) == crank.KindFenced {
			s.Holding.Resign("the store has seen a higher epoch")
		}
		s.Logger.Warn("sched: progress not stored", "jobs", len(jobs), "ends", len(acks), "error", err)
		for _, j := range jobs {
			s.mark(j)
		}
		for w, n := range acks {
			s.acks[w] = max(s.acks[w], n)
		}
		s.stale = s.stale || rosterChanged
		s.retryAt = time.Now().Add(writeRetry)
		return
	}
	for _, j := range jobs {
		j.claimed = true
		if j.ending() && j.running == 0 {
			s.dropEnded(j)
		}
	}
	if rosterChanged {
		for _, life := range lives {
			s.roster[life] = true
		}
	}
	s.acknowledge(acks)
	s.changed = true
}

func (s *Scheduler) acknowledge(acks map[*worker]int64) {
	for w, n := range acks {
		w.keeper.Ack(n)
	}
}

// dropEnded forgets a job that has ended, once that is stored and nothing of
// it holds room.
func (s *Scheduler) dropEnded(j *job) {
	if s.dirty[j.spec.ID] == nil && (j.cancelled || j.claimed) {
		delete(s.jobs, j.spec.ID)
		s.dropped[j.spec.ID] = true
	}
}

// sweep removes jobs that ended long ago, and instances that have been silent
// for long, from the store.
func (s *Scheduler) sweep() {
	now := time.Now()
	if now.Before(s.sweepAt) {
		return
	}
	s.sweepAt = now.Add(sweepPeriod)
	state := s.Book.View().State
	ids := state.EndedBefore(now.Add(-s.Retention))
	_, silent := state.Instances(now)
	if len(ids)+len(silent) == 0 {
		return
	}
	var records []crank.KeyedRecord
	for _, id := range ids {
		if s.jobs[id] == nil {
			delete(s.dropped, id)
			records = append(records, crankbook.RemovalRecords(id)...)
		}
	}
	for _, id := range silent {
		records = append(records, crankbook.ForgetRecord(id))
	}
	go func() {
		if _, err := s.writer.Append(s.ctx, records...); err != nil {
			s.Logger.Warn("sched: old records not removed", "jobs", len(ids), "instances", len(silent), "error", err)
			return
		}
		s.Logger.Info("sched: old records removed", "jobs", len(ids), "instances", len(silent))
	}()
}
