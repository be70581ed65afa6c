package crankfakewatch

import (
	"testing"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
)

func TestGangThatWaitedInVainIsAViolation(t *testing.T) {
	calm, disturbed, cancelled := newWatch(10), newWatch(10), newWatch(10)
	disturbed.Config.Calm = func() bool { return false }
	cancelled.Cancelling("a")
	for name, c := range map[string]struct {
		watch *Watch
		want  int
	}{"calm": {calm, 1}, "disturbed": {disturbed, 0}, "cancelled": {cancelled, 0}} {
		c.watch.event(0, crankfakefleet.EventStarted, 0, "")
		c.watch.event(4, crankfakefleet.EventEnded, 0, crank.EndGangTimeout)
		if v := c.watch.Violations(); len(v) != c.want {
			t.Errorf("%s: violations %q; want %d", name, v, c.want)
		}
	}
}
