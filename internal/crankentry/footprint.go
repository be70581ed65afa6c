package crankentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfeed"
	"cranberrycrank/internal/crankfootprint"
	"cranberrycrank/internal/crankjobs"
)

// footprintPeriod is the time between the leader's checks of whether it can carry the fleet.
const footprintPeriod = 2 * time.Second

func (e *Entry) resources() crankfootprint.Resources {
	return crankfootprint.Resources{Descriptors: e.Descriptors, MemoryMiB: e.MemoryMiB, LinkMbps: e.LinkMbps, ProcessorShare: e.ProcessorShare}
}

// fleet returns the size of the fleet: at the leader by the worker list, at others by the
// leader's heartbeat, or by the roster if the heartbeat does not tell.
func (e *Entry) fleet() crankfootprint.Fleet {
	f := crankfootprint.Fleet{Workers: e.elector.Workers(), Instances: e.instanceCount(), Adaptive: e.Planning.Adaptive}
	if n, ok := e.ledWorkers(); ok {
		f.Workers = n
	}
	if f.Workers == 0 {
		f.Workers = len(e.jobs.View().State.Roster.Incarnations)
	}
	return f
}

// ledWorkers returns the number of workers that this instance leads, and whether it is known.
func (e *Entry) ledWorkers() (int, bool) {
	s := e.scheduler.Load()
	if s == nil {
		return 0, false
	}
	return s.FleetSize()
}

// others returns the other instances and what they have announced.
func (e *Entry) others() ([]crankjobs.Announcement, []crankfootprint.Resources) {
	live, _ := e.jobs.View().State.Instances(time.Now())
	live = slices.DeleteFunc(live, func(a crankjobs.Announcement) bool { return a.ID == e.Instance })
	resources := make([]crankfootprint.Resources, len(live))
	for i, a := range live {
		resources[i] = crankfootprint.Resources{Descriptors: a.Descriptors, MemoryMiB: a.MemoryMiB, LinkMbps: a.LinkMbps, ProcessorShare: a.ProcessorShare}
	}
	return live, resources
}

// claimDelay returns for how long more able instances may claim a term first.
func (e *Entry) claimDelay() time.Duration {
	_, resources := e.others()
	return crankfootprint.ClaimDelay(e.resources(), e.fleet(), resources, e.jobs.View().End > 0)
}

// watchFootprint logs while this leader can't carry the fleet well, and gives the term up if
// an able instance can take it, until the context ends.
func (e *Entry) watchFootprint(ctx context.Context, yield func(reason string) bool) {
	last := crankfootprint.Able
	gauge := e.Scope.Gauge("leader_lacks")
	defer gauge.Update(0)
	for ctx.Err() == nil {
		fleet := e.fleet()
		v := crankfootprint.Judge(e.resources(), fleet)
		if v.Ability != last {
			e.Logger.Warn("lead: ability to carry the fleet", "ability", v.Ability, "lacks", v.Lacks, "workers", fleet.Workers, "instances", fleet.Instances)
			last = v.Ability
		}
		gauge.Update(max(0, 1-v.Share))
		live, resources := e.others()
		if able, reason := crankfootprint.Successors(e.resources(), fleet, resources); len(able) > 0 {
			if a := live[able[rand.IntN(len(able))]]; e.reachesStore(ctx, a) {
				yield(reason + "; " + a.ID + " can")
			}
		}
		crankfeed.Sleep(ctx, footprintPeriod)
	}
}

// reachesStore reports whether another instance is alive and could claim a term. One that has
// ended may be announced still.
func (e *Entry) reachesStore(ctx context.Context, a crankjobs.Announcement) bool {
	callCtx, cancel := context.WithTimeout(ctx, footprintPeriod)
	defer cancel()
	_, err := e.Peers.StorePeer(a.Addr, a.Key).Newest(callCtx, crank.TermTopic)
	return err == nil
}
