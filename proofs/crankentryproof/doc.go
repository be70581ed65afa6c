// Package crankentryproof proves the promises of entry instances in front of
// leased workers, in virtual time and under drawn faults.
package crankentryproof
