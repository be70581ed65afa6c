package crankestimate

import (
	"math"
	"slices"
	"time"
)

// Distribution is what is known of a time. The zero value is that of a time of 0.
type Distribution struct {
	bins []bin // by value
}

// bin is a share of a distribution.
type bin struct {
	value  float64 // seconds, or a factor
	weight float64
}

// Parameters of what is left of a run.
const (
	// rateWeight is the progress in percent at which the rate of a run counts as much as what
	// its class leads to expect. Readings are whole numbers and up to a renewal old.
	rateWeight = 10
	// overrunShare is what is expected to be left, as a share of the time that a run took so
	// far, once it took longer than anything known.
	overrunShare = 0.2
	maxSeconds   = 1e9 // longer times may not fit into a time.Duration
)

func pointDistribution(value float64) Distribution {
	if value <= 0 {
		return Distribution{}
	}
	return Distribution{[]bin{{value, 1}}}
}

// Quantile returns the time that is not exceeded with probability q.
func (d Distribution) Quantile(q float64) time.Duration {
	return time.Duration(math.Round(min(d.quantile(q), maxSeconds) * float64(time.Second)))
}

func (d Distribution) quantile(q float64) float64 {
	if len(d.bins) == 0 {
		return 0
	}
	rank := min(max(q, 0), 1) * d.weight()
	for _, b := range d.bins {
		if rank -= b.weight; rank <= 1e-9 {
			return b.value
		}
	}
	return d.bins[len(d.bins)-1].value
}

// After returns what is left of a time once some of it has passed.
func (d Distribution) After(passed time.Duration) Distribution { return d.exceeding(passed.Seconds()) }

// Scaled returns the distribution of the time multiplied by a factor.
func (d Distribution) Scaled(factor float64) Distribution { return d.scaled(factor) }

func (d Distribution) weight() float64 {
	sum := 0.0
	for _, b := range d.bins {
		sum += b.weight
	}
	return sum
}

func (d Distribution) scaled(factor float64) Distribution {
	bins := slices.Clone(d.bins)
	for i := range bins {
		bins[i].value *= factor
	}
	return Distribution{bins}
}

// spread returns the ratio of the 90 % to the 10 % quantile, as a logarithm.
func (d Distribution) spread() float64 {
	if len(d.bins) == 0 {
		return math.Inf(1)
	}
	return math.Log(d.quantile(0.9) / d.quantile(0.1))
}

// exceeding returns what is left of a time that is known to be longer than some part.
func (d Distribution) exceeding(passed float64) Distribution {
	if passed <= 0 || len(d.bins) == 0 {
		return d
	}
	var bins []bin
	for _, b := range d.bins {
		if b.value > passed {
			bins = append(bins, bin{b.value - passed, b.weight})
		}
	}
	if len(bins) == 0 {
		return pointDistribution(overrunShare * passed)
	}
	return Distribution{bins}
}

// Left returns what is left of a run with this total time, see Model.Left. The more of it is
// done, the more its own rate counts.
func (d Distribution) Left(elapsed time.Duration, percent float64) Distribution {
	return d.left(elapsed.Seconds(), min(percent, 100))
}

func (d Distribution) left(elapsed, percent float64) Distribution {
	switch {
	case percent <= 0:
		return d.exceeding(elapsed)
	case elapsed <= 0:
		return d.scaled(1 - percent/100)
	}
	byRate := elapsed * (100 - percent) / percent
	if len(d.bins) == 0 {
		return pointDistribution(byRate)
	}
	rest, trust := d.exceeding(elapsed).scaled(1), percent/(percent+rateWeight)
	for i := range rest.bins {
		rest.bins[i].value = (1-trust)*rest.bins[i].value + trust*byRate
	}
	return rest
}
