package cranksched

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPaceMeterNoticesMissedTicks(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration // between handled ticks
		slow bool
	}{{tick, false}, {2 * tick, false}, {6 * tick, true}, {10 * tick, true}, {2 * time.Second, false}} {
		is := is.New(t)
		var m paceMeter
		now, slow := time.Unix(1000, 0), false
		for end := now.Add(6 * time.Second); now.Before(end); now = now.Add(c.gap) {
			slow = m.tick(now) || slow
		}
		is.Equal(slow, c.slow)
	}
}

// The slower the rounds were, the fewer stalls fell into the meter's period: a planner with
// rounds of 0.4 s placed work every 2 s and kept its term.
func TestPaceMeterNoticesRoundsThatAreFarApart(t *testing.T) {
	for _, c := range []struct {
		round time.Duration
		slow  bool
	}{{2 * tick, false}, {250 * time.Millisecond, true}, {440 * time.Millisecond, true}, {time.Second, true}} {
		is := is.New(t)
		var m paceMeter
		now, slow := time.Unix(1000, 0), false
		next := now
		for end := now.Add(12 * time.Second); now.Before(end); now = now.Add(tick) {
			if !now.Before(next) {
				next = now.Add(roundSpacing * c.round)
				now = now.Add(c.round)
				m.round(c.round)
			}
			slow = m.tick(now) || slow
		}
		is.Equal(slow, c.slow)
	}
}

func TestPaceMeterIgnoresOnePauseInARound(t *testing.T) {
	is := is.New(t)
	var m paceMeter
	now := time.Unix(1000, 0)
	for _, took := range []time.Duration{tick, 3 * time.Second, tick, tick, 3 * time.Second, tick} {
		m.round(took)
		now = now.Add(max(tick, took))
		is.True(!m.tick(now))
	}
}
