package cranksched

import "time"

// paceMeter notices a planner that cannot keep up: its loop stalls again and again, or
// its rounds are so slow that they are far apart and few stalls fall into one period.
//
// Load pattern: the leader's machine turns several times slower during a burst. Reports,
// orders and submissions queue up there for seconds, while other instances idle.
type paceMeter struct {
	last   time.Time   // handled tick
	stalls []time.Time // within stallPeriod

	slowRounds int // in a row
}

// Thresholds of the meter.
const (
	minStall     = 200 * time.Millisecond // between handled ticks
	stallPeriod  = 3 * time.Second
	maxStalls    = 3               // in stallPeriod; a machine that was paused stalls once
	settlingTime = 5 * time.Second // of a new term, whose start takes more work

	maxRoundTime  = 300 * time.Millisecond
	maxSlowRounds = 2 // in a row; a machine that was paused has one
)

// round records how long a planning round took.
func (m *paceMeter) round(took time.Duration) {
	if m.slowRounds++; took <= maxRoundTime {
		m.slowRounds = 0
	}
}

// tick records a handled tick and reports whether the loop has stalled too often.
func (m *paceMeter) tick(now time.Time) (tooSlow bool) {
	gap := now.Sub(m.last)
	stalled := !m.last.IsZero() && gap > minStall
	m.last = now
	if m.slowRounds >= maxSlowRounds {
		return true
	}
	if !stalled {
		return false
	}
	m.stalls = append(m.stalls, now)
	for now.Sub(m.stalls[0]) > stallPeriod {
		m.stalls = m.stalls[1:]
	}
	return len(m.stalls) >= maxStalls
}

// checkPace gives the term up when this instance is too slow for it.
func (s *Scheduler) checkPace(now time.Time) {
	if s.pace.tick(now) && now.Sub(s.begunAt) > settlingTime && s.Leadership.Yield("this instance is too slow for the planner") {
		s.Scope.Counter("terms_yielded").Inc(1)
	}
}
