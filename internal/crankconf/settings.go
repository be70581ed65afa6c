package crankconf

import (
	"log/slog"
	"os"
	"time"

	"cranberrycrank/internal/crankguard"
)

// Settings are the settings of an entry instance that schedules through the
// platform's log (the serve command). Addresses have the form IP:port.
type Settings struct {
	Instance         string
	Zone             string
	Listen           string // callers and operators
	PeerListen       string // other entry instances
	MemoryMiB        int    // that the process may use
	LogAddr          string // the platform's log
	InstanceListAddr string // the platform's instance list
	OperatorKey      string
	PeerKey          string
	LogLevel         slog.Level
	LogJSON          bool
	DrainNotice      time.Duration // from reporting not ready to closing the listeners
	DrainTimeout     time.Duration // for requests in progress
	SnapshotPeriod   time.Duration
	Guard            crankguard.Settings
}

// ReadSettings reads a settings file. The error is an *Error that lists all
// faults.
func ReadSettings(path string) (Settings, error) {
	text, err := readSettingsFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, text)
}

func readSettingsFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "settings read", Faults: []Fault{{File: path, Message: err.Error()}}}
	}
	return string(text), nil
}

// ParseSettings parses the text of a settings file. The file name appears only in
// faults.
func ParseSettings(file, text string) (Settings, error) {
	d := parseDocument(file, text)
	d.sectionNames("instance", "platform", "access", "logging", "running", "guard")
	instance := d.section("instance")
	platform := d.section("platform")
	access := d.section("access")
	logging := d.section("logging")
	running := d.section("running")
	guard := d.section("guard")
	s := Settings{
		Instance:         instance.requiredName("id"),
		Zone:             instance.requiredName("zone"),
		Listen:           instance.address("listen"),
		PeerListen:       instance.address("peer-listen"),
		MemoryMiB:        instance.memory("memory", defaultMemoryMiB, minMemoryMiB, maxMemoryMiB),
		LogAddr:          platform.address("log"),
		InstanceListAddr: platform.address("list"),
		OperatorKey:      access.secret("operator-key"),
		PeerKey:          access.secret("peer-key"),
		LogLevel:         logLevels[logging.choice("level", "info", "debug", "info", "warn", "error")],
		LogJSON:          logging.choice("format", "text", "text", "json") == "json",
		DrainNotice:      running.duration("drain-notice", 2*time.Second, 0, time.Minute),
		DrainTimeout:     running.duration("drain-timeout", 30*time.Second, time.Second, 10*time.Minute),
		SnapshotPeriod:   running.duration("snapshot-period", 5*time.Minute, time.Second, 24*time.Hour),
		Guard:            guard.guard(serveGuardTimes),
	}
	for _, sec := range []*section{instance, platform, access, logging, running, guard} {
		sec.reportUnknownKeys()
	}
	if len(d.faults) > 0 {
		return Settings{}, &Error{Op: "settings check", Faults: d.faults}
	}
	return s, nil
}

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}
