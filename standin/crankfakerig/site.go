package crankfakerig

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakemachine"
	"cranberrycrank/standin/crankfakenet"
	"cranberrycrank/standin/crankfakeplan"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakereport"
	"cranberrycrank/standin/crankfakesite"
)

func (r *Rig) addInstance(z crankfakesite.Zone, n int, size string) error {
	host := len(r.instances) % crankfakenet.Hosts
	addresses := crankfakeplatform.Addresses{Worker: func(known string) string { return crankfakenet.AtHost(known, host) }}
	if r.Plan.Has(crankfakeplan.CutPeers) {
		addresses.Peer = r.peerAddr
	}
	i, err := crankfakeinstance.Start(crankfakeinstance.Config{
		Name: instanceName(z, n), Zone: z.Name, Size: r.Site.Sizes[size], Bounds: r.Site.Bounds, Binary: r.Binary,
		Directory: r.Directory, Ports: r.ports, Store: crankfakeplatform.StoreHandlerWithAddresses(r.store, addresses), Host: host,
		FrontPeers: addresses.Peer != nil, Ended: r.ended,
	})
	if i != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.instances = append(r.instances, i)
	}
	return err
}

// peerAddr returns the address at which instances call another one.
func (r *Rig) peerAddr(known string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		if addr, ok := i.PeerAddr(known); ok {
			return addr, true
		}
	}
	return "", false
}

// ended takes the end of a process that no disturbance caused.
func (r *Rig) ended(name string, e crankfakeinstance.End) {
	if e == crankfakeinstance.EndPortTaken {
		r.noteFault("instance %s %s", name, e)
		return
	}
	r.violate("instance %s %s", name, e)
}

func (r *Rig) addMachine(z crankfakesite.Zone, n int) error {
	entry := r.Site.Entry(z, n)
	entry.Pool = pool
	m, err := crankfakemachine.Start(crankfakemachine.Config{
		Name: machineName(z, n), Heartbeat: r.Site.Bounds.Heartbeat, Fleet: r.fleet, Dialer: r.dialer, Store: r.store,
		Entry: entry, Ports: r.ports, SetFault: r.setFault, SetFailing: r.setFailing, Plants: r.plants,
	})
	if err != nil {
		return err
	}
	r.machines = append(r.machines, m)
	return nil
}

// machineOf returns the name of the machine of a worker.
func machineOf(worker string) string {
	return worker[:max(0, strings.LastIndexByte(worker, '-'))]
}

func (r *Rig) failingShare(worker string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing[worker]
}

func (r *Rig) setFailing(worker string, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing[worker] = share
}

func (r *Rig) setFault(worker string, f crankfakefleet.Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[worker] = f
}

// beat has the workers write their heartbeats while the store is up.
func (r *Rig) beat(ctx context.Context) {
	for sleep(ctx, r.Site.Bounds.Heartbeat/time.Duration(len(r.machines))) == nil {
		r.mu.Lock()
		down := r.storeDown
		r.mu.Unlock()
		for _, m := range r.machines {
			if !down {
				m.Beat()
			}
		}
	}
}

// schedulable returns the workers that take tasks.
func (r *Rig) schedulable() []crankfakefleet.WorkerState {
	serving := make(map[string]bool)
	for _, m := range r.machines {
		if e, serves := m.Current(); serves {
			serving[e.ID] = true
		}
	}
	return slices.DeleteFunc(r.fleet.Workers(), func(s crankfakefleet.WorkerState) bool { return !serving[s.Entry.ID] })
}

const (
	probePeriod  = time.Second
	probeTimeout = 500 * time.Millisecond
)

// probe asks all instances for their readiness.
func (r *Rig) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeTimeout}
	for ctx.Err() == nil {
		for _, i := range r.instances {
			go i.Probe(client)
		}
		_ = sleep(ctx, probePeriod)
	}
}

// leader returns the name of the instance that claimed the newest term.
func (r *Rig) leader() string {
	for _, rec := range r.store.Newest(crank.TermTopic) {
		if rec.Key != "term" {
			continue
		}
		var term struct{ Holder string }
		if json.Unmarshal(rec.Value, &term) == nil {
			name, _, _ := strings.Cut(term.Holder, "/")
			return name
		}
	}
	return ""
}

// leaderTimeout is how long a disturbance of the leader waits for one that is up.
const leaderTimeout = 4 * time.Second

func (r *Rig) awaitLeader(ctx context.Context) string {
	for until := time.Now().Add(leaderTimeout); time.Now().Before(until) && ctx.Err() == nil; {
		if i := r.instance(r.leader()); i != nil && !i.IsDown() {
			return i.Name
		}
		_ = sleep(ctx, tickPeriod)
	}
	return ""
}

func (r *Rig) instance(name string) *crankfakeinstance.Instance {
	for _, i := range r.instances {
		if i.Name == name {
			return i
		}
	}
	return nil
}

func (r *Rig) report(asked time.Time) crankfakereport.Report {
	report := crankfakereport.New(r.watch, r.begun, asked, r.Site.Bounds.StillTime)
	inFleet := r.fleet.Violations() // its lock is taken before that of the rig
	r.mu.Lock()
	defer r.mu.Unlock()
	report.Seed, report.RigFaults = r.Seed, slices.Clone(r.rigFaults)
	report.Violations = slices.Concat(r.violations, report.Violations, inFleet)
	return report
}
