package crankfakeplan

import "time"

// Closing times of a day's disturbances, which all end about the end of its main traffic.
const (
	lastBegin = 500 * time.Millisecond // before the end
	lastEnd   = 2 * time.Second        // after it
	closeSpan = 7 * time.Second
)

// day draws the plan of a site whose traffic goes on after the last disturbance.
func (d *drawer) day() Plan {
	for range 4 + d.rng.IntN(5) {
		d.anyTime(d.between(time.Second, d.Traffic-8*time.Second))
	}
	for range 1 + d.rng.IntN(3) {
		d.anyTime(d.between(d.Traffic-8*time.Second, d.Traffic))
	}
	d.closingAt(d.between(d.Traffic-closeSpan, d.Traffic-lastBegin))
	for n := range d.plan {
		p := &d.plan[n]
		p.At = max(0, min(p.At, d.Traffic-lastBegin))
		p.For = min(p.For, d.Traffic+lastEnd-p.At)
	}
	d.plan.sort()
	return d.plan
}

// anyTime draws one of the common disturbances, or one of workers that are up but unfit.
func (d *drawer) anyTime(at time.Duration) {
	switch d.rng.IntN(5) {
	case 0:
		d.unfit(at)
	default:
		d.common(at)
	}
}

func (d *drawer) unfit(at time.Duration) {
	switch d.rng.IntN(4) {
	case 0:
		d.add(at, Fail, d.seconds(4, 7), d.pick(FailAll, FailSome), d.share(d.Workers, 0.085)...)
	case 1:
		d.add(at, Slow, d.seconds(4, 7), "", d.share(d.Workers, 0.14)...)
	case 2:
		d.add(at, Pretend, d.seconds(4, 7), "", d.share(d.Workers, 0.1)...)
	case 3:
		d.add(at, Flap, d.seconds(5, 8), "", d.share(d.Workers, 0.1)...)
	}
}
