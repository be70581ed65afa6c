// Package crank holds the types and interfaces that every other package of
// cranberrycrank shares: the platform's log, instance list and workers, and
// the profiles, workspaces and jobs that are scheduled on them.
//
// The package does no I/O. Implementations live below internal/ and, for
// tests, below standin/.
package crank
