// Package crank defines the types and interfaces shared by all packages of
// cranberrycrank. It covers two modes of operation:
//
//   - In the serve command all entry instances apply one event log, and a planner
//     places attempts of jobs on workers (Log, Worker, Config, Shape, Policy).
//   - In the entry command jobs are graphs of steps, kept in a key-value store, and
//     each worker has one lease for all of its tasks (Store, LeasedWorker,
//     QueueConfig, StepJob, Demand).
//
// The package does no I/O. Implementations are in internal/ and platform/, and
// fakes for tests are in standin/.
package crank
