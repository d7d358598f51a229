package faults

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// CallRecord is one attempt of a call as observed by its caller.
type CallRecord struct {
	Kind CallKind
	// Key is the idempotency key, which all resends share.
	Key string
	// CallID is the call id in the answer; it is empty without an answer.
	CallID       string
	Started      time.Time
	Ended        time.Time
	Outcome      string
	Reason       string
	Status       int
	Answered     bool
	BodyComplete bool
	BodyCorrect  bool
	Failure      string
	Connected    bool
	EntryHost    int
}

// RunRecord is one execution of a call as observed by a backend server.
type RunRecord struct {
	Host   int
	At     time.Time
	CallID string
	Key    string
}

// NodeSample is the status of one node as observed by an operator.
type NodeSample struct {
	Host      int
	At        time.Time
	Process   int
	Evaluated state.TicketNumber
	Accepted  state.TicketNumber
	Digest    string
	Ready     bool
}

// ConfigurationSample is the configuration of one node as observed by an
// operator.
type ConfigurationSample struct {
	Host   int
	At     time.Time
	Ticket state.Ticket
}

// Drain records the publication of a ticket that sets the backend server of a
// host to draining.
type Drain struct {
	Host int
	At   time.Time
}

// History holds all outside observations of one run.
type History struct {
	mu             sync.Mutex
	Calls          []CallRecord
	Runs           []RunRecord
	Samples        []NodeSample
	Configurations []ConfigurationSample
	Drains         []Drain
	// LatestAccepted is the number of the latest valid ticket.
	LatestAccepted state.TicketNumber
	// Rejected holds the tickets that must be rejected.
	Rejected map[state.TicketNumber]bool
	// HealedAt is the time at which the last fault ended.
	HealedAt time.Time
	// End is the time at which the run ended.
	End time.Time
	// OnlyPlannedShutdowns is set if all injected faults are planned shutdowns.
	OnlyPlannedShutdowns bool
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{Rejected: make(map[state.TicketNumber]bool)}
}

func (h *History) addCall(record CallRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Calls = append(h.Calls, record)
}

func (h *History) addRun(record RunRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Runs = append(h.Runs, record)
}

func (h *History) addSample(sample NodeSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Samples = append(h.Samples, sample)
}

func (h *History) addConfiguration(sample ConfigurationSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Configurations = append(h.Configurations, sample)
}

func (h *History) addDrain(drain Drain) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.Drains = append(h.Drains, drain)
}

// hasRun reports whether a backend server has started a call with the key.
func (h *History) hasRun(key string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, run := range h.Runs {
		if run.Key == key {
			return true
		}
	}
	return false
}
