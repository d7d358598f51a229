// Package tools pins the versions of the programs that check and generate the
// code. Nothing imports it.
package tools
