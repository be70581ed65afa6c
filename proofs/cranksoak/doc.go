// Package cranksoak runs entry instances as real processes against fakes of the
// platform. It signals the processes and disturbs their connections through TCP
// proxies, at random by a seed, and checks what callers and workers see.
package cranksoak
