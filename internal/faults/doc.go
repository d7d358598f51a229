// Package faults tests the guarantees of the system under failure. It runs real
// nodes on an in-memory network, injects one or two faults at one step of a
// ticket's or call's life, and evaluates what callers, backend servers, the
// platform and operators have observed with a single checker. It is designed
// for testing/synctest: every wait is in virtual time.
package faults
