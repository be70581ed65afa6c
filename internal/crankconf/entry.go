package crankconf

import (
	"log/slog"
	"time"

	crank "cranberrycrank"
)

// EntrySettings are the settings of an entry instance in front of leased
// workers.
type EntrySettings struct {
	Instance     string
	Zone         string
	Listen       string  // callers
	ReadyListen  string  // the balancer's checks
	PeerListen   string  // other instances
	MetricsPort  int     // on the address of Listen
	Share        float64 // of a processor that the process may use
	Store        string  // the platform's store
	Bounds       crank.LeaseBounds
	Retention    time.Duration // ended jobs are told for so long
	DrainTimeout time.Duration // between a SIGTERM and the end of the process
	LogLevel     slog.Level
}

// ReadEntrySettings reads settings from a file. The error is an *Error that
// lists every fault.
func ReadEntrySettings(path string) (EntrySettings, error) {
	text, err := readText(path)
	if err != nil {
		return EntrySettings{}, err
	}
	return ParseEntrySettings(path, text)
}

// Standard values and limits of the settings.
const (
	defaultMetricsPort = 7010
	maxPort            = 65535
	minShare           = 0.001
	maxShare           = 1024
	maxLease           = 10 * time.Minute
	maxDrain           = 10 * time.Minute
	maxRetention       = 14 * 24 * time.Hour
)

// ParseEntrySettings reads settings from the text of a file.
func ParseEntrySettings(file, text string) (EntrySettings, error) {
	d := parse(file, text)
	d.named("instance", "platform", "workers", "running", "logging")
	instance := d.section("instance")
	platform := d.section("platform")
	workers := d.section("workers")
	running := d.section("running")
	logging := d.section("logging")
	s := EntrySettings{
		Instance:    instance.word("id"),
		Zone:        instance.word("zone"),
		Listen:      instance.address("listen"),
		ReadyListen: instance.address("ready-listen"),
		PeerListen:  instance.address("peer-listen"),
		MetricsPort: instance.integer("metrics-port", defaultMetricsPort, 1, maxPort),
		Share:       instance.fraction("processor-share", 1, minShare, maxShare),
		Store:       platform.address("store"),
		Bounds: crank.LeaseBounds{
			HoldLimit:   workers.duration("longest-lease", 0, 500*time.Millisecond, maxLease),
			StopTime:    workers.duration("stop-time", 0, time.Millisecond, time.Minute),
			GangTimeout: workers.duration("gang-timeout", 0, 100*time.Millisecond, 10*time.Minute),
		},
		Retention:    running.duration("result-retention", 2*time.Minute, time.Second, maxRetention),
		DrainTimeout: running.duration("drain-timeout", 5*time.Second, 500*time.Millisecond, maxDrain),
		LogLevel:     levels[logging.choice("level", "info", "debug", "info", "warn", "error")],
	}
	for _, sec := range []*section{instance, platform, workers, running, logging} {
		sec.finish()
	}
	if len(d.faults) > 0 {
		return EntrySettings{}, &Error{Op: "settings check", Faults: d.faults}
	}
	return s, nil
}
