package cranksched

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = 1 * time.Second

// byPriority returns the scope of the jobs of a priority. Queues are published,
// so their priorities are few.
func (s *Scheduler) byPriority(priority int) tally.Scope {
	return s.Scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
}

// updateGauges shows what waits and runs.
func (s *Scheduler) updateGauges(now time.Time) {
	if now.Before(s.gaugesAt) {
		return
	}
	s.gaugesAt = now.Add(gaugePeriod)
	waiting := make(map[int]int, len(s.priorities))
	for priority := range s.priorities {
		waiting[priority] = 0
	}
	running := 0
	for _, j := range s.jobs {
		running += j.running
		if !j.ending() && j.running == 0 {
			waiting[j.spec.Priority]++
		}
	}
	for priority, n := range waiting {
		s.priorities[priority] = true
		s.byPriority(priority).Gauge("jobs_waiting").Update(float64(n))
	}
	held := 0
	for _, w := range s.workers {
		if w.held && w.failing == 0 {
			held++
		}
	}
	s.Scope.Gauge("tasks_running").Update(float64(running))
	s.Scope.Gauge("workers_held").Update(float64(held))
	s.Scope.Gauge("workers_listed").Update(float64(len(s.workers)))
}
