package cranksched

import crank "cranberrycrank"

// followQueues has jobs that have not begun run on the pool that their queue names in the
// configuration in force. Jobs that have begun stay on theirs.
func (s *Scheduler) followQueues(config crank.QueueConfig) {
	if s.queuePools == nil || config.Version != s.queuesVersion {
		s.queuesVersion, s.queuePools = config.Version, make(map[string]string, len(config.Queues))
		for _, q := range config.Queues {
			s.queuePools[q.Name] = q.Pool
		}
	}
	for _, j := range s.jobs {
		pool, ok := s.queuePools[j.spec.Queue]
		if !ok || pool == j.spec.Pool || j.progress.Started || j.placed > 0 || j.ending() || s.mayRunUnseen(j) {
			continue
		}
		s.Logger.Info("sched: job follows its queue", "job", j.spec.ID, "queue", j.spec.Queue, "from", j.spec.Pool, "to", pool, "config", config.Version)
		s.setPool(j, pool)
	}
}

// setPool changes the pool of a job, which is recorded with its first start.
func (s *Scheduler) setPool(j *job, pool string) {
	j.spec.Pool, j.progress.Pool = pool, pool
	s.noteNewest(j)
}
