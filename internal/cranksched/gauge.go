package cranksched

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// gaugePeriod is the time between two updates of the gauges.
const gaugePeriod = 1 * time.Second

// priorityScope tags metrics with a priority. Priorities come from the published
// queues, so the label has few values.
func (s *Scheduler) priorityScope(priority int) tally.Scope {
	return s.Scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)})
}

// clearGauges sets the gauges of the term to 0 once it is over: another leader tells them then.
func (s *Scheduler) clearGauges() {
	for priority := range s.priorities {
		s.priorityScope(priority).Gauge("jobs_waiting").Update(0)
	}
	for _, why := range standingReasons {
		s.standingScope(why).Gauge("jobs_standing").Update(0)
	}
	names := []string{"tasks_running", "workers_held", "workers_listed", "workers_unaccounted"}
	if s.Planning.Adaptive {
		names = append(names, "estimate_classes", "estimate_runs", "estimate_workers")
	}
	for _, name := range names {
		s.Scope.Gauge(name).Update(0)
	}
}

func (s *Scheduler) updateGauges(now time.Time) {
	if now.Before(s.nextGaugeUpdate) {
		return
	}
	s.nextGaugeUpdate = now.Add(gaugePeriod)
	waiting := make(map[int]int, len(s.priorities))
	for priority := range s.priorities {
		waiting[priority] = 0
	}
	running := 0
	for _, j := range s.jobs {
		running += j.placed
		if !j.ending() && j.placed == 0 && !s.mayRunUnseen(j) {
			waiting[j.spec.Priority]++
		}
	}
	s.updateStanding(now)
	s.chooseClocks()
	for priority, n := range waiting {
		s.priorities[priority] = true
		s.priorityScope(priority).Gauge("jobs_waiting").Update(float64(n))
	}
	held := 0
	for _, w := range s.workers {
		if w.answered && w.failedRenewals == 0 {
			held++
		}
	}
	s.Scope.Gauge("tasks_running").Update(float64(running))
	s.Scope.Gauge("workers_held").Update(float64(held))
	s.Scope.Gauge("workers_listed").Update(float64(len(s.workers)))
	s.Scope.Gauge("workers_unaccounted").Update(float64(len(s.unaccounted)))
	if s.Planning.Adaptive {
		s.Scope.Gauge("estimate_classes").Update(float64(s.model.Classes()))
		s.Scope.Gauge("estimate_runs").Update(float64(s.model.Runs()))
		s.Scope.Gauge("estimate_workers").Update(float64(s.model.Workers()))
	}
}
