// Package crankprocess holds the tests that run real processes on loopback:
// the program's own binary and the stand-ins of the platform, which are
// frozen, killed and cut off from each other.
package crankprocess
