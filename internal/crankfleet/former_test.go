package crankfleet

import (
	"testing"
	"testing/synctest"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

func TestFormerLeasesAreDatedByWorkersClocks(t *testing.T) {
	now := time.Now()
	const bound = 8 * time.Second
	f := FormerLeases{}.WithContact(now, bound, []crank.WorkerClock{{Incarnation: "w1/7", Ms: 1000}, {Incarnation: "w2/7", Ms: 5000}})
	for _, v := range []struct {
		name    string
		leases  FormerLeases
		reading crank.WorkerClock
		want    time.Duration // until the end
	}{
		{"passed", f, crank.WorkerClock{Incarnation: "w2/7", Ms: 11000}, 2 * time.Second},
		{"later incarnation", f, crank.WorkerClock{Incarnation: "w2/8", Ms: 11000}, bound},
		{"without a reading", f, crank.WorkerClock{Incarnation: "w3/7", Ms: 11000}, bound},
		{"clock went back", f, crank.WorkerClock{Incarnation: "w1/7", Ms: 900}, bound},
		{"others last longer", f.WithOther(now.Add(5 * time.Second)), crank.WorkerClock{Incarnation: "w1/7", Ms: 9000}, 5 * time.Second},
		{"over", f, crank.WorkerClock{Incarnation: "w1/7", Ms: 60_000}, bound - 59*time.Second},
	} {
		t.Run(v.name, func(t *testing.T) {
			is := is.New(t)
			dated := v.leases.WithReading(v.reading, now)
			is.Equal(dated.End.Sub(now), v.want)
			is.Equal(dated.WithReading(crank.WorkerClock{Incarnation: "w1/7", Ms: 1000}, now).End, dated.End) // never later again
		})
	}
}

// An instance that was suspended after it had read a worker's clock took less time for passed
// than had, so that its successor waited too short.
func TestClockReadingIncludesSuspensions(t *testing.T) {
	is := is.New(t)
	uptime := 10 * time.Second
	k := NewLeaseKeeper(LeaseKeeperConfig{Uptime: func() time.Duration { return uptime }})
	_, ok := k.Clock()
	is.True(!ok)
	k.noteClock(1000, uptime, time.Now())
	uptime += 5 * time.Second // the steady clock stood still
	ms, ok := k.Clock()
	is.True(ok)
	is.True(ms >= 6000)
}

// A reading that a renewal waited for was taken for one made as it was sent, up to 1.5 s too late,
// so that the limits of leases beside it counted for too long.
func TestClockReadingIsAsCloseAsTheBestAnswer(t *testing.T) {
	is := is.New(t)
	uptime := 10 * time.Second
	k := NewLeaseKeeper(LeaseKeeperConfig{Uptime: func() time.Duration { return uptime }})
	k.noteClock(1000, uptime, time.Now())
	k.noteClock(2500, uptime, time.Now()) // after a wait of 1.5 s
	uptime += 1500 * time.Millisecond
	ms, ok := k.Clock()
	is.True(ok)
	is.True(ms >= 2500 && ms < 2510)
}

// The first deadline after a long time without an answer outlasted the bound at a worker whose
// clock is slow.
func TestDeadlineAfterALongSilenceKeepsTheBound(t *testing.T) {
	const limit = 8 * time.Second
	slow := 0.98 // of the rate of time
	for _, silence := range []time.Duration{2 * time.Second, 10 * time.Second, time.Minute, 5 * time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			k := NewLeaseKeeper(LeaseKeeperConfig{Limit: func() time.Duration { return limit }})
			k.workerClock, k.clockRead = 1000, time.Now()
			time.Sleep(silence)
			clock := 1000 + int64(slow*float64(silence.Milliseconds()))
			lease := time.Duration(k.DeadlineAfter(10*time.Second)-clock) * time.Millisecond
			is.New(t).True(time.Duration(float64(lease)/slow) <= time.Duration(float64(limit)/slow))
		})
	}
}
