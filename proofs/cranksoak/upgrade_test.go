package cranksoak

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"cranberrycrank/standin/crankfakeinstance"
	"cranberrycrank/standin/crankfakerig"
	"cranberrycrank/standin/crankfakesite"
	"cranberrycrank/standin/crankfakewatch"
)

const (
	logStarted  = `"entry: started"`
	logTaken    = `"sched: term taken over"`
	logNotTaken = `"sched: term not taken over"`
)

// Records of this version's live jobs keep an earlier version from leading. Instances are
// rolled forward and back, one after the other, while callers submit jobs.
func TestRollOutAndBack(t *testing.T) {
	t.Parallel()
	later := build(t)
	earlier := build(t, "-ldflags=-X cranberrycrank/internal/crankjobs.latestFormat=1")
	u := startUpgrade(t, earlier)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	var callers sync.WaitGroup
	callers.Go(func() { u.submitJobs(ctx) })
	u.roll(later)
	before := len(u.rig.Accepted())
	time.Sleep(2 * time.Second)
	if len(u.rig.Accepted()) == before {
		t.Error("no job was accepted after the roll out")
	}
	long := u.submitOne("00000009long", 10*time.Second)
	time.Sleep(time.Second)
	u.roll(earlier)
	stop()
	callers.Wait()
	time.Sleep(time.Second)
	first, declined := u.rig.Instances()[0], false
	for _, i := range u.rig.Instances() {
		text := u.log(i)
		declined = declined || strings.Contains(text, logNotTaken)
		if strings.Contains(text, logTaken) {
			t.Errorf("%s of the earlier version led", i.Name)
		}
	}
	if !declined {
		t.Error("no instance of the earlier version logged that it did not lead")
	}
	if state := u.rig.State(t.Context(), long, first); state != "queued" && state != "in_progress" {
		t.Errorf("the long job is %q; want it to hold the earlier version up", state)
	}
	u.replace(first, later)
	u.rig.AwaitEverywhere(t.Context(), u.rig.Accepted())
	if !strings.Contains(u.log(first), logTaken) {
		t.Error("the later version did not lead")
	}
	u.replace(first, earlier)
	u.submitOne("00000009last", time.Second)
	u.rig.AwaitEverywhere(t.Context(), u.rig.Accepted())
	report := u.rig.Report()
	report.Print(t.Output())
	if report.Broken() {
		t.Error("rules are broken")
	}
	if len(report.Unfinished) > 0 {
		t.Errorf("jobs not completed: %v", report.Unfinished)
	}
}

// upgrade is a site whose instances are rolled to other binaries.
type upgrade struct {
	t    *testing.T
	rig  *crankfakerig.Rig
	site crankfakesite.Site
}

func startUpgrade(t *testing.T, binary string) *upgrade {
	site, err := crankfakesite.Read("../../examples/sites/small-hall.ini")
	if err != nil {
		t.Fatal(err)
	}
	site.Bounds.LeadTime, site.Bounds.TrafficTime, site.Bounds.SettleTime = 2*time.Second, time.Minute, 45*time.Second
	site.Zones[1].Instances = site.Zones[1].Instances[:1]
	for n := range site.Zones {
		site.Zones[n].JobsPerSecond = 4
	}
	for n := range site.Classes {
		c := &site.Classes[n]
		c.Cancelled, c.Recurring, c.Failing, c.Lasting = 0, 0, 0, 0
	}
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, "upgrade")
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	rig, err := crankfakerig.New(crankfakerig.Config{
		Binary: binary, Site: site, Seed: 1, Directory: dir, Logger: slog.New(slog.NewTextHandler(t.Output(), nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(rig.Stop)
	if err := rig.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return &upgrade{t, rig, site}
}

// roll replaces the instances by those of another binary, one after the other.
func (u *upgrade) roll(binary string) {
	for _, i := range u.rig.Instances() {
		u.replace(i, binary)
		time.Sleep(time.Second)
	}
}

func (u *upgrade) replace(i *crankfakeinstance.Instance, binary string) {
	if err := u.rig.Replace(i, binary); err != nil {
		u.t.Fatal(err)
	}
}

// log returns what the current process of an instance has logged.
func (u *upgrade) log(i *crankfakeinstance.Instance) string {
	data, err := os.ReadFile(i.LogPath())
	if err != nil {
		u.t.Fatal(err)
	}
	text := string(data)
	return text[max(0, strings.LastIndex(text, logStarted)):]
}

// submitJobs submits the jobs of the traffic to one instance after the other until the
// context ends.
func (u *upgrade) submitJobs(ctx context.Context) {
	begun := time.Now()
	var callers sync.WaitGroup
	defer callers.Wait()
	for n, j := range u.site.Traffic(1) {
		select {
		case <-time.After(time.Until(begun.Add(j.At))):
		case <-ctx.Done():
			return
		}
		all := u.rig.Instances()
		callers.Go(func() { u.rig.Submit(ctx, j, all[n%len(all)]) })
	}
	u.t.Error("the traffic ended before the rolls")
}

// submitOne submits jobs of one task until one is accepted, and returns it.
func (u *upgrade) submitOne(prefix string, runTime time.Duration) crankfakesite.Job {
	for n, until := 0, time.Now().Add(15*time.Second); time.Now().Before(until); n++ {
		j := u.newJob(fmt.Sprintf("%s%04d", prefix, n), runTime)
		if u.rig.Submit(u.t.Context(), j, u.rig.Instances()[0]) == crankfakewatch.Accepted {
			return j
		}
		time.Sleep(200 * time.Millisecond)
	}
	u.t.Fatalf("no job %s was accepted", prefix)
	return crankfakesite.Job{}
}
