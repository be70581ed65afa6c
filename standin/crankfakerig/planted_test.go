package crankfakerig

import (
	"cmp"
	"context"
	"flag"
	"log/slog"
	"maps"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

var (
	runPlanted = flag.Bool("planted", false, "play seeds with planted faults, for minutes")
	firstSeed  = flag.Uint64("first", 1, "first seed")
)

// maxSeeds is the number of seeds within which a planted fault must be found.
const maxSeeds = 10

// planted passes calls on to a fleet with a fault.
type planted struct {
	*crankfakefleet.Fleet
	change func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker
}

// LeasedWorker implements crank.LeaseDialer.
func (p planted) LeasedWorker(e crank.WorkerEntry) crank.LeasedWorker {
	return p.change(p.Fleet.LeasedWorker(e), e)
}

// longLease runs on for a while after the lease that it was given, as if the
// scheduler didn't wait for the end of leases.
type longLease struct{ crank.LeasedWorker }

const leaseExcess = 8 * time.Second

func (w longLease) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	o.DeadlineMs += leaseExcess.Milliseconds()
	return w.LeasedWorker.Start(ctx, o)
}

func (w longLease) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	if o.DeadlineMs > 0 {
		o.DeadlineMs += leaseExcess.Milliseconds()
	}
	return w.LeasedWorker.Renew(ctx, o)
}

// ghost answers for a worker that left with the runs that it had last.
type ghost struct {
	crank.LeasedWorker
	id    string
	known *sync.Map // crank.RenewReport by worker ID
	left  *sync.Map // the same, of workers that left
}

func (w ghost) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	r, err := w.LeasedWorker.Renew(ctx, o)
	if crank.KindOf(err) == crank.KindRefused && err != nil {
		if last, ok := w.known.Load(w.id); ok {
			r = last.(crank.RenewReport)
			r.ClockMs = time.Now().UnixMilli() - r.StartTimeMs
			r.Ended = nil
			w.left.Store(w.id, r)
			time.Sleep(o.Wait)
			return r, nil
		}
	}
	if err == nil {
		w.known.Store(w.id, r)
	}
	return r, err
}

// twice sends some orders to another worker as well.
type twice struct {
	crank.LeasedWorker
	other crank.LeasedWorker
}

func (w twice) Start(ctx context.Context, o crank.RunOrder) (crank.OrderReply, error) {
	if hash(o.Task, o.Run, 0) < 0.05 {
		_, _ = w.other.Start(ctx, o)
	}
	return w.LeasedWorker.Start(ctx, o)
}

// forgetful shows some runs that are done as running.
type forgetful struct {
	crank.LeasedWorker
	dropped *sync.Map // crank.ActiveRun by worker ID and task
	id      string
}

func (w forgetful) Renew(ctx context.Context, o crank.RenewOrder) (crank.RenewReport, error) {
	r, err := w.LeasedWorker.Renew(ctx, o)
	if err != nil {
		return r, err
	}
	var kept []crank.EndedRun
	for _, e := range r.Ended {
		if e.Kind == crank.EndDone && hash(e.Task, e.Run, 0) < 0.1 {
			w.dropped.Store(w.id+" "+e.Task.String(), crank.ActiveRun{Task: e.Task, Run: e.Run, Percent: 99})
			continue
		}
		kept = append(kept, e)
	}
	r.Ended = kept
	w.dropped.Range(func(k, v any) bool {
		if strings.HasPrefix(k.(string), w.id+" ") {
			r.Active = append(r.Active, v.(crank.ActiveRun))
		}
		return true
	})
	return r, nil
}

// plant is a fault with the way in which the checks must find it.
type plant struct {
	apply     func(r *Rig)
	run       time.Duration                             // of a task, 0 for the site's
	violation string                                    // part of its text
	isLost    func(r *Rig, s crankfakewatch.Still) bool // where there is none
	change    func(s *crankfakesite.Site)               // may be nil
	site      string                                    // small-hall if empty
	way       string                                    // of all cut-offs of living workers, which alone are played; all of the plan if empty
}

func plants() map[string]plant {
	known, left := &sync.Map{}, &sync.Map{}
	return map[string]plant{
		"lease not waited for": {run: 11 * time.Second, violation: "has two active runs", apply: func(r *Rig) {
			r.fleet.UpdateConfig(func(c *crankfakefleet.Config) { c.Bounds.MaxLease += leaseExcess })
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, _ crank.WorkerEntry) crank.LeasedWorker { return longLease{w} }}
		}},
		"departure not seen": {run: 6 * time.Second, isLost: hasGhostRun(left), apply: func(r *Rig) {
			known.Clear()
			left.Clear()
			r.plants.Ghosts = true
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker { return ghost{w, e.ID, known, left} }}
		}},
		"order sent twice": {violation: "has two active runs", apply: func(r *Rig) {
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker {
				other, _ := r.machines[0].Current()
				if other.ID == e.ID {
					other, _ = r.machines[1].Current()
				}
				return twice{w, r.fleet.LeasedWorker(other)}
			}}
		}},
		"end dropped": {violation: "was started after its successful end was acknowledged", apply: func(r *Rig) {
			dropped := &sync.Map{}
			r.dialer = planted{r.fleet, func(w crank.LeasedWorker, e crank.WorkerEntry) crank.LeasedWorker { return forgetful{w, dropped, e.ID} }}
		}},
	}
}

// hasGhostRun returns whether a job that stood still had a run at a worker that left.
func hasGhostRun(left *sync.Map) func(r *Rig, s crankfakewatch.Still) bool {
	return func(_ *Rig, s crankfakewatch.Still) bool {
		found := false
		left.Range(func(_, report any) bool {
			found = found || slices.ContainsFunc(report.(crank.RenewReport).Active, func(a crank.ActiveRun) bool { return a.Task.Job == s.Job })
			return true
		})
		return found
	}
}

// isFound plays a seed until the fault is found.
func (p plant) isFound(t *testing.T, binary string, seed uint64) bool {
	site, err := crankfakesite.Read("../../examples/sites/" + cmp.Or(p.site, "small-hall") + ".ini")
	if err != nil {
		t.Fatal(err)
	}
	for n := range site.Classes {
		if p.run > 0 {
			site.Classes[n].Run, site.Classes[n].MaxRun = p.run, 2*p.run
		}
	}
	if p.change != nil {
		p.change(&site)
	}
	c := Config{Binary: binary, Site: site, Seed: seed, Directory: t.TempDir(), Logger: slog.New(slog.DiscardHandler)}
	if p.way != "" {
		c.Plan = cutOffs(site, seed, p.way)
	}
	rig, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	p.apply(rig)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	violated := func() bool {
		return p.violation != "" && slices.ContainsFunc(slices.Concat(rig.fleet.Violations(), rig.watch.Violations()), func(v string) bool { return strings.Contains(v, p.violation) })
	}
	go func() {
		for !violated() && sleep(ctx, tickPeriod) == nil {
		}
		stop()
	}()
	report, err := rig.Run(ctx)
	if violated() {
		return true
	}
	if err != nil {
		t.Fatal(err)
	}
	return p.isLost != nil && slices.ContainsFunc(report.Lost, func(s crankfakewatch.Still) bool { return p.isLost(rig, s) })
}

func TestPlantedFaultsAreFound(t *testing.T) {
	if !*runPlanted {
		t.Skip("without -planted")
	}
	binary := filepath.Join(t.TempDir(), "cranberrycrank")
	if out, err := exec.Command("go", "build", "-o", binary, "cranberrycrank/cmd/cranberrycrank").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	all := plants()
	maps.Copy(all, mixedPlants())
	maps.Copy(all, reachPlants())
	for name, p := range all {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(maxSeeds) {
				if p.isFound(t, binary, *firstSeed+seed) {
					t.Logf("%s: found with seed %d", name, *firstSeed+seed)
					return
				}
			}
			t.Errorf("not found within %d seeds", maxSeeds)
		})
	}
}
