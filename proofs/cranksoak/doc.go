// Package cranksoak runs entry instances as real processes against stand-ins of
// the platform, injects drawn faults from outside them, and checks what callers
// and workers see.
package cranksoak
