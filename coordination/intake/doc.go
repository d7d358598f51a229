// Package intake bounds the resources that the connections of callers use together, and
// decides which connection is closed when a bound is reached.
package intake
