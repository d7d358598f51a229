// Package transport is the top layer: everything that touches a socket. Its
// packages carry out what package coordination decides.
package transport
