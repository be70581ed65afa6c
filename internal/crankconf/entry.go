package crankconf

import (
	"log/slog"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankguard"
)

// EntrySettings are the settings of an entry instance that schedules on leased
// workers (the entry command). Addresses have the form IP:port.
type EntrySettings struct {
	Instance        string
	Zone            string
	Listen          string  // callers
	ReadyListen     string  // the load balancer's readiness probe
	PeerListen      string  // other entry instances
	MetricsPort     int     // on the IP address of Listen
	ProcessorShare  float64 // processors that the process may use
	MemoryMiB       int     // that the process may use
	Descriptors     int     // that the process may open, 0 if not known
	LinkMbps        float64 // of the machine's link, 0 if not known
	StoreAddr       string  // the platform's store
	StoreLimits     crank.StoreLimits
	ConfigBound     time.Duration // within which a published configuration must be in force
	LeaseBounds     crank.LeaseBounds
	Planning        crank.Planning
	ResultRetention time.Duration // of the state of ended jobs
	DrainTimeout    time.Duration // from SIGTERM to the exit of the process
	Guard           crankguard.Settings
	LogLevel        slog.Level
}

// ReadEntrySettings reads a settings file. The error is an *Error that lists all
// faults.
func ReadEntrySettings(path string) (EntrySettings, error) {
	text, err := readSettingsFile(path)
	if err != nil {
		return EntrySettings{}, err
	}
	return ParseEntrySettings(path, text)
}

// Defaults and limits of the settings.
const (
	defaultMetricsPort = 7010
	maxPort            = 65535
	minProcessorShare  = 0.001
	maxProcessorShare  = 1024
	defaultMemoryMiB   = 256
	minMemoryMiB       = 32
	minDescriptors     = 256 // of which 200 are left for files
	maxDescriptors     = 1 << 30
	minLinkMbps        = 0.1
	maxLinkMbps        = 1e6
	maxLease           = 10 * time.Minute
	maxDrain           = 10 * time.Minute
	maxRetention       = 14 * 24 * time.Hour
	defaultRecordBytes = 256 << 10
	defaultCallBytes   = 2 << 20
	minStoreBytes      = 4 << 10
	maxStoreBytes      = 1 << 30
	// Where tasks save their progress at least this often, a stop loses little, so that the
	// planner may choose between stopping work and waiting for it.
	maxAdaptiveInterval = 1 * time.Second
)

// ParseEntrySettings parses the text of a settings file. The file name appears
// only in faults.
func ParseEntrySettings(file, text string) (EntrySettings, error) {
	d := parseDocument(file, text)
	d.sectionNames("instance", "platform", "workers", "planning", "running", "guard", "logging")
	instance := d.section("instance")
	platform := d.section("platform")
	workers := d.section("workers")
	planning := d.section("planning")
	running := d.section("running")
	guard := d.section("guard")
	logging := d.section("logging")
	s := EntrySettings{
		Instance:       instance.externalName("id"),
		Zone:           instance.externalName("zone"),
		Listen:         instance.address("listen"),
		ReadyListen:    instance.address("ready-listen"),
		PeerListen:     instance.address("peer-listen"),
		MetricsPort:    instance.integer("metrics-port", defaultMetricsPort, 1, maxPort),
		ProcessorShare: instance.number("processor-share", 1, minProcessorShare, maxProcessorShare),
		MemoryMiB:      instance.memory("memory", defaultMemoryMiB, minMemoryMiB, maxMemoryMiB),
		Descriptors:    instance.optionalInteger("descriptors", minDescriptors, maxDescriptors),
		LinkMbps:       instance.optionalNumber("link-mbps", minLinkMbps, maxLinkMbps),
		StoreAddr:      platform.address("store"),
		StoreLimits:    platform.storeLimits(),
		ConfigBound:    platform.duration("config-bound", 2*time.Second, time.Second, time.Hour),
		LeaseBounds: crank.LeaseBounds{
			MaxLease:    workers.duration("longest-lease", 0, 500*time.Millisecond, maxLease),
			StopTime:    workers.duration("stop-time", 0, time.Millisecond, time.Minute),
			GangTimeout: workers.duration("gang-timeout", 0, 100*time.Millisecond, 10*time.Minute),
			Heartbeat:   workers.duration("heartbeat", 0, 0, time.Minute),
		},
		Planning:        planning.planning(),
		ResultRetention: running.duration("result-retention", 2*time.Minute, time.Second, maxRetention),
		DrainTimeout:    running.duration("drain-timeout", 5*time.Second, 500*time.Millisecond, maxDrain),
		Guard:           guard.guard(entryGuardTimes),
		LogLevel:        logLevels[logging.choice("level", "info", "debug", "info", "warn", "error")],
	}
	for _, sec := range []*section{instance, platform, workers, planning, running, guard, logging} {
		sec.reportUnknownKeys()
	}
	if len(d.faults) > 0 {
		return EntrySettings{}, &Error{Op: "settings check", Faults: d.faults}
	}
	return s, nil
}

// planning reads how the planner decides under load.
func (s *section) planning() crank.Planning {
	p := crank.Planning{
		CheckpointInterval: s.duration("checkpoint-interval", 0, 0, time.Hour),
		RestoreTime:        s.duration("restore-time", 0, 0, time.Hour),
	}
	switch s.choice("policy", "auto", "auto", "standard", "adaptive") {
	case "adaptive":
		p.Adaptive = true
	case "auto":
		p.Adaptive = p.CheckpointInterval > 0 && p.CheckpointInterval <= maxAdaptiveInterval
	}
	return p
}

// storeLimits reads the limits on the size of an append.
func (s *section) storeLimits() crank.StoreLimits {
	l := crank.StoreLimits{
		RecordBytes: s.integer("max-record-bytes", defaultRecordBytes, minStoreBytes, maxStoreBytes),
		CallBytes:   s.integer("max-call-bytes", defaultCallBytes, minStoreBytes, maxStoreBytes),
	}
	if l.CallBytes < l.RecordBytes {
		s.fault("max-call-bytes", "%d is below max-record-bytes, %d", l.CallBytes, l.RecordBytes)
	}
	return l
}
