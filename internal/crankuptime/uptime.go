// Package crankuptime reads the clock that keeps running while the machine is
// suspended.
package crankuptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Read returns the time since the machine's start, suspension included. It
// implements crank.Uptime.
func Read() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(started) // a system without that clock
	}
	return time.Duration(t.Nano())
}

var started = time.Now()
