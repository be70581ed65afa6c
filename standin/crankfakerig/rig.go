// Package crankfakerig runs an emulated site: entry instances as processes, the
// platform and its workers as stand-ins, callers, and a plan of disturbances.
package crankfakerig

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
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
	"cranberrycrank/standin/crankfakestore"
	"cranberrycrank/standin/crankfakewatch"
)

// Config holds the settings of a Rig.
type Config struct {
	Binary    string // of the entry instances
	Site      crankfakesite.Site
	Seed      uint64             // of the traffic, and of the plan unless it is given
	Plan      crankfakeplan.Plan // nil for the seed's
	Directory string             // for logs, the plan and the report
	// AskEverywhere asks every instance for the completed jobs in the end.
	AskEverywhere bool
	Logger        *slog.Logger
}

// Rig is the run of a site.
type Rig struct {
	Config
	store     *crankfakestore.Store
	fleet     *crankfakefleet.Fleet
	dialer    crank.LeaseDialer            // of the fleet, unless a test plants a fault
	plants    crankfakemachine.Plants      // of a test
	encode    func(j crank.StepJob) []byte // of submissions, unless a test plants a fault
	watch     *crankfakewatch.Watch
	ports     *crankfakenet.Ports
	instances []*crankfakeinstance.Instance
	machines  []*crankfakemachine.Machine
	operator  *operator
	client    *http.Client
	eventFile *os.File
	playFile  *os.File
	begun     time.Time // of the traffic
	playing   sync.WaitGroup

	mu          sync.Mutex
	faults      map[string]crankfakefleet.Fault // by worker ID
	failing     map[string]float64              // share of the runs by worker ID
	disturbed   int                             // disturbances that have not ended
	disturbedAt time.Time                       // the end of the last one
	storeDown   bool
	rigFaults   []string // of the rig, not of the program
	violations  []string
}

const (
	tickPeriod     = 100 * time.Millisecond
	progressPeriod = 5 * time.Second
	maxLag         = 500 * time.Millisecond // of the rig itself, which a busy machine starves
	pool           = "hall"
)

// New returns a rig that has not started.
func New(c Config) (*Rig, error) {
	ports, err := crankfakenet.OwnPorts()
	if err != nil {
		return nil, err
	}
	r := &Rig{
		Config: c, store: crankfakestore.New(), ports: ports, faults: make(map[string]crankfakefleet.Fault), failing: make(map[string]float64),
		client: &http.Client{Timeout: max(c.Site.Bounds.AnswerTime, c.Site.Callers.PatientTime) + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, MaxIdleConns: 4096}},
	}
	r.watch = crankfakewatch.New(crankfakewatch.Config{Bounds: c.Site.Bounds, Workers: r.schedulable, Calm: r.calm})
	classes := make(map[string]crankfakesite.Class)
	for _, c := range c.Site.Classes {
		classes[c.Name] = c
	}
	r.fleet = crankfakefleet.New(crankfakefleet.Config{
		Bounds: c.Site.Bounds.Lease(), Specs: r.watch.Spec, Faults: r.fault, Observe: r.observe, MaxEnds: 500,
		CrossRackSlowdown: c.Site.Bounds.CrossRackSlowdown,
		RunTime: func(t crank.TaskID, worker string) time.Duration {
			j, _ := r.watch.Job(t.Job)
			if j.Steps[t.Step].LongRunning {
				return time.Hour
			}
			return time.Duration(float64(j.WorkTime(t)) / c.Site.Speed(c.Seed, machineOf(worker)))
		},
		Fails: func(t crank.TaskID, run int64, worker string) bool {
			j, _ := r.watch.Job(t.Job)
			return j.Poisoned || hash(t, run, c.Seed) < max(classes[j.Queue].Failing, r.failingShare(worker))
		},
	})
	r.dialer, r.encode = r.fleet, crankfakeplatform.EncodeJob
	if r.eventFile, err = os.Create(filepath.Join(c.Directory, "runs.log")); err != nil {
		return nil, crank.Wrap("rig start", crank.KindUnavailable, err)
	}
	if r.playFile, err = os.Create(filepath.Join(c.Directory, "play.log")); err != nil {
		return nil, crank.Wrap("rig start", crank.KindUnavailable, err)
	}
	return r, nil
}

// Run plays the site and returns its report.
func (r *Rig) Run(ctx context.Context) (crankfakereport.Report, error) {
	defer r.Stop()
	if r.Plan == nil {
		r.Plan = crankfakeplan.Draw(Scope(r.Site), r.Seed)
	}
	if err := r.writePlan(); err != nil {
		return crankfakereport.Report{}, err
	}
	if err := r.Start(ctx); err != nil {
		return crankfakereport.Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.tick(ctx)
	var callers sync.WaitGroup
	callers.Go(func() { r.submitAll(ctx) })
	go r.askPending(ctx)
	r.playing.Go(func() { r.play(ctx) })
	asked := r.begun.Add(r.Site.Bounds.TrafficEnd() + r.Site.Bounds.SettleTime)
	if err := sleep(ctx, time.Until(asked)); err != nil {
		return crankfakereport.Report{}, err
	}
	r.Logger.Info("rig: jobs are asked for", "unfinished", len(r.watch.Unfinished()))
	r.askAll(ctx, true)
	until := asked.Add(r.Site.Bounds.WatchTime)
	for time.Now().Before(until) && ctx.Err() == nil && len(r.watch.Unfinished()) > 0 {
		_ = sleep(ctx, time.Second)
	}
	r.askAll(ctx, false)
	if r.AskEverywhere {
		r.AwaitEverywhere(ctx, r.watch.Completed())
	}
	callers.Wait()
	cancel()
	report := r.report(asked)
	return report, report.Write(r.Directory)
}

// Scope returns what the plans of a site are drawn for.
func Scope(site crankfakesite.Site) crankfakeplan.Scope {
	b := site.Bounds
	s := crankfakeplan.Scope{Traffic: b.TrafficTime, Recovery: b.RecoveryTime, Asked: b.TrafficEnd() + b.SettleTime}
	for _, z := range site.Zones {
		s.Zones = append(s.Zones, z.Name)
		for n := range z.Instances {
			s.Instances = append(s.Instances, instanceName(z, n))
		}
		for n := range z.Workers {
			s.Workers = append(s.Workers, machineName(z, n))
		}
	}
	return s
}

func instanceName(z crankfakesite.Zone, n int) string { return fmt.Sprintf("%s-%d", z.Name, n+1) }

func machineName(z crankfakesite.Zone, n int) string { return fmt.Sprintf("%s-w%03d", z.Name, n) }

func (r *Rig) writePlan() error {
	f, err := os.Create(filepath.Join(r.Directory, "plan.txt"))
	if err != nil {
		return crank.Wrap("plan write", crank.KindUnavailable, err)
	}
	defer f.Close()
	fmt.Fprintf(f, "# seed %d\n", r.Seed)
	return r.Plan.Write(f)
}

// Start starts the site, without traffic or a plan, and waits for the lead time.
func (r *Rig) Start(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, r.Site.Bounds.LeadTime); err != nil {
		return err
	}
	r.begun = time.Now()
	return nil
}

func (r *Rig) start(ctx context.Context) error {
	r.operator = newOperator(r)
	r.operator.publish()
	for _, z := range r.Site.Zones {
		for i := range z.Workers {
			if err := r.addMachine(z, i); err != nil {
				return err
			}
		}
	}
	go r.beat(ctx)
	for _, z := range r.Site.Zones {
		for i, size := range z.Instances {
			if err := r.addInstance(z, i, size); err != nil {
				return err
			}
		}
	}
	go r.probe(ctx)
	r.Logger.Info("rig: started", "instances", len(r.instances), "workers", len(r.machines), "directory", r.Directory)
	return nil
}

// Stop kills the instances and ends the stand-ins.
func (r *Rig) Stop() {
	for _, i := range r.instances {
		i.Close()
	}
	for _, m := range r.machines {
		m.Close()
	}
	r.playing.Wait()
	r.eventFile.Close()
	r.playFile.Close()
}

// tick looks for jobs that stand still and shows progress.
func (r *Rig) tick(ctx context.Context) {
	shown, last := time.Now(), time.Now()
	for sleep(ctx, tickPeriod) == nil {
		if lag := time.Since(last) - tickPeriod; lag > maxLag {
			r.noteFault("the rig stood still for %s", lag.Round(time.Millisecond))
		}
		last = time.Now()
		p := r.watch.Tick(last)
		if time.Since(shown) >= progressPeriod {
			shown = time.Now()
			r.Logger.Info("rig: progress", "at", r.age(), "open", p.Open, "still", p.Still, "in-use", fmt.Sprintf("%.2f", p.InUse), "shares", fmt.Sprintf("%.2f", p.Shares), "runs", r.fleet.Runs(), "leader", r.leader())
		}
	}
}

// age returns the time since the start of the traffic.
func (r *Rig) age() time.Duration { return time.Since(r.begun).Round(time.Millisecond) }

// calm reports whether nothing has disturbed the site for a while.
func (r *Rig) calm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbed == 0 && time.Since(r.disturbedAt) > r.Site.Bounds.CancelTime
}

func (r *Rig) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf("%s %s", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...)))
}

// noteFault records a fault of the rig itself.
func (r *Rig) noteFault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rigFaults = append(r.rigFaults, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (r *Rig) observe(e crankfakefleet.Event) {
	fmt.Fprintf(r.eventFile, "%s %s %s run=%d worker=%s how=%s fence=%d\n", e.At.UTC().Format("15:04:05.000"), e.Kind, e.Task, e.Run, e.Worker, e.How, e.Fence)
	r.watch.Observe(e)
}

func (r *Rig) fault(_, worker, call string) crankfakefleet.Fault {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.faults[worker]
	if call != "start" {
		f.EffectDelay = 0
	}
	return f
}

// resolve returns the names that a target of a disturbance stands for.
func (r *Rig) resolve(ctx context.Context, targets []string, names []string, zoneOf func(string) string) []string {
	var resolved []string
	for _, t := range targets {
		switch zone, isZone := strings.CutPrefix(t, "zone:"); {
		case t == "all":
			resolved = append(resolved, names...)
		case t == "leader":
			if name := r.awaitLeader(ctx); name != "" {
				resolved = append(resolved, name)
			}
		case isZone:
			for _, n := range names {
				if zoneOf(n) == zone {
					resolved = append(resolved, n)
				}
			}
		case slices.Contains(names, t):
			resolved = append(resolved, t)
		}
	}
	return resolved
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// calmBut is calm beside n disturbances of the caller's own.
func (r *Rig) calmBut(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbed <= n && time.Since(r.disturbedAt) > r.Site.Bounds.CancelTime
}
