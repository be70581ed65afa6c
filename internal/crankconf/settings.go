package crankconf

import (
	"log/slog"
	"os"
	"time"
)

// Settings are the settings of one process.
type Settings struct {
	Instance       string
	Zone           string
	Listen         string // callers and operators
	PeerListen     string // other entry instances
	Log            string // the platform's log
	List           string // the platform's instance list
	OperatorKey    string
	PeerKey        string
	LogLevel       slog.Level
	LogJSON        bool
	DrainNotice    time.Duration // from not ready to the end of listening
	DrainTimeout   time.Duration // for requests under way
	SnapshotPeriod time.Duration
}

// ReadSettings reads the settings of a process from a file. The error is an
// *Error that lists every fault.
func ReadSettings(path string) (Settings, error) {
	text, err := readText(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, text)
}

// readText reads a file of settings.
func readText(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", &Error{Op: "settings read", Faults: []Fault{{File: path, Message: err.Error()}}}
	}
	return string(text), nil
}

// ParseSettings reads settings from the text of a file.
func ParseSettings(file, text string) (Settings, error) {
	d := parse(file, text)
	d.named("instance", "platform", "access", "logging", "running")
	instance := d.section("instance")
	platform := d.section("platform")
	access := d.section("access")
	logging := d.section("logging")
	running := d.section("running")
	s := Settings{
		Instance:       instance.requiredName("id"),
		Zone:           instance.requiredName("zone"),
		Listen:         instance.address("listen"),
		PeerListen:     instance.address("peer-listen"),
		Log:            platform.address("log"),
		List:           platform.address("list"),
		OperatorKey:    access.secret("operator-key"),
		PeerKey:        access.secret("peer-key"),
		LogLevel:       levels[logging.choice("level", "info", "debug", "info", "warn", "error")],
		LogJSON:        logging.choice("format", "text", "text", "json") == "json",
		DrainNotice:    running.duration("drain-notice", 2*time.Second, 0, time.Minute),
		DrainTimeout:   running.duration("drain-timeout", 30*time.Second, time.Second, 10*time.Minute),
		SnapshotPeriod: running.duration("snapshot-period", 5*time.Minute, time.Second, 24*time.Hour),
	}
	for _, sec := range []*section{instance, platform, access, logging, running} {
		sec.finish()
	}
	if len(d.faults) > 0 {
		return Settings{}, &Error{Op: "settings check", Faults: d.faults}
	}
	return s, nil
}

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}
