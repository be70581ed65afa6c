package crankorder

import "time"

// Contention is an urgent unit that finds no free capacity while lower work runs that could
// be stopped for it. Times are 90 % quantiles.
type Contention struct {
	Slack      time.Duration // until it has to start to meet its objective
	Waited     time.Duration
	Guaranteed bool          // within its workspace's guarantee
	StopTime   time.Duration // that stopping work takes
	FreeIn     time.Duration // until enough capacity becomes free by itself
	VictimCost float64       // Loss.Cost of the cheapest work to stop
	Work       float64       // core-seconds that the unit itself takes
}

const (
	// guaranteedWait is how long a unit within its guarantee waits at most before it preempts.
	// It is less than half of the bound of the guarantee, 2.7 to 2.9 s, so that stopping work,
	// and starting once more after a refusal, still fit in.
	guaranteedWait = 1200 * time.Millisecond
	// riskShare is how much of the unit's own work victims may lose without a wait. One wait
	// of ten is in vain and makes the unit's caller wait too long; a loss well below the unit's
	// own work delays the callers of the victims by less than that.
	riskShare = 0.3
)

// MaxWait returns the longest time until enough capacity is free that is worth a wait, 0 for
// none. If that time turns out longer, the unit can still stop work and be on time.
func (c Contention) MaxWait() time.Duration {
	wait := c.Slack - c.StopTime
	if c.Guaranteed {
		wait = min(wait, guaranteedWait-c.Waited)
	}
	return max(0, wait)
}

// Waits reports whether the unit waits until capacity becomes free by itself. As slack
// shrinks and age grows, a unit that asks again in each round ends its wait in time,
// whatever it is told of FreeIn.
//
// Load pattern: a burst of urgent gangs with 1.3 s of slack meets a pool of surveys without
// checkpoints, some of which end within a second, and stops others that have run for 10 s.
// Unconditional waits of 150 and 400 ms were worse than none.
func (c Contention) Waits() bool {
	wait := c.MaxWait()
	return wait > 0 && c.FreeIn <= wait && c.VictimCost > riskShare*c.Work
}
