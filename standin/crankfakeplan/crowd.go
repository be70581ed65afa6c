package crankfakeplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cranberrycrank/standin/crankfakecrowd"
)

// maxCrowd bounds the connections of a crowd at one instance, which all are in the
// process of the rig.
const maxCrowd = 2000

// checkCrowd returns an error for values that only a crowd has, or that a crowd lacks.
func (d Disturbance) checkCrowd() error {
	if d.Kind != Crowd {
		if d.Pattern != "" || d.Connections != 0 {
			return fmt.Errorf("%s has no pattern and no connections", d.Kind)
		}
		return nil
	}
	if !slices.Contains(crankfakecrowd.Patterns, d.Pattern) {
		return fmt.Errorf("%s has no pattern=%s; known: %v", d.Kind, d.Pattern, crankfakecrowd.Patterns)
	}
	if d.Connections < 1 || d.Connections > maxCrowd {
		return fmt.Errorf("%s requires connections=1 to %d", d.Kind, maxCrowd)
	}
	if d.For <= 0 {
		return fmt.Errorf("%s requires for=TIME", d.Kind)
	}
	return nil
}

// Drawn crowds.
const (
	crowdShare       = 0.4 // of the plans that have one
	crowdTargets     = 0.1 // of the instances
	crowdConnections = 150
)

// crowd draws at most one crowd. It has a source of its own: the other disturbances of a
// seed stay what they were before there were crowds.
func (d *drawer) crowd(seed uint64) {
	own := &drawer{Scope: d.Scope, rng: rand.New(rand.NewPCG(seed, 3))}
	if !own.chance(crowdShare) || len(d.Instances) == 0 {
		return
	}
	d.plan = append(d.plan, Disturbance{
		At: own.between(time.Second, d.Traffic-8*time.Second), Kind: Crowd, Targets: own.share(d.Instances, crowdTargets), For: own.seconds(2, 5),
		Pattern: crankfakecrowd.Patterns[own.rng.IntN(len(crankfakecrowd.Patterns))], Connections: crowdConnections,
	})
}
