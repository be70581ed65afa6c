package crankconf

import (
	"time"

	"cranberrycrank/internal/crankguard"
)

// Defaults and limits of the section guard.
const (
	defaultHeadBytes       = 16 << 10
	defaultSmallBytes      = 16 << 10
	defaultReceiveBuffer   = 16 << 10
	defaultEmptyLines      = 4
	defaultReservedPercent = 25
	defaultProbes          = 64
	maxGuardConnections    = 1 << 20
	minReceiveBuffer       = 4 << 10
	maxReceiveBuffer       = 16 << 20
	maxHeadBytes           = 1 << 20
	maxGuardTime           = time.Hour
)

// guardTimes are the defaults of times, which differ between the commands.
type guardTimes struct {
	header, idle, body, progress time.Duration
}

// Callers of the entry command wait 3 s for an answer; those of serve can send a
// configuration over a slow line.
var (
	entryGuardTimes = guardTimes{header: 3 * time.Second, idle: 15 * time.Second, body: 3 * time.Second, progress: 2 * time.Second}
	serveGuardTimes = guardTimes{header: 5 * time.Second, idle: 2 * time.Minute, body: 15 * time.Second, progress: 5 * time.Second}
)

// guard reads the limits of callers' connections and requests.
func (s *section) guard(t guardTimes) crankguard.Settings {
	return crankguard.Settings{
		Connections:      s.integer("connections", 0, 0, maxGuardConnections),
		PeerConnections:  s.integer("peer-connections", 0, 0, maxGuardConnections),
		ProbeConnections: s.integer("probe-connections", defaultProbes, 1, maxGuardConnections),
		RequestMemoryMiB: s.memory("request-memory", 0, 1, maxMemoryMiB),
		ReservedPercent:  s.integer("reserved-percent", defaultReservedPercent, 0, 90),
		SmallBytes:       s.integer("small-body-bytes", defaultSmallBytes, 0, maxHeadBytes),
		HeadBytes:        s.integer("head-bytes", defaultHeadBytes, 1<<10, maxHeadBytes),
		EmptyLines:       s.integer("empty-lines", defaultEmptyLines, 0, 1<<10),
		HeaderTimeout:    s.duration("header-timeout", t.header, 100*time.Millisecond, maxGuardTime),
		IdleTimeout:      s.duration("idle-timeout", t.idle, 100*time.Millisecond, maxGuardTime),
		BodyTimeout:      s.duration("body-timeout", t.body, 100*time.Millisecond, maxGuardTime),
		ProgressTimeout:  s.duration("progress-timeout", t.progress, 100*time.Millisecond, maxGuardTime),
		ReceiveBuffer:    s.integer("receive-buffer-bytes", defaultReceiveBuffer, minReceiveBuffer, maxReceiveBuffer),
	}
}
