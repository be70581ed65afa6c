package crankentryproof

import (
	"slices"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"
	"cranberrycrank/standin/crankfakestore"
)

// waitPlay is a loss of instances with an event at workers around it.
type waitPlay struct {
	lost, workers string        // keys of losses and workerEvents
	maxLease      time.Duration // of the workers
	at            time.Duration // when a worker goes, from the loss on
}

// Parameters of a play, in time from the loss on.
const (
	waitWorkers    = 9
	submitsAt      = -10 * time.Second
	choosesAt      = -8500 * time.Millisecond
	runTime        = 16 * time.Second
	waitPlayEnds   = 60 * time.Second
	downTime       = time.Second
	cutTime        = 5500 * time.Millisecond
	leaderOnlyTime = 20 * time.Second
	refuseTime     = 6500 * time.Millisecond
	storeAway      = 4900 * time.Millisecond
	awayBefore     = time.Second // the leader's loss
	permission     = 10 * time.Second
)

// stage is a play in progress.
type stage struct {
	play
	meter        *waitMeter
	target       string // has runs of most jobs
	leaderCaller string // of the leader that is lost

	// guarded by cluster.mu
	onlyLeader bool // of the instances reaches the target
	onlyTarget bool // of the workers is reached by the leader
	noListener bool // at the target's address, as it seems; it runs on
}

// losses maps what is lost to what happens then. They are called at the loss.
var losses = map[string]func(s *stage){
	"nothing":            func(*stage) {},
	"leader loses power": func(s *stage) { s.loseLeaders(1, 10*time.Second) },
	"leader is cut off": func(s *stage) {
		if name := s.leader(); name != "" {
			s.isolate(name)
			s.later(permission+5*time.Second, s.reconnect)
		}
	},
	"leader is cut off with a worker": func(s *stage) {
		if name := s.leader(); name != "" {
			s.isolate(name)
			s.update(func() { s.onlyTarget = true })
			s.later(permission+5*time.Second, func() {
				s.reconnect()
				s.update(func() { s.onlyTarget = false })
			})
		}
	},
	"leader stops": func(s *stage) {
		if name := s.leader(); name != "" {
			s.shutDown(name)
			s.later(5*time.Second, func() { s.ensureRunning(name) })
		}
	},
	"all for a moment": func(s *stage) { s.loseAll(1500 * time.Millisecond) },
	"all for long":     func(s *stage) { s.loseAll(9500 * time.Millisecond) },
	"two leaders":      func(s *stage) { s.loseLeaders(2, 4*time.Second) },
	"three leaders":    func(s *stage) { s.loseLeaders(3, 4*time.Second) },
	"rolling restart": func(s *stage) {
		first := s.leader()
		others := slices.DeleteFunc(slices.Clone(instanceNames), func(n string) bool { return n == first })
		s.roll(first, others[0])
		s.later(3*time.Second, func() { s.roll(others[1], first) })
	},
	"leader in an outage": func(s *stage) { s.loseLeaders(1, 10*time.Second) },
}

// noticeTimes holds how long workers drain before they go.
var noticeTimes = map[string]time.Duration{
	"drains and leaves": 4 * time.Second, "drains and leaves, refuses": 4 * time.Second,
	"short notice": 2 * time.Second, "short notice, refuses": 2 * time.Second,
}

// workerEvents maps what happens at workers to how they go. A worker that drains has done
// so for its notice time.
var workerEvents = map[string]func(s *stage){
	"none":        func(*stage) {},
	"loses power": func(s *stage) { s.powerOff(s.target) },
	"zone loses power": func(s *stage) {
		zone := s.workerEntries[s.target].Zone
		for i := range waitWorkers {
			if s.workerEntries[workerID(i)].Zone == zone {
				s.powerOff(workerID(i))
			}
		}
	},
	"drains and leaves": func(s *stage) {
		s.losePower(s.target)
		s.removeEntry(s.target)
	},
	"drains and leaves, refuses": func(s *stage) {
		s.leave(s.target)
		s.removeEntry(s.target)
	},
	"short notice":          func(s *stage) { s.powerOff(s.target) },
	"short notice, refuses": func(s *stage) { s.killProcess(s.target) },
	"killed, refuses":       func(s *stage) { s.killProcess(s.target) },
	"killed, refuses, same ID": func(s *stage) {
		s.leave(s.target)
		s.later(downTime, func() { s.comeBack(s.target) })
	},
	"killed, refuses, new ID": func(s *stage) {
		s.killProcess(s.target)
		s.later(downTime, func() {
			s.fleet.Replace(s.target)
			s.addWorker(waitWorkers)
		})
	},
	"new ID at its address": func(s *stage) {
		s.powerOff(s.target)
		s.later(downTime, func() {
			s.fleet.Replace(s.target)
			s.addWorker(waitWorkers)
		})
	},
	"new ID elsewhere": func(s *stage) {
		s.powerOff(s.target)
		s.later(downTime, func() { s.addWorker(waitWorkers) })
	},
	"same ID": func(s *stage) {
		s.losePower(s.target)
		s.later(downTime, func() { s.comeBack(s.target) })
	},
	"same ID twice": func(s *stage) {
		s.losePower(s.target)
		s.later(downTime, func() { s.comeBack(s.target) })
		s.later(2*downTime, func() { s.losePower(s.target) })
		s.later(3*downTime, func() { s.comeBack(s.target) })
	},
	"cut off": func(s *stage) {
		s.cutWorker(s.target)
		s.expireEntry(s.target)
		s.later(cutTime, func() { s.reconnectWorker(s.target) })
	},
	"reached by the leader only": func(s *stage) {
		s.update(func() { s.silent[s.target], s.onlyLeader = true, true })
		s.expireEntry(s.target)
		s.later(leaderOnlyTime, func() {
			s.update(func() { s.onlyLeader = false })
			s.reconnectWorker(s.target)
		})
	},
	"refuses, runs on": func(s *stage) {
		s.update(func() { s.meter.refusing[s.target], s.noListener = true, true })
		s.later(refuseTime, func() {
			s.update(func() {
				delete(s.meter.refusing, s.target)
				s.noListener = false
			})
		})
	},
	"reports refused": func(s *stage) {
		s.update(func() { s.meter.refusing[s.target] = true })
		s.later(refuseTime, func() {
			s.update(func() { delete(s.meter.refusing, s.target) })
		})
	},
}

// chooseFault runs under the cluster's lock.
func (s *stage) chooseFault(caller, worker, call string) crankfakefleet.Fault {
	isLeader, isTarget := caller == s.leaderCaller, worker == s.target
	return crankfakefleet.Fault{
		DropRequest: (s.onlyLeader && isTarget && !isLeader) || (s.onlyTarget && isLeader && !isTarget),
		NoListener:  s.noListener && isTarget,
		Refuse:      s.meter.refusing[worker] && call == "hold" && !s.noListener,
	}
}

// powerOff crashes a worker, whose entry expires.
func (s *stage) powerOff(id string) {
	s.losePower(id)
	s.expireEntry(id)
}

// killProcess ends a worker's process: its address refuses calls, and its entry expires.
func (s *stage) killProcess(id string) {
	s.leave(id)
	s.expireEntry(id)
}

func (s *stage) comeBack(id string) {
	s.restart(id)
	s.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(s.workerEntries[id]))
}

// loseLeaders kills the leader, and each further one within 3 s as soon as it leads.
func (s *stage) loseLeaders(n int, downTime time.Duration) {
	const checkPeriod, limit = 100 * time.Millisecond, 3500 * time.Millisecond
	begun := time.Now()
	var next func()
	next = func() {
		if name := s.leader(); name != "" {
			s.kill(name)
			s.later(downTime, func() { s.ensureRunning(name) })
			n--
		}
		if n > 0 && time.Since(begun) < limit {
			s.later(checkPeriod, next)
		}
	}
	next()
}

func (s *stage) loseAll(downTime time.Duration) {
	for _, name := range instanceNames {
		s.kill(name)
	}
	s.later(downTime, s.ensureAllRunning)
}

// roll stops instances in order and starts them 1.5 s later.
func (s *stage) roll(names ...string) {
	for _, name := range names {
		if s.running[name] != nil {
			s.shutDown(name)
		}
	}
	s.later(1500*time.Millisecond, s.ensureAllRunning)
}

// submitOne hands a job to a running instance, if there is one; it counts if it is
// accepted.
func (s *stage) submitOne(id string, steps ...crank.Step) {
	var inst *instance
	for _, name := range instanceNames {
		if other := s.running[name]; other != nil && (inst == nil || name != s.leader()) {
			inst = other
		}
	}
	if inst == nil {
		return
	}
	s.answers.Go(func() {
		if s.submitTo(inst, "patient", id, steps...) == nil {
			s.meter.accept(id)
		}
	})
}

func (s *stage) submitAll() {
	gang := gangStep(4, 1, runTime)
	gang.SameRack = false
	first, second := independentTasks(4, -submitsAt+300*time.Millisecond), independentTasks(4, 6*time.Second)
	second.After = []int{0}
	checkpointing, lasting := independentTasks(4, runTime), independentTasks(3, time.Hour)
	checkpointing.Checkpoints, lasting.LongRunning = true, true
	s.submitOne("independent", independentTasks(8, runTime))
	s.submitOne("gang", gang)
	s.submitOne("two-step", first, second)
	s.submitOne("checkpointing", checkpointing)
	s.submitOne("lasting", lasting)
}

// chooseTarget chooses the worker with runs of the most jobs.
func (s *stage) chooseTarget() {
	jobs := make(map[string]map[string]bool)
	for id, worker := range s.meter.workers() {
		if jobs[worker] == nil {
			jobs[worker] = make(map[string]bool)
		}
		jobs[worker][id.Job] = true
	}
	for i := range waitWorkers {
		if id := workerID(i); s.target == "" || len(jobs[id]) > len(jobs[s.target]) {
			s.target = id
		}
	}
}

// run plays w and returns the waits, and whether a job was not done at the end.
func (w waitPlay) run(c *cluster) (waits []wait, undone bool) {
	buffer := &logBuffer{}
	c.logs = buffer
	s := &stage{play: play{cluster: c}, meter: newWaitMeter(c)}
	c.setUp(waitWorkers)
	lost := time.Now().Add(-submitsAt)
	s.submitAll()
	until := func(d time.Duration, f func()) { s.later(time.Until(lost.Add(d)), f) }
	until(choosesAt, func() {
		s.chooseTarget()
		s.leaderCaller = c.running[c.leader()].caller
		c.update(func() { c.workerFaults = s.chooseFault })
	})
	if notice, ok := noticeTimes[w.workers]; ok {
		until(w.at-notice, func() { s.drain(s.target) })
	}
	until(w.at, func() { workerEvents[w.workers](s) })
	if w.lost == "leader in an outage" {
		until(-awayBefore, func() {
			c.update(func() {
				c.storeFaults = func(_, _ string) crankfakestore.Fault { return crankfakestore.Fault{Refuse: true} }
			})
		})
		until(storeAway-awayBefore, func() { clearStoreFaults(c) })
	}
	until(-200*time.Millisecond, func() { s.submitOne("just-before", independentTasks(2, 3*time.Second)) })
	until(0, func() { losses[w.lost](s) })
	until(400*time.Millisecond, func() { s.submitOne("just-after", independentTasks(2, 3*time.Second)) })
	go s.meter.run()
	defer s.meter.stop() // also when a check ends the test
	for !(s.meter.allDone() && len(s.pending) == 0) && time.Since(lost) < waitPlayEnds {
		s.pass(samplePeriod)
	}
	s.answers.Wait()
	undone = !s.meter.allDone()
	waits = s.meter.stop()
	for i := range waits {
		if waits[i].waited > reportedWait {
			waits[i].cause = buffer.causeOf(waits[i])
		}
	}
	return waits, undone
}
