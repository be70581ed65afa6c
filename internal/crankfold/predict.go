package crankfold

import (
	"math"
	"time"

	crank "cranberrycrank"
)

// predictWeight is the weight of the newest run in a profile's correction.
const predictWeight = 0.2

// noteRunTime learns by which factor a profile's declared run time is off.
func (s State) noteRunTime(j Job) State {
	actual := s.Horizon.Sub(j.StartedAt)
	if j.Placed > 1 || j.StartedAt.IsZero() || actual <= 0 || j.Rules.RunTime <= 0 {
		return s
	}
	sample := math.Log(actual.Seconds() / j.Rules.RunTime.Seconds())
	old, ok := s.corrections.Get(j.Profile)
	if ok {
		sample = old + predictWeight*(sample-old)
	}
	s.corrections = s.corrections.Set(j.Profile, sample)
	return s
}

// PredictRunTime returns the declared run time of a profile, corrected by how
// long its jobs took.
func (s State) PredictRunTime(p crank.Profile) time.Duration {
	factor, _ := s.corrections.Get(p.Name)
	return time.Duration(float64(p.RunTime) * math.Exp(factor))
}
