// Package faults proves the promises of the system under failure. It runs real
// nodes on an in-memory network, injects one fault at one step of a ticket's
// or call's life, and lets one checker judge what callers, backend servers,
// the platform and operators have seen. It is made for testing/synctest: all
// its waiting is virtual time.
package faults
