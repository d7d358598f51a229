package events

import (
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// NodeStarted is logged when a node listens at all of its addresses.
type NodeStarted struct {
	Host      state.HostName         `event:"host"`
	Zone      state.AvailabilityZone `event:"zone"`
	Peers     string                 `event:"peers"`
	Callers   string                 `event:"callers"`
	Operators string                 `event:"operators"`
	Version   string                 `event:"version"`
}

// Kind returns the description of the event.
func (NodeStarted) Kind() Kind {
	return Kind{101, LevelInfo, "node-started", "The node listens at the given addresses."}
}

// NodeReady is logged when a node starts to serve callers.
type NodeReady struct {
	Ticket state.TicketNumber `event:"ticket"`
	After  time.Duration      `event:"after"`
}

// Kind returns the description of the event.
func (NodeReady) Kind() Kind {
	return Kind{102, LevelInfo, "node-ready", "The node has a configuration and serves callers."}
}

// NodeLeaving is logged at the start of a graceful shutdown.
type NodeLeaving struct {
	Grace time.Duration `event:"grace"`
}

// Kind returns the description of the event.
func (NodeLeaving) Kind() Kind {
	return Kind{103, LevelInfo, "node-leaving", "The node accepts no new calls and finishes the running ones, for at most the grace period."}
}

// NodeStopped is logged at the end of a graceful shutdown.
type NodeStopped struct {
	// Error is empty when every call finished.
	Error string `event:"error"`
}

// Kind returns the description of the event.
func (NodeStopped) Kind() Kind {
	return Kind{104, LevelInfo, "node-stopped", "The node has stopped. The error is empty when every call was finished."}
}

// NodePaused is logged when a timer fires late, for example after the process
// was suspended or starved of CPU.
type NodePaused struct {
	Delay time.Duration `event:"late"`
}

// Kind returns the description of the event.
func (NodePaused) Kind() Kind {
	return Kind{105, LevelError, "node-paused", "A timer fired late: the process was suspended or starved of CPU. The node revalidates its state before it continues."}
}

// SettingsReloaded is logged when changed settings were read and applied.
type SettingsReloaded struct {
	// Changed lists the fields of the settings file whose values changed.
	Changed []string `event:"changed"`
}

// Kind returns the description of the event.
func (SettingsReloaded) Kind() Kind {
	return Kind{106, LevelInfo, "settings-reloaded", "The settings were reloaded. Of the changed fields, those that may change while the node runs are applied."}
}

// SettingsInForce is logged at the start of a node whose settings come from the
// platform.
type SettingsInForce struct {
	Node    string `event:"node"`
	Service string `event:"service"`
	// Source is the address of the platform's store.
	Source string `event:"source"`
	// Cores and MemoryMB are the CPU and memory limits of the Go runtime.
	Cores    int   `event:"cores"`
	MemoryMB int64 `event:"memory_mb"`
	// Grace is the time between the request to stop and the forced stop.
	Grace time.Duration `event:"grace"`
	// RetryShare and RetrySlack are the parameters of the fleet's retry
	// budget.
	RetryShare  float64 `event:"retry_share"`
	RetrySlack  float64 `event:"retry_slack"`
	PeerPort    int     `event:"peer_port"`
	MetricsPort int     `event:"metrics_port"`
}

// Kind returns the description of the event.
func (SettingsInForce) Kind() Kind {
	return Kind{108, LevelInfo, "settings-in-force", "The settings that the node uses from its start on."}
}

// SettingsRejected is logged when changed settings are invalid.
type SettingsRejected struct {
	Error error `event:"error"`
}

// Kind returns the description of the event.
func (SettingsRejected) Kind() Kind {
	return Kind{107, LevelError, "settings-rejected", "The changed settings are invalid; the previous ones stay in force."}
}
