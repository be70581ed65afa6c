package crankentryproof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"

	"pgregory.net/rapid"
)

// leasePlay is a play of events in which runs are as long as leases.
type leasePlay struct {
	play
	faulty map[string]crankfakefleet.Fault // of all calls to a worker, guarded by cluster.mu
	only   map[string]string               // caller that alone reaches a worker, guarded by cluster.mu
	cuts   map[string]int                  // how often a worker fell silent
}

// leaseEvents maps each kind of event to what it does.
var leaseEvents = map[string]func(p *leasePlay, e event){
	"job is submitted": func(p *leasePlay, e event) { p.submitLongJob(e) },
	"worker is cut off": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		p.cutWorker(id)
		p.expire(id)
		p.later(e.lasts, func() { p.rejoin(id) })
	},
	"worker can't be reached": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		p.update(func() { p.unreachable[id] = true })
		p.later(e.lasts, func() { p.rejoin(id) })
	},
	"answers of a worker are lost": func(p *leasePlay, e event) {
		p.disturb(e, crankfakefleet.Fault{DropResponse: true})
	},
	"calls to a worker are late": func(p *leasePlay, e event) {
		p.disturb(e, crankfakefleet.Fault{EffectDelay: e.late})
	},
	"calls to a worker are slow": func(p *leasePlay, e event) {
		p.disturb(e, crankfakefleet.Fault{TransitTime: e.slow})
	},
	"worker refuses connections": func(p *leasePlay, e event) {
		p.disturb(e, crankfakefleet.Fault{NoListener: true})
	},
	"another worker answers": func(p *leasePlay, e event) { p.disturb(e, crankfakefleet.Fault{Misdirect: true}) },
	"an earlier incarnation answers": func(p *leasePlay, e event) {
		p.disturb(e, crankfakefleet.Fault{FormerAnswer: true})
	},
	"worker is unhealthy": func(p *leasePlay, e event) { p.disturb(e, crankfakefleet.Fault{Refuse: true}) },
	"worker drains and is cut off": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		if p.isSilent(id) {
			return
		}
		p.drain(id)
		p.later(e.late, func() {
			p.cutWorker(id)
			p.expire(id)
		})
		p.later(e.late+e.lasts, func() { p.undrain(id) })
	},
	"worker drains and stays": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		if p.isSilent(id) {
			return
		}
		p.drain(id)
		p.later(e.lasts, func() { p.undrain(id) })
	},
	"worker restarts": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		p.losePower(id)
		p.expire(id)
		p.later(e.slow, func() { p.restart(id) })
	},
	"entry is lost": func(p *leasePlay, e event) {
		if id := p.workerAt(e); !p.entryOf(id).Draining { // then it would show that the worker has left
			p.removeEntry(id)
		}
	},
	"entries lapse in an outage": func(p *leasePlay, e event) {
		p.refuseStore(true)
		var silenced []string
		p.update(func() {
			for _, id := range p.ids {
				if !p.silent[id] {
					p.silent[id] = true
					silenced = append(silenced, id)
				}
			}
		})
		for _, id := range silenced {
			p.expire(id)
		}
		p.later(entryLifetime+e.slow, func() {
			p.refuseStore(false)
			p.update(func() {
				for _, id := range silenced {
					if !p.unreachable[id] {
						delete(p.silent, id)
					}
				}
			})
		})
	},
	"an entry is stored late": func(p *leasePlay, e event) {
		id := p.workerAt(e)
		if entry := p.entryOf(id); !entry.Draining {
			p.later(e.late, func() { p.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(entry)) })
		}
	},
	"store is down": func(p *leasePlay, e event) {
		p.refuseStore(true)
		p.later(e.late, func() { p.refuseStore(false) })
	},
	"store is slow": func(p *leasePlay, e event) {
		p.update(func() {
			p.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Delay: e.late / 10} }
		})
		p.later(e.lasts, func() { clearStoreFaults(p.cluster) })
	},
	"appends are late": func(p *leasePlay, e event) {
		calls := 0
		p.update(func() {
			p.storeFaults = func(_, call string) crankfakestore.Fault {
				if calls++; calls%4 > 0 || call != "append" {
					return crankfakestore.Fault{}
				}
				return crankfakestore.Fault{EffectDelay: e.late}
			}
		})
		p.later(e.lasts, func() { clearStoreFaults(p.cluster) })
	},
	"leader is killed and starts again at once": func(p *leasePlay, e event) {
		if name := p.leader(); name != "" {
			p.kill(name)
			p.later(e.slow/2, func() { p.ensureRunning(name) })
		}
	},
	"leader is shut down and starts again at once": func(p *leasePlay, e event) {
		if name := p.leader(); name != "" {
			p.shutDown(name)
			p.later(e.slow/2, func() { p.ensureRunning(name) })
		}
	},
	"leader is killed": func(p *leasePlay, e event) { p.loseLeader(e, p.kill) },
	"all instances are killed": func(p *leasePlay, e event) {
		for _, name := range instanceNames {
			if p.running[name] != nil {
				p.kill(name)
			}
		}
		p.later(e.slow, p.ensureAllRunning)
	},
	"leader is cut off": func(p *leasePlay, e event) {
		if name := p.leader(); name != "" {
			p.isolate(name)
			p.later(e.lasts, p.reconnect)
		}
	},
	"leader is cut off with a worker": func(p *leasePlay, e event) {
		name := p.leader()
		if name == "" {
			return
		}
		id := p.workerAt(e)
		p.isolate(name)
		p.update(func() { p.only[id] = p.running[name].caller })
		p.later(e.lasts, func() {
			p.reconnect()
			p.update(func() { delete(p.only, id) })
		})
	},
	"leader is cut off from the store": func(p *leasePlay, e event) {
		if name := p.leader(); name != "" {
			p.cutFromStore(name)
			p.later(e.lasts, p.reconnect)
		}
	},
	"history of the store is dropped": func(p *leasePlay, _ event) { p.store.Compact() },
}

func (p *leasePlay) refuseStore(refuse bool) {
	p.update(func() {
		p.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: refuse} }
	})
}

// disturb has all calls to a worker fail in some way.
func (p *leasePlay) disturb(e event, f crankfakefleet.Fault) {
	id := p.workerAt(e)
	p.update(func() { p.faulty[id] = f })
	p.later(e.lasts, func() { p.update(func() { delete(p.faulty, id) }) })
}

func (p *leasePlay) isSilent(id string) (silent bool) {
	p.update(func() { silent = p.silent[id] || p.down[id] })
	return silent
}

// rejoin reconnects a worker, whose entry is written anew.
func (p *leasePlay) rejoin(id string) {
	p.cuts[id]++
	p.reconnectWorker(id)
	if e := p.entryOf(id); !p.isSilent(id) {
		p.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(e))
	}
}

// expire removes the entry of a worker that has just fallen silent once it has been so for
// long enough.
func (p *leasePlay) expire(id string) {
	p.cuts[id]++
	cut := p.cuts[id]
	p.later(entryLifetime, func() {
		if p.isSilent(id) && p.cuts[id] == cut {
			p.removeEntry(id)
		}
	})
}

func (p *leasePlay) entryOf(id string) (e crank.WorkerEntry) {
	p.update(func() { e = p.workerEntries[id] })
	return e
}

func (p *leasePlay) undrain(id string) {
	if p.isDown(id) {
		return
	}
	p.update(func() {
		entry := p.workerEntries[id]
		entry.Draining = false
		p.workerEntries[id] = entry
	})
	p.rejoin(id)
}

// chooseFault runs under the cluster's lock.
func (p *leasePlay) chooseFault(caller, worker, call string) crankfakefleet.Fault {
	if only := p.only[worker]; only != "" && only != caller {
		return crankfakefleet.Fault{DropRequest: true}
	}
	if call == "start" {
		p.lastOrdered = worker
	}
	return p.faulty[worker]
}

func (p *leasePlay) submitLongJob(e event) {
	n := p.jobs
	p.jobs++
	steps := []crank.Step{independentTasks(4+n%3*4, 4*time.Second+2*e.lasts)}
	if n%4 == 3 {
		steps = []crank.Step{gangStep(3, 4, time.Second+e.lasts)}
	}
	queue := [...]string{"patient", "urgent"}[n%2]
	for i := range instanceNames {
		if inst := p.running[instanceNames[(n+i)%len(instanceNames)]]; inst != nil {
			p.answers.Go(func() { _ = p.submitTo(inst, queue, fmt.Sprintf("job%d", n), steps...) }) // may be refused
			return
		}
	}
}

// run plays the events.
func (p *leasePlay) run(events []event) {
	p.setUp(playWorkers)
	for i := range playWorkers {
		p.ids = append(p.ids, workerID(i))
	}
	p.update(func() { p.workerFaults = p.chooseFault })
	for range 3 {
		p.submitLongJob(event{lasts: 10 * time.Second})
	}
	p.pass(2 * time.Second)
	for _, e := range events {
		p.pass(e.after)
		leaseEvents[e.kind](p, e)
	}
	for len(p.pending) > 0 {
		p.pass(time.Second)
	}
	p.restoreAll()
	p.answers.Wait()
	time.Sleep(completionLimit)
}

// drawLeaseEvent draws an event.
func drawLeaseEvent(t *rapid.T) event {
	kinds := make([]string, 0, len(leaseEvents))
	for kind := range leaseEvents {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	tenths := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * 100 * time.Millisecond
	}
	return event{
		kind: rapid.SampledFrom(kinds).Draw(t, "kind"), after: tenths(0, 15, "after"), worker: rapid.IntRange(0, playWorkers).Draw(t, "worker"),
		lasts: tenths(1, 120, "lasts"), slow: tenths(0, 15, "slow"), late: tenths(3, 70, "late"),
	}
}

// Long runs at workers that are cut off, answer late or drain, while leaders come and go.
func TestLongRunsStartOnceWhateverIsNotKnownOfTheirWorkers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawLeaseEvent), 4, 14).Draw(r, "events")
		bounds := leaseBounds
		bounds.MaxLease = time.Duration(rapid.IntRange(6, 10).Draw(r, "lease")) * time.Second
		rate := rapid.SampledFrom([]float64{1, 0.98}).Draw(r, "rate of the workers' clocks")
		var faults []string
		playWithBounds(t, bounds, func(_ *testing.T, c *cluster) {
			p := &leasePlay{
				play:   play{cluster: c, accepted: make(map[string]bool)},
				faulty: make(map[string]crankfakefleet.Fault), only: make(map[string]string), cuts: make(map[string]int),
			}
			c.fleet.UpdateConfig(func(f *crankfakefleet.Config) { f.ClockRate = rate })
			p.run(events)
		}, func(_ *testing.T, violation string) { faults = append(faults, violation) })
		if len(faults) > 0 {
			r.Fatal(faults)
		}
	})
}
