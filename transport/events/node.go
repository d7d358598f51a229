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

// NodeLeaving is logged at the start of a graceful shutdown. All times are counted from
// then. They are nil if calls may take as long as they like.
type NodeLeaving struct {
	// Grace is the time at which the node ends the calls that it still has.
	Grace *time.Duration `event:"grace"`
	// Drain is the time from which the guard takes no calls.
	Drain time.Duration `event:"drain"`
	// Withdraw is the time at which calls that wait for a slot are withdrawn. Calls that
	// come later and could run at LastReply are refused.
	Withdraw *time.Duration `event:"withdraw"`
	// LastReply is the time at which calls of callers without an answer are broken off.
	LastReply *time.Duration `event:"last_reply"`
}

// Kind returns the description of the event.
func (NodeLeaving) Kind() Kind {
	return Kind{103, LevelInfo, "node-leaving", "The node has begun to leave. It still takes calls. The fields are times from now on: at drain its guard stops to take calls, and its listener of callers closes when the guard has none left; at withdraw calls that wait for a slot are withdrawn, and from then on calls that could run at last_reply are refused; at last_reply calls of callers without an answer are broken off; at grace the node ends whatever still runs. Empty times mean that no call is broken off."}
}

// NodeStopped is logged at the end of a graceful shutdown. All times are counted from the
// beginning of the leaving.
type NodeStopped struct {
	// Error is empty when no call was running at the end. Calls that were broken off
	// earlier are not an error.
	Error string        `event:"error"`
	Took  time.Duration `event:"took"`
	// ListenerClosed is the time at which the listener of callers was closed.
	ListenerClosed time.Duration `event:"listener_closed"`
	// Before is the number of calls of callers that ran when the node began to leave. Taken
	// are those that it took afterwards, LastTaken the time at which the last of them came.
	Before    int64         `event:"before"`
	Taken     int64         `event:"taken"`
	LastTaken time.Duration `event:"last_taken"`
	// The following are the numbers of calls of callers by result.
	Answered   int64 `event:"answered"`
	TooLate    int64 `event:"refused"`
	Withdrawn  int64 `event:"withdrawn"`
	BrokenOff  int64 `event:"broken_off"`
	Expired    int64 `event:"expired"`
	Failed     int64 `event:"failed"`
	Cut        int64 `event:"cut"`
	CallerLeft int64 `event:"caller_left"`
	Other      int64 `event:"other"`
	// Unfinished is the number of calls of callers that the end of the node broke off.
	Unfinished int64 `event:"unfinished"`
	// PeersTaken is the number of calls of other nodes that got their slot at the guard
	// since the node began to leave, PeersLastTaken the time of the last of them, and
	// PeersAtDrain the number of those that ran when the guard began to drain. The end of
	// the node broke off PeersBrokenOff of them.
	PeersTaken     int64         `event:"peers_taken"`
	PeersLastTaken time.Duration `event:"peers_last_taken"`
	PeersAtDrain   int64         `event:"peers_at_drain"`
	PeersBrokenOff int64         `event:"peers_broken_off"`
	// Suppressed is the number of lines on calls that limits suppressed since the latest
	// line of the same kind, and Dropped that of the lines lost since the start of the
	// process as the output was slow or closed.
	Suppressed int64 `event:"left_out"`
	Dropped    int64 `event:"dropped"`
}

// Kind returns the description of the event.
func (NodeStopped) Kind() Kind {
	return Kind{104, LevelInfo, "node-stopped", "The node has stopped. Times are counted from the beginning of the leaving. The error is empty when no call was running at the end; calls that were broken off before do not count as an error. Calls of callers: before ran when the node began to leave, taken came later (the last at last_taken); answered to other are the numbers by result, as in wasabiport_leaving_calls_total; unfinished were broken off by the end of the node, and their lines may be missing. Calls of other nodes at the guard: peers_taken, peers_at_drain, and peers_broken_off by the end of the node. left_out counts lines on calls suppressed since the last one of their kind, dropped the lines that the output did not take."}
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
