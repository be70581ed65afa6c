// Package crankentryproof tests entry instances with a fake store and a fake fleet
// of leased workers, in virtual time and under random faults, and the platform
// adapters against the fakes over HTTP.
package crankentryproof
