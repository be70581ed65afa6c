// Package crankuptime reads the boot-time clock, which keeps running while the
// machine is suspended.
package crankuptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Read returns the time since the machine booted, including time spent suspended.
// It implements crank.Uptime.
func Read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started) // no boot-time clock on this system
	}
	return time.Duration(t.Nano())
}

var started = time.Now()
