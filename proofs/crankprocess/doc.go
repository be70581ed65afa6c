// Package crankprocess tests real processes on loopback: the program's own binary
// and the stand-ins for the platform. The tests suspend and kill processes and
// break the connections between them.
package crankprocess
