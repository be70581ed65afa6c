// Package crankentryproof tests several entry instances together with a fake
// store and a fake fleet of leased workers, in virtual time and under random
// faults. It also tests the platform adapters against the fakes over HTTP.
package crankentryproof
