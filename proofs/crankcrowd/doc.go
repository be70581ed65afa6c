// Package crankcrowd plays crowds of misbehaving callers at real processes, which must
// live on within their memory and still answer ordinary callers.
package crankcrowd
