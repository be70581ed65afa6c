package cranksched

import "time"

// paceMeter notices a planner that cannot keep up: the loop handles far fewer ticks
// than the ticker sends.
//
// Load pattern: the leader's machine turns several times slower during a burst. Reports,
// orders and submissions queue up there for seconds, while other instances idle.
type paceMeter struct {
	windowStart time.Time
	ticks       int // handled in the window
}

// Thresholds of the meter.
const (
	paceWindow   = 1 * time.Second
	minTickShare = 0.35            // of the ticks in a window; rounds take a fifth of the time
	settlingTime = 3 * time.Second // of a new term, whose start takes more work
)

// tick records a handled tick and reports whether too few were handled in the window
// that it ends.
func (m *paceMeter) tick(now time.Time) (tooSlow bool) {
	if m.windowStart.IsZero() {
		m.windowStart = now
		return false
	}
	m.ticks++
	elapsed := now.Sub(m.windowStart)
	if elapsed < paceWindow {
		return false
	}
	tooSlow = float64(m.ticks) < minTickShare*float64(elapsed/tick)
	m.windowStart, m.ticks = now, 0
	return tooSlow
}

// checkPace gives the term up when this instance is too slow for it.
func (s *Scheduler) checkPace(now time.Time) {
	if s.pace.tick(now) && now.Sub(s.begunAt) > settlingTime && s.Leadership.Yield("this instance is too slow for the planner") {
		s.Scope.Counter("terms_yielded").Inc(1)
	}
}
