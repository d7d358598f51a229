package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// DefaultReadsPerSecond is the rate of reads that a Platform answers.
	DefaultReadsPerSecond = 2000
	// MaxValueBytes is the size of the largest value that a Platform holds.
	MaxValueBytes = 1 << 20
	// maxListBytes is the size of the tickets in one answer, unless the first
	// alone is larger.
	maxListBytes = 1 << 20
	// defaultListLimit is the number of tickets in one answer.
	defaultListLimit = 1000
	// maxWait is the longest time for which a read is held.
	maxWait = time.Minute
)

// PlatformConfig holds the settings of a Platform. The zero value is usable.
type PlatformConfig struct {
	// ReadsPerSecond is the rate of reads over all readers beyond which
	// reads are answered with status 429; 0 means DefaultReadsPerSecond. A
	// waiting watch counts as one read.
	ReadsPerSecond int
}

// Platform is an http.Handler that stands in for the platform's read-only
// configuration service:
//
//	GET /v1/tickets?after=N&limit=M[&wait=25s]
//	GET /v1/hosts?after=VERSION[&wait=25s]
//
// With wait, an answer is held until there is something after the given
// number or version, or the wait ends. It is safe for use by many threads.
type Platform struct {
	mux   *http.ServeMux
	reads readCounter

	// mu guards what is published and the switches.
	mu      sync.Mutex
	changed chan struct{}
	tickets []json.RawMessage
	hosts   hostHistory
	down    bool
	// staleTickets and staleHosts hold what a stale platform answers.
	stale        bool
	staleTickets int
}

// NewPlatform returns a platform without tickets and hosts.
func NewPlatform(config PlatformConfig) *Platform {
	if config.ReadsPerSecond == 0 {
		config.ReadsPerSecond = DefaultReadsPerSecond
	}
	p := &Platform{
		mux:     http.NewServeMux(),
		changed: make(chan struct{}),
		reads:   newReadCounter(config.ReadsPerSecond),
	}
	p.mux.HandleFunc("GET /v1/tickets", p.serveTickets)
	p.mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	return p
}

// FileTicket publishes a ticket and returns its number. Input that is not JSON
// is published as a JSON string. It fails when raw is over MaxValueBytes.
func (p *Platform) FileTicket(raw []byte) (state.TicketNumber, error) {
	if len(raw) > MaxValueBytes {
		return 0, fmt.Errorf("the ticket has %d bytes, more than the platform's limit of %d", len(raw), MaxValueBytes)
	}
	value := json.RawMessage(slices.Clone(raw))
	if !json.Valid(value) {
		value, _ = json.Marshal(string(raw)) // a string always has an encoding
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickets = append(p.tickets, value)
	p.announce()
	return state.TicketNumber(len(p.tickets)), nil
}

// TicketCount returns the number of tickets that were published.
func (p *Platform) TicketCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tickets)
}

// SetHosts publishes a host list. Readers see it when the lag has passed.
func (p *Platform) SetHosts(hosts []state.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.set(time.Now(), hosts)
	p.announce()
}

// SetHostLag sets the time after which a published host list is visible.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.lag = lag
	p.announce()
}

// SetDown makes all reads, waiting ones included, fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.announce()
}

// SetStale freezes what reads see, until it is set to false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = stale
	p.staleTickets = len(p.tickets)
	p.hosts.freeze(time.Now(), stale)
	p.announce()
}

// Reads returns the number of reads that were answered or refused, and the
// largest number in one second.
func (p *Platform) Reads() (total, peakPerSecond int) { return p.reads.figures() }

// ResetPeak starts the search for the busiest second anew.
func (p *Platform) ResetPeak() { p.reads.resetPeak() }

// ServeHTTP answers reads.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.reads.take(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// announce wakes all waiting reads. The caller holds mu.
func (p *Platform) announce() {
	close(p.changed)
	p.changed = make(chan struct{})
}
