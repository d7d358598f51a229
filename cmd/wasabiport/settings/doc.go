// Package settings reads the settings of the wasabiport command from flags and
// environment variables and checks them before anything starts.
package settings
