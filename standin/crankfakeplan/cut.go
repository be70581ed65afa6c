package crankfakeplan

import "time"

// Shares of the cut-offs.
const (
	partialShare = 0.3 // that some instances don't notice
	keptShare    = 0.5 // whose workers reach the store
)

// Lengths of gaps in which nothing listens, much shorter than a heartbeat.
const (
	shortestGap = 0.1 // s
	longestGap  = 0.5
)

// outOfReach draws ways in which workers that live and work on are out of reach: alone,
// in a series, or together with something else.
func (d *drawer) outOfReach(at time.Duration, workers []string) {
	switch d.rng.IntN(9) {
	case 0, 1:
		d.cutAlive(at, workers)
	case 2:
		for range 3 {
			d.cutAlive(at, workers)
			at += d.seconds(2, 5)
		}
	case 3:
		for range 2 + d.rng.IntN(3) {
			d.cut(at, d.seconds(shortestGap, longestGap), BackAlive, WayRefuse, workers)
			at += d.seconds(0.6, 2)
		}
	case 4:
		d.cutAlive(at, workers)
		d.add(at+d.seconds(0.2, 2.5), d.kindOfLoss(), d.seconds(1, 3), "", "leader")
	case 5:
		d.cutAlive(at, workers)
		d.add(at+d.seconds(0, 2), Pause, d.seconds(1, 6), "", "leader")
	case 6:
		d.cutAlive(at, workers)
		d.add(at+d.seconds(-1, 1.5), DownStore, d.seconds(1.5, 5), d.pick(addressWays...))
	case 7:
		d.add(at, Drain, 0, "", workers...)
		d.cutAlive(at+d.seconds(0.3, 2), workers)
	case 8:
		d.add(at, Drain, 0, "", workers...)
		d.cutAlive(at+d.seconds(0.3, 1.5), workers)
		d.add(at+d.seconds(0.5, 2), DownStore, d.seconds(1.5, 4), d.pick(addressWays...))
		d.add(at+d.seconds(1, 3), d.kindOfLoss(), d.seconds(1, 3), "", "leader")
	}
}

// cutAlive draws a cut-off of any way.
func (d *drawer) cutAlive(at time.Duration, workers []string) {
	way := d.pick(cutOffWays...)
	length := d.seconds(2, 9)
	if way == WayLate { // callers wait for their answers for a short time
		length = d.seconds(0.3, 3)
	}
	d.cut(at, length, BackAlive, way, workers)
}

// cut draws the rest of a cut-off.
func (d *drawer) cut(at, length time.Duration, how, way string, workers []string) {
	c := Disturbance{At: at, Kind: CutOff, Targets: workers, For: length, How: how, Way: way, Store: StoreCut}
	if d.chance(keptShare) {
		c.Store = StoreKept
	}
	if !c.IsMove() && d.chance(partialShare) {
		c.From = []string{"leader"}
		if d.chance(0.5) {
			c.From = d.share(d.Instances, 0.5)
		}
	}
	d.plan = append(d.plan, c)
}

func (d *drawer) chance(share float64) bool { return d.rng.Float64() < share }

// askingMargin is the time from outages of the store to the moment when all are asked for.
const askingMargin = time.Second

// spareAsking ends outages in which the store answers at once that it is away before all
// jobs are asked for: callers would be refused as quickly as they repeat their call.
func (d *drawer) spareAsking() {
	if d.Asked == 0 {
		return
	}
	for n := range d.plan {
		p := &d.plan[n]
		if p.Kind == DownStore && (p.How == WayRefuse || p.How == WayReset) {
			p.At = min(p.At, d.Asked-2*askingMargin)
			p.For = min(p.For, d.Asked-askingMargin-p.At)
		}
	}
}
