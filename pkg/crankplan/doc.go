// Package crankplan decides which jobs run where.
//
// A policy takes a crank.Round, a snapshot of the workers, the waiting jobs, the
// active attempts and the workspaces, and returns crank.Decisions. Policies are
// pure functions: they read no clock, do no I/O and start no goroutines.
//
// GuaranteePolicy is used in production. After each of its placements every
// guaranteed cell that had a place can still be claimed, by evicting only
// attempts that may be stopped. FirstFit and BestFit are the baselines that it
// is measured against.
package crankplan
