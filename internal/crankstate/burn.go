package crankstate

import (
	"time"

	crank "cranberrycrank"
)

// BurnBucket counts the jobs that ended in one minute, for the error budget.
type BurnBucket struct {
	Minute int64 `json:"minute"` // since the Unix epoch
	Total  int   `json:"total"`
	Missed int   `json:"missed"` // not succeeded within the profile's latency
}

// BurnSeries holds the buckets of one profile in one workspace, oldest first.
type BurnSeries struct {
	Profile   string       `json:"profile"`
	Workspace string       `json:"workspace"`
	Buckets   []BurnBucket `json:"buckets"`
}

// countBurn adds an ended job to the current bucket and drops expired buckets. Jobs
// that the caller cancelled and profiles without a latency don't count.
func (s State) countBurn(j Job) State {
	if j.Cancelled || j.Rules.Latency == 0 {
		return s
	}
	minute := s.LogTime.Unix() / 60
	key := compositeKey(j.Profile, j.Workspace)
	old, _ := s.burn.Get(key)
	oldest := minute - int64(crank.BurnRateRetention/time.Minute)
	buckets := make([]BurnBucket, 0, len(old)+1)
	for _, b := range old {
		if b.Minute >= oldest {
			buckets = append(buckets, b)
		}
	}
	if len(buckets) == 0 || buckets[len(buckets)-1].Minute != minute {
		buckets = append(buckets, BurnBucket{Minute: minute})
	}
	last := &buckets[len(buckets)-1]
	last.Total++
	if j.Result != ResultSucceeded || j.EndedAt.Sub(j.SubmittedAt) > j.Rules.Latency {
		last.Missed++
	}
	s.burn = s.burn.Set(key, buckets)
	return s
}

// Burn returns the buckets of every profile and workspace.
func (s State) Burn() []BurnSeries {
	series := make([]BurnSeries, 0, s.burn.Len())
	for i := s.burn.Iterator(); !i.Done(); {
		key, buckets, _ := i.Next()
		profile, workspace := splitCompositeKey(key)
		series = append(series, BurnSeries{Profile: profile, Workspace: workspace, Buckets: buckets})
	}
	return series
}
