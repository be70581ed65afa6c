package crankstate

import (
	"math"
	"time"

	crank "cranberrycrank"
)

// correctionWeight is the weight of the newest sample in updateCorrection.
const correctionWeight = 0.2

// updateCorrection updates the exponentially weighted moving average of the log
// ratio of actual to declared run time. Only jobs with a single attempt count.
func (s State) updateCorrection(j Job) State {
	actual := s.LogTime.Sub(j.StartedAt)
	if j.AttemptCount > 1 || j.StartedAt.IsZero() || actual <= 0 || j.Rules.RunTime <= 0 {
		return s
	}
	sample := math.Log(actual.Seconds() / j.Rules.RunTime.Seconds())
	old, ok := s.corrections.Get(j.Profile)
	if ok {
		sample = old + correctionWeight*(sample-old)
	}
	s.corrections = s.corrections.Set(j.Profile, sample)
	return s
}

// PredictRunTime returns the declared run time of a profile, scaled by the ratio of
// its earlier jobs.
func (s State) PredictRunTime(p crank.Profile) time.Duration {
	logRatio, _ := s.corrections.Get(p.Name)
	return time.Duration(float64(p.RunTime) * math.Exp(logRatio))
}
