// Package crankproof tests the system's invariants: several entry instances run
// in one process on stand-ins for the platform, in virtual time, under injected
// faults. What callers, operators and workers see goes into a history, and a
// checker looks for violations in it.
package crankproof
