// Package crank defines the types and interfaces shared by all packages of
// cranberrycrank. It covers two modes of operation:
//
//   - Log, List and Worker, with Config, Shape and Policy: all entry instances
//     apply one event log, and a planner places attempts of jobs on workers.
//   - Store and LeasedWorker, with QueueConfig, StepJob and Demand: jobs are
//     graphs of steps, and each worker holds one lease for all of its tasks.
//
// The package does no I/O. Implementations are in internal/ and platform/, and
// fakes for tests are in standin/.
package crank
