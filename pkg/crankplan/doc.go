// Package crankplan decides which jobs run where.
//
// Its policies are pure functions of a crank.Round: they read no clock, do no
// I/O and start no goroutines. Guarded is the policy that the product uses;
// FirstFit and BestFit are the baselines that it is measured against.
package crankplan
