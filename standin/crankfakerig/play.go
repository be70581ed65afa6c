package crankfakerig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakemachine"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
)

// play applies the plan, each disturbance on its own.
func (r *Rig) play(ctx context.Context) {
	for _, d := range r.Plan {
		if sleep(ctx, time.Until(r.begun.Add(d.At))) != nil {
			return
		}
		r.playing.Go(func() {
			r.mu.Lock()
			r.disturbed++
			r.mu.Unlock()
			if err := r.disturb(ctx, d); err != nil {
				r.noteFault("%s: %v", d, err)
			}
			r.mu.Lock()
			r.disturbed--
			r.disturbedAt = time.Now()
			r.mu.Unlock()
		})
	}
}

func (r *Rig) logPlay(d crankfakeplan.Disturbance, what string, names []string) {
	fmt.Fprintf(r.playFile, "%s +%s %s %s for=%s how=%s way=%s store=%s from=%v targets=%v\n", time.Now().UTC().Format("15:04:05.000"), r.age(), what, d.Kind, d.For, d.How, d.Way, d.Store, d.From, names)
}

func (r *Rig) disturb(ctx context.Context, d crankfakeplan.Disturbance) error {
	var names []string
	var ends []func() error
	switch d.Kind {
	case crankfakeplan.Drain, crankfakeplan.Take, crankfakeplan.Remove, crankfakeplan.Silence, crankfakeplan.CutOff,
		crankfakeplan.LateCall, crankfakeplan.LoseCall, crankfakeplan.Unwell,
		crankfakeplan.Fail, crankfakeplan.Slow, crankfakeplan.Pretend, crankfakeplan.Flap:
		length := d.For
		if d.Kind == crankfakeplan.Drain {
			length = r.Site.Bounds.DrainTime + time.Second
		}
		byName := make(map[string]*crankfakemachine.Machine)
		var all []string
		for _, m := range r.machines {
			byName[m.Name] = m
			all = append(all, m.Name)
		}
		names = r.resolve(ctx, d.Targets, all, func(n string) string { return byName[n].Entry.Zone })
		hosts, reached := r.hostsOf(ctx, d.From)
		if !reached {
			r.logPlay(d, "skip", names)
			return nil
		}
		ends, err := disturbAll(names, func(n string) (func() error, error) { return byName[n].Disturb(d, hosts...) })
		if err != nil {
			return err
		}
		return r.awaitEnd(ctx, d, length, names, ends)
	case crankfakeplan.Evacuate:
		for _, z := range d.Targets {
			r.store.Put(crank.OperatorTopic, "evacuate/"+z, []byte("{}"))
			ends = append(ends, func() error { r.store.Put(crank.OperatorTopic, "evacuate/"+z, nil); return nil })
		}
	case crankfakeplan.SlowStore:
		for _, i := range r.instances {
			i.Store().SetDelay(60 * crankfakeinstance.StoreDelay)
			ends = append(ends, func() error { i.Store().SetDelay(crankfakeinstance.StoreDelay); return nil })
		}
	case crankfakeplan.DownStore:
		r.setStoreDown(true)
		ends = append(ends, func() error { r.setStoreDown(false); return nil })
		for _, i := range r.instances {
			if err := i.Store().SetMode(crankfakenet.Mode(d.How)); err != nil {
				return err
			}
			ends = append(ends, i.Reconnect)
		}
	case crankfakeplan.Compact:
		r.store.Compact()
	case crankfakeplan.Configure:
		r.operator.publish()
	case crankfakeplan.Withdraw:
		r.operator.withdraw(ctx)
	case crankfakeplan.Crowd:
		return r.playCrowd(ctx, d)
	default:
		return r.disturbInstances(ctx, d)
	}
	return r.awaitEnd(ctx, d, d.For, names, ends)
}

// hostsOf returns the hosts of instances, none for all. It returns false if nobody is meant.
func (r *Rig) hostsOf(ctx context.Context, instances []string) (hosts []int, ok bool) {
	if len(instances) == 0 {
		return nil, true
	}
	for _, name := range r.resolveInstances(ctx, instances) {
		hosts = append(hosts, r.instance(name).Host)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts), len(hosts) > 0
}

func (r *Rig) resolveInstances(ctx context.Context, targets []string) []string {
	var all []string
	for _, i := range r.instances {
		all = append(all, i.Name)
	}
	return r.resolve(ctx, targets, all, func(n string) string { return r.instance(n).Zone })
}

// disturbAll disturbs all targets at once and returns what ends it.
func disturbAll(names []string, disturb func(name string) (end func() error, err error)) (ends []func() error, err error) {
	type result struct {
		end func() error
		err error
	}
	results := make(chan result, len(names))
	for _, n := range names {
		go func() {
			end, err := disturb(n)
			results <- result{end, err}
		}()
	}
	for range names {
		r := <-results
		if r.end != nil {
			ends = append(ends, r.end)
		}
		err = errors.Join(err, r.err)
	}
	return ends, err
}

// awaitEnd ends a disturbance in its time.
func (r *Rig) awaitEnd(ctx context.Context, d crankfakeplan.Disturbance, length time.Duration, names []string, ends []func() error) error {
	r.logPlay(d, "begin", names)
	if len(ends) == 0 {
		return nil
	}
	if sleep(ctx, length) != nil {
		return nil
	}
	return r.end(d, names, ends)
}

// end ends a disturbance of all its targets at once.
func (r *Rig) end(d crankfakeplan.Disturbance, names []string, ends []func() error) error {
	results := make(chan error, len(ends))
	for _, end := range ends {
		go func() { results <- end() }()
	}
	for range ends {
		if err := <-results; err != nil {
			return err
		}
	}
	r.logPlay(d, "end", names)
	return nil
}

func (r *Rig) setStoreDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDown = down
}

func (r *Rig) disturbInstances(ctx context.Context, d crankfakeplan.Disturbance) error {
	names := r.resolveInstances(ctx, d.Targets)
	var hit []string
	var ends []func() error
	for _, n := range names {
		i := r.instance(n)
		end, err := i.Disturb(d)
		if err != nil {
			return err
		}
		if end != nil {
			hit = append(hit, n)
			ends = append(ends, end)
		}
	}
	if d.Kind == crankfakeplan.Terminate {
		r.logPlay(d, "begin", hit)
		return r.end(d, hit, ends)
	}
	return r.awaitEnd(ctx, d, d.For, hit, ends)
}
