// Package crankproof tests the system's invariants: it runs several entry
// instances in one process on stand-ins for the platform, in virtual time
// (testing/synctest), and injects faults. Callers, operators and workers record
// what they see in a history, and a checker looks for violations in it.
package crankproof
