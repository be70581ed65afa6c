// Package crankburn computes the burn rates of the error budgets, per profile and
// workspace, from counts of ended jobs and of those that missed the objective, and
// the multi-window alerts.
package crankburn

import (
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankstate"
	"cranberrycrank/pkg/crankapi"
)

// windowMinutes lists the windows of the report, the shortest first.
var windowMinutes = []int{5, 30, 60, 360}

// Alert thresholds, which the burn rates of both windows must exceed.
const (
	pageRate   = 14.4 // 5 minutes and 1 hour: 2 % of a 30-day budget in an hour
	ticketRate = 6.0  // 30 minutes and 6 hours: 5 % of a 30-day budget in six hours
)

// Report computes the burn rates of the configured profiles in the windows that
// end at now.
func Report(s crankstate.State, now time.Time) crankapi.BurnReport {
	report := crankapi.BurnReport{At: now.UTC(), Lines: []crankapi.BurnLine{}}
	for _, series := range s.Burn() {
		profile, ok := s.Config.Profile(series.Profile)
		if !ok {
			continue
		}
		report.Lines = append(report.Lines, reportSeries(series, profile, now))
	}
	return report
}

func reportSeries(series crankstate.BurnSeries, p crank.Profile, now time.Time) crankapi.BurnLine {
	l := crankapi.BurnLine{Profile: series.Profile, Workspace: series.Workspace, Objective: p.Objective}
	rates := make(map[int]float64, len(windowMinutes))
	for _, minutes := range windowMinutes {
		w := reportWindow(series, p, now, minutes)
		rates[minutes] = w.Rate
		l.Windows = append(l.Windows, w)
	}
	switch {
	case rates[5] > pageRate && rates[60] > pageRate:
		l.Alert = "page"
	case rates[30] > ticketRate && rates[360] > ticketRate:
		l.Alert = "ticket"
	}
	return l
}

// reportWindow sums the buckets of a window. The rate is 0 without jobs or without
// an error budget.
func reportWindow(series crankstate.BurnSeries, p crank.Profile, now time.Time, minutes int) crankapi.BurnWindow {
	w := crankapi.BurnWindow{Minutes: minutes}
	oldest := now.Unix()/60 - int64(minutes)
	for _, b := range series.Buckets {
		if b.Minute > oldest {
			w.Total += b.Total
			w.Missed += b.Missed
		}
	}
	if w.Total > 0 && p.Objective < 1 {
		w.Rate = float64(w.Missed) / float64(w.Total) / (1 - p.Objective)
	}
	return w
}
