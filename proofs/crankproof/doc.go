// Package crankproof holds the tests of what must always hold: several entry
// instances in one process over the stand-ins of the platform, in virtual
// time, under faults.
package crankproof
