// Package events defines the structured log events of a node. Each has a
// number, a level and named fields, and is written through logr. Numbers are
// stable and never reused. docs/EVENTS.md lists the events for operators.
package events
