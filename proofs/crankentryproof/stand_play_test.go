package crankentryproof

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"pgregory.net/rapid"
)

// standEvent is an event beside jobs of many shapes.
type standEvent struct {
	event
	shape int // of a job
	size  int
}

// standPlay is a run of drawn events, after which no job may stand.
type standPlay struct {
	play
	submitted map[string]crank.StepJob

	// guarded by the fleet's lock
	failing map[string]bool // workers that fail all they start
	stuck   map[string]bool // workers where nothing makes progress
}

const (
	hopeless       = "hopeless" // prefix of jobs whose tasks always fail
	quarantineEnds = 9 * time.Second
	watchTime      = 12 * time.Second
)

// shapes make the steps of jobs.
var shapes = []func(size int) crank.StepJob{
	func(n int) crank.StepJob {
		return crank.StepJob{Steps: []crank.Step{independentTasks(1+n, time.Duration(1+n%4)*time.Second)}}
	},
	func(n int) crank.StepJob {
		gang := gangStep(2+n%3, 1+n%8, time.Duration(1+n%5)*time.Second)
		gang.SameRack, gang.Checkpoints = false, n%2 == 0
		return crank.StepJob{Steps: []crank.Step{gang}}
	},
	func(n int) crank.StepJob {
		first, second := independentTasks(1+n%5, time.Second), gangStep(2+n%3, 1+n%8, time.Second)
		second.After, second.SameRack = []int{0}, false
		return crank.StepJob{Steps: []crank.Step{first, second}}
	},
	func(n int) crank.StepJob {
		return crank.StepJob{Steps: []crank.Step{independentTasks(1+n%3, 1500*time.Millisecond)}, Repeat: crank.Repeat{Times: 3 + n%10, First: time.Now().Add(time.Second), Every: 2 * time.Second}}
	},
	func(n int) crank.StepJob {
		step := independentTasks(1+n%6, time.Duration(1+n%6)*time.Second)
		step.Checkpoints, step.DataRack, step.MaxPerWorker = true, fmt.Sprintf("r%d", n%2), n%3
		return crank.StepJob{Steps: []crank.Step{step}}
	},
	func(n int) crank.StepJob {
		step := independentTasks(1+n%4, 2*time.Second)
		step.Label = fmt.Sprintf("r%d", n%2)
		return crank.StepJob{Steps: []crank.Step{step}}
	},
	func(n int) crank.StepJob {
		step := independentTasks(1+n%3, time.Hour)
		step.LongRunning = true
		if n%2 == 0 {
			step.Latency = 50 * time.Millisecond
		}
		return crank.StepJob{Steps: []crank.Step{step}}
	},
	func(n int) crank.StepJob {
		step := independentTasks(1+n%6, 2*time.Second)
		step.BestEffort = true
		return crank.StepJob{Steps: []crank.Step{step}}
	},
}

// standKinds are the events beside those of eventKinds.
var standKinds = map[string]func(p *standPlay, e standEvent){
	"job is submitted": func(p *standPlay, e standEvent) { p.submitShape("job", e) },
	"hopeless jobs come": func(p *standPlay, e standEvent) {
		for range 1 + e.size%4 {
			p.submitShape(hopeless, standEvent{shape: e.size % 2, size: e.size})
		}
	},
	"worker fails all": func(p *standPlay, e standEvent) {
		id := p.workerAt(e.event)
		p.fleet.UpdateConfig(func(*crankfakefleet.Config) { p.failing[id] = true })
		p.later(e.lasts, func() { p.fleet.UpdateConfig(func(*crankfakefleet.Config) { delete(p.failing, id) }) })
	},
	"worker drains and stays": func(p *standPlay, e standEvent) {
		id := p.workerAt(e.event)
		if p.isDown(id) {
			return
		}
		p.drain(id)
		p.later(e.lasts, func() { p.resume(id) })
	},
	"zone is evacuated": func(p *standPlay, e standEvent) {
		zone := fmt.Sprintf("z%d", e.worker%3)
		p.store.Put(crank.OperatorTopic, zone, []byte("{}"))
		p.later(e.lasts, func() { p.store.Put(crank.OperatorTopic, zone, nil) })
	},
	"tasks stand still": func(p *standPlay, e standEvent) {
		id := p.workerAt(e.event)
		p.fleet.UpdateConfig(func(*crankfakefleet.Config) { p.stuck[id] = true })
		p.later(e.lasts, func() { p.fleet.UpdateConfig(func(*crankfakefleet.Config) { delete(p.stuck, id) }) })
	},
}

// resume has a worker that drained take tasks again.
func (p *standPlay) resume(id string) {
	var e crank.WorkerEntry
	p.update(func() {
		e = p.workerEntries[id]
		e.Draining = false
		p.workerEntries[id] = e
	})
	if !p.isDown(id) {
		p.store.Put(crank.WorkerTopic, id, crankfakeplatform.EncodeEntry(e))
	}
}

func (p *standPlay) submitShape(prefix string, e standEvent) {
	id := fmt.Sprintf("%s%d", prefix, p.jobs)
	p.jobs++
	job := shapes[e.shape%len(shapes)](e.size)
	job.ID, job.Payload = id, "plan "+id
	queue := []string{"patient", "patient", "urgent"}[e.size%3]
	for i := range instanceNames {
		inst := p.running[instanceNames[(p.jobs+i)%len(instanceNames)]]
		if inst == nil {
			continue
		}
		p.answers.Go(func() {
			if p.submitJobTo(inst, queue, id, job) == nil && prefix != hopeless {
				accepted, _ := p.spec(id)
				accepted.Queue = queue
				p.update(func() { p.submitted[id] = accepted })
			}
		})
		return
	}
}

// run plays the events, ends all faults and returns the jobs that stand after a lease.
func (p *standPlay) run(events []standEvent) []string {
	p.setUp(playWorkers)
	for i := range playWorkers {
		p.ids = append(p.ids, workerID(i))
	}
	p.added = playWorkers
	p.update(func() { p.workerFaults = p.chooseFault })
	p.fleet.UpdateConfig(func(f *crankfakefleet.Config) {
		f.Fails = func(id crank.TaskID, _ int64, worker string) bool {
			return p.failing[worker] || strings.HasPrefix(id.Job, hopeless)
		}
		f.Stuck = func(worker string) bool { return p.stuck[worker] }
	})
	for _, e := range events {
		p.pass(e.after)
		if f, ok := standKinds[e.kind]; ok {
			f(p, e)
		} else {
			eventKinds[e.kind](&p.play, e.event)
		}
	}
	for len(p.pending) > 0 {
		p.pass(time.Second)
	}
	p.restoreAll()
	p.answers.Wait()
	time.Sleep(quarantineEnds)
	for i := range shapes {
		p.submitShape("last", standEvent{shape: i, size: len(events) + i})
	}
	p.answers.Wait()
	w := newStandWatch(p.cluster, p.submitted)
	w.watch(watchTime)
	return append(w.faults(), p.wrongFailures(w)...)
}

// wrongFailures returns the jobs that are told as failed, or not told so, against what
// their runs reported.
func (p *standPlay) wrongFailures(w *standWatch) []string {
	var faults []string
	for id, job := range p.submitted {
		phase, err := p.phase(instanceNames[0], job.Queue, id)
		if failed := w.hasFailed(job); err != nil || failed != (phase == crank.PhaseFailed) {
			faults = append(faults, fmt.Sprintf("%s is told as %q (%v), out of attempts: %t", id, phase, err, failed))
		}
	}
	return faults
}

func drawStandEvent(t *rapid.T) standEvent {
	e := standEvent{event: drawEvent(t), shape: rapid.IntRange(0, len(shapes)-1).Draw(t, "shape"), size: rapid.IntRange(0, 11).Draw(t, "size")}
	if more := rapid.IntRange(0, 11).Draw(t, "more"); more < len(standKinds) {
		kinds := make([]string, 0, len(standKinds))
		for kind := range standKinds {
			kinds = append(kinds, kind)
		}
		slices.Sort(kinds)
		e.kind = kinds[more]
	}
	return e
}

func playStands(t *testing.T, events []standEvent) []string {
	var faults []string
	playInCluster(t, func(_ *testing.T, c *cluster) {
		p := &standPlay{play: play{cluster: c, accepted: make(map[string]bool)}, submitted: make(map[string]crank.StepJob), failing: make(map[string]bool), stuck: make(map[string]bool)}
		faults = p.run(events)
	}, func(_ *testing.T, violation string) { faults = append(faults, violation) })
	return faults
}

// Jobs of any kind start within 3 s while half of the service is free, once faults are over.
func TestNoJobStandsAfterFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(drawStandEvent), 8, 30).Draw(r, "events")
		if faults := playStands(t, events); len(faults) > 0 {
			r.Fatal(faults)
		}
	})
}

// A job whose task three workers in turn let fail is told as failed, and does not stand.
func TestJobOutOfAttemptsIsToldAsFailed(t *testing.T) {
	t.Parallel()
	at := func(kind string, after time.Duration, worker int, lasts time.Duration, shape, size int) standEvent {
		return standEvent{event: event{kind: kind, after: after, worker: worker, lasts: lasts, slow: 300 * time.Millisecond, late: 600 * time.Millisecond}, shape: shape, size: size}
	}
	events := []standEvent{
		at("tasks stand still", 0, 0, 4700*time.Millisecond, 0, 0),
		at("all instances are killed", 1400*time.Millisecond, 0, 200*time.Millisecond, 0, 0),
		at("job is submitted", 100*time.Millisecond, 0, 0, 0, 11),
		at("zone is evacuated", 1600*time.Millisecond, 3, 3200*time.Millisecond, 0, 0),
		at("hopeless jobs come", 1400*time.Millisecond, 0, 0, 0, 0),
		at("worker fails all", 800*time.Millisecond, 2, 3*time.Second, 0, 0),
		at("answers of the store are lost", 1800*time.Millisecond, 0, 200*time.Millisecond, 0, 0),
		at("worker fails all", 1400*time.Millisecond, 4, 1200*time.Millisecond, 0, 0),
		at("hopeless jobs come", 1100*time.Millisecond, 0, 0, 0, 5),
		at("worker fails all", 900*time.Millisecond, 0, 3900*time.Millisecond, 0, 0),
	}
	if faults := playStands(t, events); len(faults) > 0 {
		t.Fatal(faults)
	}
}
