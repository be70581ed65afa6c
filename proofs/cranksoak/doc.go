// Package cranksoak plays plans of random disturbances at an emulated site with
// real processes.
package cranksoak
