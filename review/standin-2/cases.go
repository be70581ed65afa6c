package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the rules, from the users' pages.
const (
	lastingRestart = 6 * time.Second // after the last run of a task that lasts
	standTime      = 3 * time.Second // without a run
	calmTime       = 4 * time.Second // before that
	noticePeriod   = 4500 * time.Millisecond
	visibleTime    = 3 * time.Second
	pendingAge     = 2 * time.Second
	touchTime      = 3 * time.Second
	drainTime      = 2 * time.Second
	configTime     = 2 * time.Second
	finishTime     = 14 * time.Second
	reclaimTime    = 2900 * time.Millisecond
)

// lahoreWorker is the capacity of a worker on the users' sheet.
var lahoreWorker = amount{64000, 262144, 8}

const (
	hostName    = "nony24.example"
	tenantKey   = "d4a3hwrr6x73d3zji9n7"
	otherKey    = "3hh2b9wu3fexd9dnn2ct"
	settledTime = 3 * time.Second // after the instances are ready
	readyLimit  = 20 * time.Second
)

var (
	urgentQueue  = route{"r-urgent", hostName, "/pufi791/", "non_idempotent", 3000, 250, 0, serviceName, 3, 1.5}
	patientQueue = route{"r-patient", hostName, "/pule252/", "non_idempotent", 3000, 3000, 2, serviceName, 2, 3}
)

// setUp starts three instances in front of workers and publishes a configuration that
// guarantees accelerators to the tenant.
func (d *deployment) setUp(workers int, capacity amount, guaranteed int) ([]*worker, error) {
	d.routes = []route{urgentQueue, patientQueue}
	d.tenants = []tenant{{"kaje80", []string{tenantKey}, map[string]int{"gpu": guaranteed}}}
	zones := []string{"z1", "z2", "z3"}
	var all []*worker
	for n := range workers {
		zone := zones[n%len(zones)]
		w, err := d.fleet.add(fmt.Sprintf("i-%02d", n+1), zone, fmt.Sprintf("r%s-%d", zone, n/6), "a", capacity, d.bounds)
		if err != nil {
			return nil, err
		}
		all = append(all, w)
	}
	if err := d.publish(); err != nil {
		return nil, err
	}
	for n, zone := range zones {
		if _, err := d.addInstance(fmt.Sprintf("edge-%d", n+1), zone); err != nil {
			return nil, err
		}
	}
	if err := d.awaitReady(readyLimit); err != nil {
		return nil, err
	}
	time.Sleep(settledTime)
	return all, nil
}

// awaitRunning waits until a number of a job's tasks run.
func (d *deployment) awaitRunning(job string, n int, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if len(d.placesOf(job)) >= n {
			return true
		}
	}
	return false
}

// placesOf returns the workers at which tasks of a job run, by task.
func (d *deployment) placesOf(job string) map[string]*worker {
	d.fleet.mu.Lock()
	workers := make([]*worker, 0, len(d.fleet.workers))
	for _, w := range d.fleet.workers {
		workers = append(workers, w)
	}
	d.fleet.mu.Unlock()
	places := make(map[string]*worker)
	for _, w := range workers {
		for _, task := range w.running() {
			if strings.HasPrefix(task, job+".") {
				places[task] = w
			}
		}
	}
	return places
}

// playServiceBesideFillers: tasks that fill run on all workers but the one of a task that
// serves. That worker is emptied and taken away.
func playServiceBesideFillers(d *deployment, trouble bool) (verdict, error) {
	const workers = 16
	const service, filler = "5e0000000000000a", "5e0000000000000b"
	if _, err := d.setUp(workers, lahoreWorker, 0); err != nil {
		return verdict{}, err
	}
	if !d.submit(patientQueue, tenantKey, service, jobStep{Count: 1, CPU: 4000, Memory: 4096, LongRunning: true, TargetMs: 200, Image: "front"}) ||
		!d.awaitRunning(service, 1, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	if !d.submit(patientQueue, tenantKey, filler, jobStep{Count: workers - 1, CPU: 4000, Memory: 4096, LongRunning: true, FillCount: true, AntiAffinity: 1, Image: "survey"}) ||
		!d.awaitRunning(filler, workers-1, 10*time.Second) {
		return verdict{}, errors.New("the tasks that fill don't run")
	}
	time.Sleep(2 * time.Second)
	lastRun := time.Now()
	if trouble {
		for _, w := range d.placesOf(service) {
			w.leave(drainTime + 500*time.Millisecond)
		}
		lastRun = time.Now()
	}
	// The task has to run again within lastingRestart, and no standTime may pass without it
	// that is calm and comes after calm time.
	from := lastRun.Add(max(lastingRestart, calmTime))
	var without time.Time
	for until := from.Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		switch {
		case time.Now().Before(from) || len(d.placesOf(service)) > 0:
			without = time.Time{}
		case without.IsZero():
			without = time.Now()
		}
	}
	d.call(d.instances[0], patientQueue, tenantKey, http.MethodGet, service, nil)
	stood := time.Duration(0)
	if !without.IsZero() {
		stood = time.Since(without)
	}
	return verdict{stood > standTime, fmt.Sprintf("from 6 s after its last run on, the service had nothing running for %s, while %d workers have all their cores free beside tasks that fill", stood.Round(time.Millisecond), workers-1)}, nil
}

// playReplicaPreempted: a service has two tasks, of which one may be unavailable. The worker
// of one crashes. 5 s later an urgent job comes for which only the other's worker has room.
func playReplicaPreempted(d *deployment, trouble bool) (verdict, error) {
	const workers = 8
	const service = "5e0000000000000a"
	if _, err := d.setUp(workers, lahoreWorker, 8*(workers-1)); err != nil {
		return verdict{}, err
	}
	whole := jobStep{Count: 1, CPU: 16000, Memory: 16384, GPU: 8}
	replica := whole
	replica.Count, replica.LongRunning, replica.MaxUnavailable, replica.AntiAffinity = 2, true, 1, 1
	if !d.submit(patientQueue, tenantKey, service, replica) || !d.awaitRunning(service, 2, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	for n := range workers - 2 {
		urgent := whole
		urgent.EstimateMs = 60_000
		id := fmt.Sprintf("5e000000000001%02d", n)
		if !d.submit(urgentQueue, tenantKey, id, urgent) || !d.awaitRunning(id, 1, 5*time.Second) {
			return verdict{}, errors.New("an urgent job does not run")
		}
	}
	time.Sleep(4 * time.Second)
	if len(d.placesOf(service)) != 2 {
		return verdict{}, errors.New("the service does not run whole")
	}
	if trouble {
		for task, w := range d.placesOf(service) {
			d.record.line("the worker of %s crashes", task)
			w.crash()
			w.expire()
			break
		}
	}
	time.Sleep(5 * time.Second)
	last := whole
	last.EstimateMs = 5000
	accepted := d.submit(urgentQueue, tenantKey, "5e00000000000199", last)
	time.Sleep(8 * time.Second)
	if !accepted {
		return verdict{}, errors.New("the last urgent job was not accepted")
	}
	return judgeAvailability(d, service, 2, 1), nil
}

// judgeAvailability looks for orders that end a task of a step at work while so many others
// were not at work for the notice period, or had been ended by such an order.
func judgeAvailability(d *deployment, service string, tasks, most int) verdict {
	events := d.fleet.events(service)
	atWork := make(map[string]time.Time) // since when
	away := make(map[string]time.Time)   // since when a task is not at work
	ordered := make(map[string]bool)     // away for an order
	for _, e := range events {
		switch {
		case e.what == "started":
			atWork[e.task] = e.at.Add(startUp)
		case e.what == "told to stop":
			var others []string
			for task, since := range away {
				if task != e.task && (ordered[task] || e.at.Sub(since) > noticePeriod) {
					others = append(others, fmt.Sprintf("%s for %s", task, e.at.Sub(since).Round(time.Millisecond)))
				}
			}
			if at, ok := atWork[e.task]; ok && e.at.After(at) && len(others) >= most {
				return verdict{true, fmt.Sprintf("%s was told to stop at work on %s, though %d of the %d tasks may be away and these were: %s", e.task, e.worker, most, tasks, strings.Join(others, ", "))}
			}
			ordered[e.task] = true
		case strings.HasPrefix(e.what, "ended"), e.what == "lost":
			delete(atWork, e.task)
			away[e.task] = e.at
		}
		if e.what == "started" {
			delete(away, e.task)
			delete(ordered, e.task)
		}
	}
	return verdict{false, "no task was stopped while too many others were away"}
}

// playPendingAfterLoss: urgent jobs wait for room. Within a second of their acceptance the
// instance is killed that last wrote to the store under a condition.
func playPendingAfterLoss(d *deployment, trouble bool) (verdict, error) {
	const workers, waiting = 2, 6
	if _, err := d.setUp(workers, lahoreWorker, 0); err != nil {
		return verdict{}, err
	}
	whole := jobStep{Count: 1, CPU: 16000, Memory: 16384, GPU: 8, EstimateMs: 60_000}
	for n := range workers {
		id := fmt.Sprintf("5e000000000001%02d", n)
		if !d.submit(urgentQueue, tenantKey, id, whole) || !d.awaitRunning(id, 1, 5*time.Second) {
			return verdict{}, errors.New("a job does not run")
		}
	}
	time.Sleep(2 * time.Second)
	leader := d.leader()
	if leader == nil {
		return verdict{}, errors.New("no instance has written under a condition")
	}
	var jobs []string
	var calls sync.WaitGroup
	accepted := make([]bool, waiting)
	for n := range waiting {
		id := fmt.Sprintf("5e000000000002%02d", n)
		jobs = append(jobs, id)
		calls.Go(func() { accepted[n] = d.submit(urgentQueue, tenantKey, id, whole) })
	}
	calls.Wait()
	acceptedAt := time.Now()
	for _, ok := range accepted {
		if !ok {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		d.signal(leader, syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := d.startProcess(leader); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(time.Until(acceptedAt.Add(visibleTime + pendingAge + touchTime)))
	broken, told := 0, []string(nil)
	for range 3 {
		for _, i := range d.instances {
			if trouble && i == leader {
				continue
			}
			begun := 0
			for _, id := range jobs {
				if d.fleet.started(id) {
					begun++
				}
			}
			status, text := d.call(i, urgentQueue, tenantKey, http.MethodGet, "", nil)
			var pending int
			if status != http.StatusOK {
				continue
			}
			if _, err := fmt.Sscanf(text, `{"pending":%d}`, &pending); err != nil {
				return verdict{}, err
			}
			if 2*pending < waiting-begun {
				broken++
			}
			told = append(told, fmt.Sprintf("%d at %s", pending, i.id))
		}
		time.Sleep(2500 * time.Millisecond)
	}
	return verdict{broken > 0, fmt.Sprintf("of %d jobs that have not begun these were told as pending: %s", waiting, strings.Join(told, ", "))}, nil
}

// playQueueMoved: jobs wait since their service is full. The operator has another service run
// their queue, whose workers are idle.
func playQueueMoved(d *deployment, trouble bool) (verdict, error) {
	const old, idle, waiting = 2, 6, 3
	workers, err := d.setUp(old+idle, lahoreWorker, 0)
	if err != nil {
		return verdict{}, err
	}
	for _, w := range workers[old:] {
		w.setService(otherService)
	}
	time.Sleep(2 * time.Second)
	whole := jobStep{Count: 1, CPU: 16000, Memory: 16384, GPU: 8, EstimateMs: 2000}
	lasting := whole
	lasting.Count, lasting.LongRunning, lasting.AntiAffinity = old, true, 1
	if !d.submit(patientQueue, tenantKey, "5e0000000000000a", lasting) || !d.awaitRunning("5e0000000000000a", old, 5*time.Second) {
		return verdict{}, errors.New("the tasks that last don't run")
	}
	var jobs []string
	for n := range waiting {
		jobs = append(jobs, fmt.Sprintf("5e000000000002%02d", n))
		if !d.submit(patientQueue, tenantKey, jobs[n], whole) {
			return verdict{}, errors.New("a job was not accepted")
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		d.routes[1].Service = otherService
		if err := d.publish(); err != nil {
			return verdict{}, err
		}
		time.Sleep(configTime + time.Second)
		const after = "5e00000000000300"
		if !d.submit(patientQueue, tenantKey, after, whole) || !d.awaitRunning(after, 1, 5*time.Second) {
			return verdict{}, errors.New("a job that came after the change does not run")
		}
	}
	time.Sleep(finishTime + standTime)
	var stand []string
	for _, id := range jobs {
		d.call(d.instances[0], patientQueue, tenantKey, http.MethodGet, id, nil)
		if !d.fleet.started(id) {
			stand = append(stand, id)
		}
	}
	why := fmt.Sprintf("%d of %d accepted jobs have not begun, while the service of their queue is full", len(stand), waiting)
	if trouble {
		why = fmt.Sprintf("%d of %d accepted jobs have not begun, while the service of their queue has %d idle workers", len(stand), waiting, idle)
	}
	return verdict{trouble && len(stand) > 0, why}, nil
}

// playGuaranteeFragmented: the small urgent tasks of one tenant are spread over all workers,
// since a survey takes most of each when they come. Once it is done, another tenant claims
// whole workers within its guarantee.
func playGuaranteeFragmented(d *deployment, trouble bool) (verdict, error) {
	const workers, wanted = 8, 4
	const survey, service, claim = "5e0000000000000a", "5e0000000000000b", "5e0000000000000c"
	if _, err := d.setUp(workers, lahoreWorker, 8*wanted); err != nil {
		return verdict{}, err
	}
	d.tenants = append(d.tenants, tenant{"moro17", []string{otherKey}, map[string]int{"gpu": workers}})
	if err := d.publish(); err != nil {
		return verdict{}, err
	}
	time.Sleep(configTime)
	if trouble && (!d.submit(patientQueue, tenantKey, survey, jobStep{Count: 2 * workers, CPU: 26000, Memory: 16384, GPU: 2, EstimateMs: 6800}) ||
		!d.awaitRunning(survey, 2*workers, 5*time.Second)) {
		return verdict{}, errors.New("the survey does not run")
	}
	if !d.submit(urgentQueue, otherKey, service, jobStep{Count: workers, CPU: 7500, Memory: 8192, GPU: 1, LongRunning: true}) ||
		!d.awaitRunning(service, workers, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	time.Sleep(9 * time.Second)
	if len(d.placesOf(survey)) > 0 {
		return verdict{}, errors.New("the survey still runs")
	}
	if !d.submit(urgentQueue, tenantKey, claim, jobStep{Count: wanted, CPU: 7500, Memory: 16384, GPU: 8, EstimateMs: 2500}) {
		return verdict{}, errors.New("the claim was not accepted")
	}
	confirmed := time.Now()
	begun := func() int {
		tasks := make(map[string]bool)
		for _, e := range d.fleet.events(claim) {
			if e.what == "started" {
				tasks[e.task] = true
			}
		}
		return len(tasks)
	}
	time.Sleep(time.Until(confirmed.Add(reclaimTime)))
	inTime := begun()
	time.Sleep(20 * time.Second)
	return verdict{inTime < wanted, fmt.Sprintf("of %d tasks within the guarantee %d had begun after %s and %d after %s; %d of %d accelerators were in use",
		wanted, inTime, reclaimTime, begun(), time.Since(confirmed).Round(time.Second), workers, 8*workers)}, nil
}

// playLeasesLapseInSilence: the open channels between the instances and the workers go silent
// for good, while new ones work. A service whose tasks run on one of the workers may have one
// unavailable.
func playLeasesLapseInSilence(d *deployment, trouble bool) (verdict, error) {
	const workers, tasks, most = 8, 8, 1
	const service = "5e0000000000000a"
	all, err := d.setUp(workers, lahoreWorker, 0)
	if err != nil {
		return verdict{}, err
	}
	if !d.submit(patientQueue, tenantKey, service, jobStep{Count: tasks, CPU: 7500, Memory: 8192, GPU: 1, LongRunning: true, MaxUnavailable: most}) ||
		!d.awaitRunning(service, tasks, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	time.Sleep(5 * time.Second)
	silenced, silencedAt := 0, time.Now()
	if trouble {
		for _, w := range all {
			silenced += w.proxy.silence()
		}
		d.record.line("%d open channels to workers are silent for good", silenced)
	}
	time.Sleep(20 * time.Second)
	lapsed, first := 0, time.Duration(0)
	for _, e := range d.fleet.events(service) {
		if e.what == "ended lapsed" && e.at.Sub(silencedAt) > touchTime {
			if lapsed == 0 {
				first = e.at.Sub(silencedAt)
			}
			lapsed++
		}
	}
	return verdict{lapsed > most, fmt.Sprintf("%d tasks at work on workers that new channels reach lost their lease, the first %s after the channels went silent; %d may be away",
		lapsed, first.Round(time.Millisecond), most)}, nil
}

// playGangBehindService: a service of one small task on each worker may have one task
// unavailable. A gang of two whole workers comes within its tenant's guarantee. Without the
// disturbance the service has no such limit.
func playGangBehindService(d *deployment, trouble bool) (verdict, error) {
	const workers, wanted = 8, 2
	const survey, service, claim = "5e0000000000000a", "5e0000000000000b", "5e0000000000000c"
	if _, err := d.setUp(workers, lahoreWorker, 8*wanted); err != nil {
		return verdict{}, err
	}
	if !d.submit(patientQueue, tenantKey, survey, jobStep{Count: 2 * workers, CPU: 26000, Memory: 16384, GPU: 2, EstimateMs: 6800}) ||
		!d.awaitRunning(survey, 2*workers, 5*time.Second) {
		return verdict{}, errors.New("the survey does not run")
	}
	step := jobStep{Count: workers, CPU: 7500, Memory: 8192, GPU: 1, LongRunning: true}
	if trouble {
		step.MaxUnavailable = 1
	}
	if !d.submit(patientQueue, tenantKey, service, step) || !d.awaitRunning(service, workers, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	time.Sleep(9 * time.Second)
	if !d.submit(urgentQueue, tenantKey, claim, jobStep{Count: wanted, Gang: true, CPU: 7500, Memory: 16384, GPU: 8, EstimateMs: 2500}) {
		return verdict{}, errors.New("the claim was not accepted")
	}
	time.Sleep(20 * time.Second)
	return verdict{!d.fleet.started(claim), fmt.Sprintf("the gang has begun within 20 s: %t", d.fleet.started(claim))}, nil
}

// playServiceBehindReservation: a gang waits for one more worker than is free. An urgent task
// that lasts comes, while small jobs keep coming.
func playServiceBehindReservation(d *deployment, trouble bool) (verdict, error) {
	const workers, taken, wanted = 8, 5, 4
	const gang, service = "5e0000000000000a", "5e0000000000000b"
	if _, err := d.setUp(workers, lahoreWorker, 0); err != nil {
		return verdict{}, err
	}
	whole := jobStep{Count: 1, CPU: 16000, Memory: 16384, GPU: 8, EstimateMs: 80_000}
	for n := range taken {
		id := fmt.Sprintf("5e000000000001%02d", n)
		if !d.submit(urgentQueue, tenantKey, id, whole) || !d.awaitRunning(id, 1, 5*time.Second) {
			return verdict{}, errors.New("an urgent job does not run")
		}
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
				d.submit(patientQueue, tenantKey, fmt.Sprintf("5e00000000002%03d", n), jobStep{Count: 1, CPU: 1000, Memory: 1024, EstimateMs: 1000})
			}
		}
	})
	if trouble {
		members := whole
		members.Count, members.Gang, members.EstimateMs = wanted, true, 8000
		if !d.submit(urgentQueue, tenantKey, gang, members) {
			return verdict{}, errors.New("the gang was not accepted")
		}
	}
	time.Sleep(5 * time.Second)
	if !d.submit(urgentQueue, tenantKey, service, jobStep{Count: 1, CPU: 4000, Memory: 4096, GPU: 1, LongRunning: true}) {
		return verdict{}, errors.New("the service was not accepted")
	}
	accepted, begun := time.Now(), time.Duration(0)
	for time.Since(accepted) < 30*time.Second && begun == 0 {
		if len(d.placesOf(service)) > 0 {
			begun = time.Since(accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	traffic.Wait()
	return verdict{begun == 0 || begun > lastingRestart+standTime, fmt.Sprintf("a task that lasts began %s after its acceptance (0s: not within 30 s), with 24 of 64 accelerators free", begun.Round(time.Millisecond))}, nil
}

// playFillerBesideServices: tasks that serve run on all workers but the one of a task that
// fills. That worker is emptied and taken away.
func playFillerBesideServices(d *deployment, trouble bool) (verdict, error) {
	const workers = 16
	const filler, service = "5e0000000000000a", "5e0000000000000b"
	if _, err := d.setUp(workers, lahoreWorker, 0); err != nil {
		return verdict{}, err
	}
	if !d.submit(patientQueue, tenantKey, filler, jobStep{Count: 1, CPU: 4000, Memory: 4096, LongRunning: true, FillCount: true, Image: "survey"}) ||
		!d.awaitRunning(filler, 1, 5*time.Second) {
		return verdict{}, errors.New("the task that fills does not run")
	}
	if !d.submit(patientQueue, tenantKey, service, jobStep{Count: workers - 1, CPU: 4000, Memory: 4096, LongRunning: true, TargetMs: 200, AntiAffinity: 1, Image: "front"}) ||
		!d.awaitRunning(service, workers-1, 10*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	time.Sleep(2 * time.Second)
	lastRun := time.Now()
	if trouble {
		for _, w := range d.placesOf(filler) {
			w.leave(drainTime + 500*time.Millisecond)
		}
		lastRun = time.Now()
	}
	time.Sleep(time.Until(lastRun.Add(lastingRestart + 20*time.Second)))
	stands := len(d.placesOf(filler)) == 0
	return verdict{stands, fmt.Sprintf("the task that fills stands 26 s after its last run: %t", stands)}, nil
}

// playWorkerThenLeader: a worker loses power, and the leader is killed before two renewals
// have failed.
func playWorkerThenLeader(d *deployment, trouble bool) (verdict, error) {
	const workers = 8
	const service = "5e0000000000000a"
	if _, err := d.setUp(workers, lahoreWorker, 0); err != nil {
		return verdict{}, err
	}
	if !d.submit(patientQueue, tenantKey, service, jobStep{Count: 1, CPU: 4000, Memory: 4096, LongRunning: true}) || !d.awaitRunning(service, 1, 5*time.Second) {
		return verdict{}, errors.New("the service does not run")
	}
	time.Sleep(3 * time.Second)
	lastRun := time.Now()
	if trouble {
		for _, w := range d.placesOf(service) {
			w.losePower()
		}
		lastRun = time.Now()
		time.Sleep(2500 * time.Millisecond)
		leader := d.leader()
		d.signal(leader, syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := d.startProcess(leader); err != nil {
			return verdict{}, err
		}
	}
	for len(d.placesOf(service)) == 0 && time.Since(lastRun) < 30*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	stood := time.Since(lastRun)
	return verdict{trouble && stood > lastingRestart+standTime, fmt.Sprintf("the task ran again %s after its last run", stood.Round(time.Millisecond))}, nil
}
