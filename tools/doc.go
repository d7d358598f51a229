// Package tools pins the versions of the formatter and the code generators in its
// go.mod. No package imports it.
package tools
