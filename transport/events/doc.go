// Package events holds what a node logs: typed events, each with a number, a
// level and named fields, written through logr. The numbers never change their
// meaning. The catalogue for operators is docs/EVENTS.md.
package events
