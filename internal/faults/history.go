package faults

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// CallRecord is what a caller has seen of one attempt of a call.
type CallRecord struct {
	Kind Kind
	// Key is the idempotency key; resends carry the same.
	Key string
	// CallID is the id in the answer, empty when there was none.
	CallID     string
	Started    time.Time
	Ended      time.Time
	Outcome    string
	Reason     string
	Status     int
	Answered   bool
	BodyEnded  bool
	BodyRight  bool
	Failure    string
	Connected  bool
	SentToHost int
}

// RunRecord is one start of a call as a backend server has seen it.
type RunRecord struct {
	Host   int
	At     time.Time
	CallID string
	Key    string
}

// NodeSample is what an operator has seen of one node.
type NodeSample struct {
	Host     int
	At       time.Time
	Process  int
	Judged   state.TicketNumber
	Accepted state.TicketNumber
	Digest   string
	Ready    bool
}

// ConfigurationSample is the configuration of one node as an operator has
// seen it.
type ConfigurationSample struct {
	Host   int
	At     time.Time
	Ticket state.Ticket
}

// Drain is the announcement that the backend server of a host gets no new
// calls.
type Drain struct {
	Host int
	At   time.Time
}

// History is all that was seen from outside during one run.
type History struct {
	mu             sync.Mutex
	Calls          []CallRecord
	Runs           []RunRecord
	Samples        []NodeSample
	Configurations []ConfigurationSample
	Drains         []Drain
	// LatestAccepted is the number of the latest ticket that must be
	// accepted.
	LatestAccepted state.TicketNumber
	// Rejected are the tickets that must be rejected.
	Rejected map[state.TicketNumber]bool
	// Healed is the time at which the last fault had ended.
	Healed time.Time
	// End is the time at which the run ended.
	End time.Time
	// OnlyPlannedStops says that no fault but planned stops was injected.
	OnlyPlannedStops bool
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
