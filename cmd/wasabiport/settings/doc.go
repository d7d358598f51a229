// Package settings reads the settings of the wasabiport command from flags and
// environment variables, and validates them before a node is started.
package settings
