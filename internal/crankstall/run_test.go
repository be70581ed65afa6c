package crankstall

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A gang with one member at a worker whose tasks stand still counted as making progress until
// all other members had done their work.
func TestStalled(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name            string
		run             Run
		standard, early bool
	}{
		{"urgent run moves", Run{Urgent: true, Expected: 2500 * ms, Still: 400 * ms, GangStill: 400 * ms, Waited: 1900 * ms}, false, false},
		{"urgent run stands", Run{Urgent: true, Expected: 2500 * ms, Still: 1000 * ms, GangStill: 1000 * ms, Waited: 1000 * ms}, false, true},
		{"urgent run that takes long", Run{Urgent: true, Expected: 7 * time.Second, Still: 2000 * ms, GangStill: 2000 * ms, Waited: 2000 * ms}, false, false},
		{"urgent run in two reports of one state", Run{Urgent: true, Expected: 2500 * ms, Waited: 1500 * ms}, false, false},
		{"member in two reports of one state", Run{Urgent: true, Expected: 2500 * ms, Waited: 1500 * ms, PeersAhead: 54}, false, false},
		{"patient run", Run{Expected: 2500 * ms, Still: 2400 * ms, GangStill: 2400 * ms, Waited: 2400 * ms}, false, false},
		{"patient run stands", Run{Expected: 2500 * ms, Still: 2500 * ms, GangStill: 2500 * ms, Waited: 2500 * ms}, true, true},
		{"member is left behind", Run{Expected: 4 * time.Second, Still: 1500 * ms, GangStill: 100 * ms, PeersAhead: 25}, false, true},
		{"member of a gang that moves slowly", Run{Expected: 11 * time.Second, Still: 1500 * ms, GangStill: 100 * ms, PeersAhead: 12}, false, false},
		{"member whose peers hardly move", Run{Expected: 4 * time.Second, Still: 2400 * ms, GangStill: 100 * ms, PeersAhead: 3}, false, false},
		{"patient run stands after a stall", Run{Expected: 2500 * ms, Still: 2500 * ms, GangStill: 2500 * ms, Waited: 2500 * ms, Stalls: 1}, true, true},
		{"patient run after two stalls", Run{Expected: 2500 * ms, Still: 4900 * ms, GangStill: 4900 * ms, Waited: 4900 * ms, Stalls: 2}, false, false},
		{"patient run stands after two stalls", Run{Expected: 2500 * ms, Still: 5000 * ms, GangStill: 5000 * ms, Waited: 5000 * ms, Stalls: 2}, true, true},
		{"urgent run after two stalls", Run{Urgent: true, Expected: 2500 * ms, Still: 1900 * ms, GangStill: 1900 * ms, Waited: 1900 * ms, Stalls: 2}, false, false},
		{"urgent run stands after two stalls", Run{Urgent: true, Expected: 2500 * ms, Still: 2000 * ms, GangStill: 2000 * ms, Waited: 2000 * ms, Stalls: 2}, false, true},
		{"run stands after many stalls", Run{Expected: 2500 * ms, Still: 160 * time.Second, GangStill: 160 * time.Second, Waited: 160 * time.Second, Stalls: 90}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.run.Stalled(), c.standard)
			is.Equal(c.run.StalledEarly(), c.early)
		})
	}
}
