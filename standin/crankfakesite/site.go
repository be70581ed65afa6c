// Package crankfakesite describes a site for the emulator: its instances, workers,
// traffic and bounds.
package crankfakesite

import (
	"reflect"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	crank "cranberrycrank"
)

// Site is the description of a site.
type Site struct {
	Bounds  Bounds
	Worker  Worker
	Sizes   map[string]Size // of instances
	Zones   []Zone
	Classes []Class
	Callers Callers
}

// Bounds are the times within which the site must do what it promises.
type Bounds struct {
	LeadTime     time.Duration `ini:"lead-time"`     // from the start of the instances to the traffic
	TrafficTime  time.Duration `ini:"traffic-time"`  // length of the main traffic
	RecoveryTime time.Duration `ini:"recovery-time"` // in which the traffic goes on after the last disturbance
	SettleTime   time.Duration `ini:"settle-time"`   // from the end of the traffic to the checks
	WatchTime    time.Duration `ini:"watch-time"`    // after SettleTime, at most
	StillTime    time.Duration `ini:"still-time"`    // that a job may have nothing running
	AnswerTime   time.Duration `ini:"answer-time"`   // of a caller's request
	CancelTime   time.Duration `ini:"cancel-time"`
	AckTime      time.Duration `ini:"ack-time"` // of a cancellation
	ConfigTime   time.Duration `ini:"config-time"`
	PendingTime  time.Duration `ini:"pending-time"` // from the acceptance of a job, after which it is shown as pending until it begins; 5s by default
	DrainTime    time.Duration `ini:"drain-time"`   // of a worker that leaves in order
	GraceTime    time.Duration `ini:"grace-time"`   // from SIGTERM to SIGKILL
	LongestLease time.Duration `ini:"longest-lease"`
	StopTime     time.Duration `ini:"stop-time"`
	GangTimeout  time.Duration `ini:"gang-timeout"`
	Heartbeat    time.Duration `ini:"heartbeat"`
	Workspaces   int           `ini:"workspaces"`
	// CrossRackSlowdown multiplies the time of a same-rack gang on several racks, and of a
	// task away from its data rack.
	CrossRackSlowdown float64 `ini:"cross-rack-slowdown"`
	GuaranteedShare   float64 `ini:"guaranteed-share"` // of the accelerators, half by default
}

// TrafficEnd returns the length of all traffic.
func (b Bounds) TrafficEnd() time.Duration { return b.TrafficTime + b.RecoveryTime }

// Lease returns the bounds of leases.
func (b Bounds) Lease() crank.LeaseBounds {
	return crank.LeaseBounds{MaxLease: b.LongestLease, StopTime: b.StopTime, GangTimeout: b.GangTimeout, Heartbeat: b.Heartbeat}
}

// Worker describes the workers.
type Worker struct {
	MilliCores   int       `ini:"milli-cores"`
	MemoryMiB    int       `ini:"memory-mib"`
	Accelerators int       `ini:"accelerators"`
	RackSize     int       `ini:"rack-size"`
	Kinds        []string  `ini:"kinds"`  // labels, one for each worker in turn; a by default
	Speeds       []float64 `ini:"speeds"` // choices, 1 by default
}

// Callers describes what callers do beside submitting a job and asking for it.
type Callers struct {
	Patient     float64       `ini:"patient"` // share that wait for PatientTime instead of the answer time
	PatientTime time.Duration `ini:"patient-time"`
	LostAnswers float64       `ini:"lost-answers"` // share of the submissions whose acceptance is lost
	Repeats     float64       `ini:"repeats"`      // share of the accepted jobs that are submitted again
	RepeatTime  time.Duration `ini:"repeat-time"`  // after the acceptance, at most
}

// Size is the share of a core and the memory of an instance.
type Size struct {
	Share     float64 `ini:"processor-share"`
	MemoryMiB int     `ini:"memory-mib"`
}

// Zone is an availability zone.
type Zone struct {
	Name          string
	Instances     []string `ini:"instances"` // their sizes
	Workers       int      `ini:"workers"`
	JobsPerSecond float64  `ini:"jobs-per-second"`
}

// Class is a class of jobs.
type Class struct {
	Name         string
	Weight       float64       `ini:"weight"` // of the traffic
	Priority     int           `ini:"priority"`
	Attempts     int           `ini:"attempts"`
	Slack        float64       `ini:"slack"`
	Target       time.Duration `ini:"target"`
	Steps        float64       `ini:"steps"` // mean
	MaxSteps     int           `ini:"max-steps"`
	Tasks        float64       `ini:"tasks"` // mean of a step
	MaxTasks     int           `ini:"max-tasks"`
	Run          time.Duration `ini:"run-time"` // mean of a task
	MaxRun       time.Duration `ini:"max-run-time"`
	MilliCores   int           `ini:"milli-cores"`
	MemoryMiB    int           `ini:"memory-mib"`
	Accelerators []int         `ini:"accelerators"` // choices
	Gang         float64       `ini:"gang"`         // shares of the jobs from here on
	SameRack     float64       `ini:"same-rack"`
	Checkpoints  float64       `ini:"checkpoints"`
	Cancelled    float64       `ini:"cancelled"`
	Recurring    float64       `ini:"recurring"`
	Failing      float64       `ini:"failing"` // of the runs
	Times        int           `ini:"times"`   // occurrences of recurring jobs
	Every        time.Duration `ini:"every"`
	DataRack     float64       `ini:"data-rack"`     // of the steps
	NeedsKind    float64       `ini:"needs-kind"`    // of the steps
	Apart        float64       `ini:"apart"`         // of the steps without a gang, with a limit of tasks per worker
	Poisoned     float64       `ini:"poisoned"`      // whose tasks always fail
	Uneven       float64       `ini:"uneven"`        // deviation of the logarithms of the tasks' times
	Misjudged    float64       `ini:"misjudged"`     // the same of the estimates
	Lasting      int           `ini:"lasting"`       // jobs that last, submitted first
	Services     int           `ini:"services"`      // jobs with a latency step and a best-effort step that last
	ServiceTasks float64       `ini:"service-tasks"` // mean of a step
	Latency      time.Duration `ini:"latency"`
}

// Read reads the description of a site.
func Read(path string) (Site, error) {
	const op = "site read"
	f, err := ini.Load(path)
	if err != nil {
		return Site{}, crank.Wrap(op, crank.KindInvalid, err)
	}
	s := Site{Sizes: make(map[string]Size), Bounds: Bounds{GuaranteedShare: 0.5, PendingTime: 5 * time.Second}, Worker: Worker{Kinds: []string{"a"}, Speeds: []float64{1}}}
	for _, sec := range f.Sections() {
		kind, name, _ := strings.Cut(sec.Name(), " ")
		switch kind {
		case "bounds":
			err = mapSection(sec, &s.Bounds)
		case "callers":
			err = mapSection(sec, &s.Callers)
		case "worker":
			err = mapSection(sec, &s.Worker)
		case "size":
			size := Size{}
			err = mapSection(sec, &size)
			s.Sizes[name] = size
		case "zone":
			z := Zone{Name: name}
			err = mapSection(sec, &z)
			s.Zones = append(s.Zones, z)
		case "class":
			c := Class{Name: name}
			err = mapSection(sec, &c)
			s.Classes = append(s.Classes, c)
		case ini.DefaultSection:
		default:
			err = crank.Fail(op, crank.KindInvalid, "unknown section %q", sec.Name())
		}
		if err != nil {
			return Site{}, err
		}
	}
	return s, s.check()
}

func mapSection(sec *ini.Section, to any) error {
	const op = "site read"
	known := make(map[string]bool)
	t := reflect.TypeOf(to).Elem()
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("ini")] = true
	}
	for _, k := range sec.KeyStrings() {
		if !known[k] {
			return crank.Fail(op, crank.KindInvalid, "unknown key %q in section %q", k, sec.Name())
		}
	}
	return crank.Wrap(op, crank.KindInvalid, sec.StrictMapTo(to))
}

func (s Site) check() error {
	const op = "site check"
	if len(s.Zones) == 0 || len(s.Classes) == 0 || s.Worker.RackSize < 1 || len(s.Worker.Kinds) == 0 || len(s.Worker.Speeds) == 0 || s.Bounds.Workspaces < 1 {
		return crank.Fail(op, crank.KindInvalid, "zones, classes, workspaces, kinds and speeds of workers and the rack size are required")
	}
	for _, z := range s.Zones {
		for _, name := range z.Instances {
			if _, ok := s.Sizes[name]; !ok {
				return crank.Fail(op, crank.KindInvalid, "zone %q has instances of the unknown size %q", z.Name, name)
			}
		}
	}
	return nil
}
