package crankorder

import (
	"time"

	"cranberrycrank/internal/crankpack"
)

const (
	// fastShare is the share of its run time that a unit's slack is below when it needs fast
	// workers: on the slow three quarters of a fleet work takes 1.2 of the usual time, and a
	// wait or a restart takes some more.
	fastShare = 0.5
	// slowShare is the share from which slow workers are good enough: at half of the usual
	// speed, work takes its run time once more.
	slowShare = 1.0
)

// Speed returns at workers of which speed a unit is placed.
//
// Load pattern: a quarter of the workers takes 0.55 of the usual time, the others 1.2. Batch
// tasks with seconds of slack are placed on the fast ones, and urgent gangs with a second of
// it on the others.
func Speed(urgent bool, slack, run time.Duration) crankpack.SpeedPreference {
	switch {
	case urgent:
		return crankpack.PreferFast
	case run <= 0 || slack < 0: // not known, or late: leaves fast workers to others
		return crankpack.AnySpeed
	case float64(slack) < fastShare*float64(run):
		return crankpack.PreferFast
	case float64(slack) >= slowShare*float64(run):
		return crankpack.PreferSlow
	}
	return crankpack.AnySpeed
}
