package cranksched

// noteStarted records that a task of a job has started, which callers are told.
func (s *Scheduler) noteStarted(j *job) {
	if j.progress.Started {
		return
	}
	j.progress, j.startUnrecorded = j.progress.WithStarted(), true
	if !j.ending() {
		s.recordSoon(j)
	}
}

// withdrawBegun records that jobs have not begun which no worker has started: earlier versions
// record that a job has begun before they order its first start.
func (s *Scheduler) withdrawBegun() {
	for _, j := range s.jobs {
		if j.progress.Begun && !j.progress.Started && !j.ending() {
			j.progress.Begun = false
			s.markDirty(j)
			s.Logger.Info("sched: job has not begun, against its record", "job", j.spec.ID)
		}
	}
}

// revokeStarts has it stored that no task of a job may have been started, if that is so: the
// next planner then needs no worker's answer to start them.
func (s *Scheduler) revokeStarts(j *job) {
	if j.progress.Tracked || j.ordered || j.progress.Started || j.placed > 0 || (j.inherited && len(s.unaccounted) > 0) {
		return
	}
	j.progress.Tracked = true
	for _, o := range j.open {
		for _, t := range o.tasks {
			t.mayRun = false
		}
	}
	s.markDirty(j)
}
