package cranksched

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

// A line of a leader's log did not tell whether a job waits for a worker, for which one, or
// for capacity.
func TestStandingJobNamesWhatItWaitsFor(t *testing.T) {
	now := time.Now()
	for _, v := range []struct {
		name   string
		change func(s *Scheduler, t *task)
		want   standing
	}{
		{"capacity", func(*Scheduler, *task) {}, standing{why: standsCapacity}},
		{"held", func(s *Scheduler, t *task) {
			t.held = true
			s.unaccounted["w2/1"], s.unaccounted["w3/1"] = now.Add(time.Second), now.Add(2*time.Second)
		}, standing{why: standsHeld, worker: "w3/1", until: now.Add(2 * time.Second)}},
		{"store", func(s *Scheduler, _ *task) { s.retryAt = now.Add(time.Second) }, standing{why: standsStore}},
		{"blind", func(s *Scheduler, _ *task) { s.blindAt = now }, standing{why: standsBlind}},
		{"planned", func(_ *Scheduler, t *task) {
			t.placement = &placement{task: t, worker: &worker{}, state: statePlanned}
		}, standing{why: standsPlanned}},
		{"silent", func(s *Scheduler, t *task) {
			s.unaccounted["w1/1"] = now.Add(3 * time.Second)
			t.placement = &placement{task: t, worker: &worker{incarnation: "w1/1", failedRenewals: 1}}
		}, standing{why: standsSilent, worker: "w1/1", until: now.Add(3 * time.Second)}},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			s := newScheduler()
			j := s.benchJob("job", 2, crank.Demand{})
			for _, task := range j.open[0].tasks {
				v.change(s, task)
			}
			st, ok := s.standingOf(j, now)
			is.True(ok)
			is.Equal(standing{why: st.why, worker: st.worker, until: st.until}, v.want)

			j.open[0].tasks[1].placement = &placement{worker: &worker{}}
			_, ok = s.standingOf(j, now)
			is.True(!ok) // something runs
		})
	}
}
