package crankrelay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Load pattern: the store refuses all calls for ten seconds, and each instance has a
// caller that repeats its call every ten milliseconds. The instances together must not
// make more calls than one a millisecond, whatever their number.
func TestRefusedCallsAreNotRepeatedByAllInstances(t *testing.T) {
	for _, instances := range []int{100, 300} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			for range instances {
				go func() {
					var c circuit
					for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
						interval := probeInterval(instances)
						if c.allow(time.Now(), interval) {
							calls.Add(1)
							c.record(true, time.Now(), interval)
						}
					}
				}()
				synctest.Wait()
			}
			time.Sleep(11 * time.Second)
			is.True(calls.Load() < 1.5*10_000)
			is.True(calls.Load() > 10_000/2)
		})
	}
}

func TestCircuitClosesWithTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var c circuit
	is.True(c.record(true, now, time.Second))
	is.True(!c.allow(now.Add(500*time.Millisecond), time.Second))
	is.True(c.allow(now.Add(time.Second), time.Second))
	is.True(!c.allow(now.Add(time.Second), time.Second)) // one probe at a time
	is.True(c.record(false, now.Add(time.Second), time.Second))
	is.True(c.allow(now.Add(time.Second), time.Second))
}

func TestHedgesFollowTheUsualAnswerTime(t *testing.T) {
	is := is.New(t)
	var a answerTime
	is.Equal(a.hedge(), hedgeDelay)
	for range 50 {
		a.add(300 * time.Millisecond)
	}
	is.True(a.hedge() > 800*time.Millisecond)
	for range 50 {
		a.add(5 * time.Second)
	}
	is.Equal(a.hedge(), maxHedgeDelay)
	for range 50 {
		a.add(4 * time.Millisecond)
	}
	is.Equal(a.hedge(), hedgeDelay)
}
