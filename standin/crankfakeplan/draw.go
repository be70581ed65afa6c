package crankfakeplan

import (
	"math/rand/v2"
	"time"
)

// Scope is what a plan is drawn for.
type Scope struct {
	Instances []string
	Workers   []string
	Zones     []string
	Traffic   time.Duration // its length
	Recovery  time.Duration // in which the traffic goes on after the last disturbance; if 0, disturbances follow the traffic
	Asked     time.Duration // when all jobs are asked for, after the start of the traffic; 0 for never
}

// Draw draws the plan of a seed: disturbances that overlap all through the traffic,
// then a series around its end.
func Draw(s Scope, seed uint64) Plan {
	d := &drawer{Scope: s, rng: rand.New(rand.NewPCG(seed, 2))}
	d.crowd(seed)
	if s.Recovery > 0 {
		return d.day()
	}
	for range 4 + d.rng.IntN(5) {
		d.common(d.between(time.Second, s.Traffic-8*time.Second))
	}
	for range 1 + d.rng.IntN(3) {
		d.common(d.between(s.Traffic-8*time.Second, s.Traffic))
	}
	d.closing()
	d.spareAsking()
	d.plan.sort()
	return d.plan
}

type drawer struct {
	Scope
	rng  *rand.Rand
	plan Plan
}

func (d *drawer) between(a, b time.Duration) time.Duration {
	if b <= a {
		return a
	}
	return (a + time.Duration(d.rng.Int64N(int64(b-a)))).Round(time.Millisecond)
}

func (d *drawer) seconds(a, b float64) time.Duration {
	return d.between(time.Duration(a*float64(time.Second)), time.Duration(b*float64(time.Second)))
}

func (d *drawer) add(at time.Duration, k Kind, length time.Duration, how string, targets ...string) {
	d.plan = append(d.plan, Disturbance{At: at, Kind: k, Targets: targets, For: length, How: how})
}

func (d *drawer) share(all []string, share float64) []string {
	n := max(1, int(share*float64(len(all))))
	picked := make([]string, 0, n)
	for _, i := range d.rng.Perm(len(all))[:n] {
		picked = append(picked, all[i])
	}
	return picked
}

func (d *drawer) pick(of ...string) string { return of[d.rng.IntN(len(of))] }

func (d *drawer) zone() string { return "zone:" + d.pick(d.Zones...) }

// common draws one of the disturbances that may come at any time.
func (d *drawer) common(at time.Duration) {
	switch d.rng.IntN(20) {
	case 0:
		d.add(at, LosePower, d.seconds(1, 5), "", d.share(d.Instances, 0.16)...)
	case 1:
		d.add(at, Pause, d.seconds(1, 5), "", d.share(d.Instances, 0.11)...)
	case 2:
		d.add(at, Pause, d.seconds(1, 6), "", "leader")
	case 3:
		d.roll(at, 0.2+0.3*d.rng.Float64(), d.seconds(0.8, 1.6))
	case 4:
		d.add(at, CutStore, d.seconds(2, 8), d.pick(addressWays...), "leader")
	case 5:
		d.add(at, CutStore, d.seconds(3, 9), d.pick(addressWays...), d.share(d.Instances, 0.35)...)
	case 6:
		d.add(at, DownStore, d.seconds(1, 5), d.pick(addressWays...))
	case 7:
		d.add(at, SlowStore, d.seconds(2, 5), "")
	case 8:
		d.add(at, Compact, 0, "")
	case 9, 10:
		d.workers(at, 0.14)
	case 11:
		d.add(at, LateCall, d.seconds(2, 6), "", d.share(d.Workers, 0.055)...)
	case 12:
		d.add(at, LoseCall, d.seconds(2, 6), "", d.share(d.Workers, 0.055)...)
	case 13:
		d.add(at, Unwell, d.seconds(2, 7), "", d.share(d.Workers, 0.085)...)
	case 14:
		d.add(at, Configure, 0, "")
		d.add(at+d.seconds(0.2, 1.5), HangUp, 0, "", d.share(d.Instances, 0.2)...)
	case 15:
		d.add(at, Withdraw, 0, "")
	case 16:
		d.add(at, CutCallers, d.seconds(1, 5), d.pick(callWays...), d.share(d.Instances, 0.2)...)
	case 17:
		d.add(at, CutPeers, d.seconds(1, 6), d.pick(callWays...), d.pick("leader", d.pick(d.Instances...)))
	default:
		d.outOfReach(at, d.share(d.Workers, 0.2))
	}
}

// roll restarts a share of the instances one by one.
func (d *drawer) roll(at time.Duration, share float64, gap time.Duration) {
	for _, name := range d.share(d.Instances, share) {
		d.add(at, Terminate, 0, "", name)
		at += gap
	}
}

// workers draws a disturbance of a share of the workers.
func (d *drawer) workers(at time.Duration, share float64) {
	picked := d.share(d.Workers, share)
	switch d.rng.IntN(11) {
	case 0:
		d.add(at, Drain, 0, "", picked...)
	case 1:
		d.add(at, Take, d.seconds(0.5, 3), d.pick("silent", "refuse"), picked...)
	case 2:
		d.add(at, Remove, 0, d.pick("silent", "refuse"), picked...)
	case 3:
		for range 3 {
			d.add(at, Silence, d.seconds(0.8, 2.5), d.pick(BackSameID, BackNewID), picked...)
			at += d.seconds(3, 5)
		}
	case 4:
		d.add(at, Silence, d.seconds(15, 40), BackNewID, picked...)
	case 5, 6:
		d.cut(at, d.seconds(2, 14), d.pick(BackSameID, BackNewID), d.pick(callWays...), picked)
	default:
		d.outOfReach(at, picked)
	}
}

// closing draws the loss of the leader, of all instances or of a zone within the last
// seconds of the traffic or up to 11 s after it, with workers lost around that moment
// and the store away at times.
func (d *drawer) closing() {
	d.closingAt(d.between(d.Traffic-7*time.Second, d.Traffic+11*time.Second))
}

func (d *drawer) closingAt(at time.Duration) {
	for range 1 + d.rng.IntN(3) {
		d.workers(max(0, at-d.seconds(-2, 5)), 0.02+0.14*d.rng.Float64())
	}
	switch d.rng.IntN(7) {
	case 0:
		d.add(at, LosePower, d.seconds(1, 4), "", "leader")
	case 1:
		d.add(at, LosePower, d.seconds(0.5, 2.5), "", "all")
	case 2:
		d.add(at, Kill, d.seconds(0.3, 1.5), "", "all")
	case 3:
		z := d.zone()
		d.add(at, LosePower, d.seconds(3, 9), "", z)
		d.add(at, LosePower, d.seconds(1, 4), "", "leader")
		d.add(at, Silence, d.seconds(3, 20), BackNewID, z)
	case 4:
		for range 3 {
			d.add(at, d.kindOfLoss(), d.seconds(1, 3), "", "leader")
			at += d.seconds(0.8, 2.2)
		}
	case 5:
		d.roll(max(0, at-6*time.Second), 0.45, d.seconds(0.6, 1.5))
		d.add(at, LosePower, d.seconds(1, 3), "", "leader")
	case 6:
		d.add(at, Pause, d.seconds(2, 7), "", "leader")
		d.add(at+d.seconds(1, 5), d.kindOfLoss(), d.seconds(1, 3), "", "leader")
	}
	if d.rng.IntN(3) == 0 {
		d.add(at+d.seconds(-1, 2), DownStore, d.seconds(1, 4.5), d.pick(addressWays...))
	}
	if d.rng.IntN(3) == 0 {
		d.workers(at+d.seconds(0.5, 5), 0.1)
	}
}

func (d *drawer) kindOfLoss() Kind { return []Kind{LosePower, Kill, Terminate}[d.rng.IntN(3)] }
