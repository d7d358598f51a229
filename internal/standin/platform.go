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
	// DefaultReadsPerSecond is the default rate limit of a Platform.
	DefaultReadsPerSecond = 2000
	// MaxValueBytes is the maximum size of a ticket on a Platform.
	MaxValueBytes = 1 << 20
	// maxListBytes limits the total size of the tickets in one response. The
	// first ticket is returned even if it is larger.
	maxListBytes = 1 << 20
	// defaultListLimit is the default number of tickets in one response.
	defaultListLimit = 1000
	// maxWait limits the time for which a long poll is held.
	maxWait = time.Minute
)

// PlatformConfig holds the settings of a Platform. The zero value is valid.
type PlatformConfig struct {
	// ReadsPerSecond is the rate limit over all readers; reads above it are
	// answered with status 429. 0 means DefaultReadsPerSecond. A long poll
	// counts as one read.
	ReadsPerSecond int
}

// Platform is an http.Handler that simulates the platform's read-only
// configuration service:
//
//	GET /v1/tickets?after=N&limit=M[&wait=25s]
//	GET /v1/hosts?after=VERSION[&wait=25s]
//
// With wait, a read is a long poll: the response is held until there is a newer
// ticket or host list than the given number or version, or the wait ends. A
// Platform is safe for concurrent use.
type Platform struct {
	mux   *http.ServeMux
	reads readCounter

	// mu guards the published data and the simulated failures.
	mu      sync.Mutex
	changed chan struct{}
	tickets []json.RawMessage
	hosts   hostHistory
	down    bool
	// While stale is set, only the first staleTickets tickets are visible.
	stale        bool
	staleTickets int
}

// NewPlatform returns a platform without tickets or hosts.
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

// PublishTicket publishes a ticket and returns its number. Input that is not valid
// JSON is published as a JSON string. It fails if raw exceeds MaxValueBytes.
func (p *Platform) PublishTicket(raw []byte) (state.TicketNumber, error) {
	if len(raw) > MaxValueBytes {
		return 0, fmt.Errorf("the ticket has %d bytes, more than the platform's limit of %d", len(raw), MaxValueBytes)
	}
	value := json.RawMessage(slices.Clone(raw))
	if !json.Valid(value) {
		value, _ = json.Marshal(string(raw)) // encoding a string can't fail
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tickets = append(p.tickets, value)
	p.notifyReaders()
	return state.TicketNumber(len(p.tickets)), nil
}

// TicketCount returns the number of published tickets.
func (p *Platform) TicketCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.tickets)
}

// SetHosts publishes a host list. It becomes visible to readers after the lag
// set by SetHostLag.
func (p *Platform) SetHosts(hosts []state.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.publish(time.Now(), hosts)
	p.notifyReaders()
}

// SetHostLag sets the delay before a published host list becomes visible.
func (p *Platform) SetHostLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts.lag = lag
	p.notifyReaders()
}

// SetDown makes all reads, including held long polls, fail with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyReaders()
}

// SetStale freezes the tickets and hosts that are visible to readers until it
// is set to false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = stale
	p.staleTickets = len(p.tickets)
	p.hosts.freeze(time.Now(), stale)
	p.notifyReaders()
}

// Reads returns the total number of reads, including rate-limited ones, and the
// largest number within one second.
func (p *Platform) Reads() (total, peakPerSecond int) { return p.reads.counts() }

// ResetPeak resets the peak that Reads returns.
func (p *Platform) ResetPeak() { p.reads.resetPeak() }

// ServeHTTP answers reads.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.reads.allow(time.Now()) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	p.mux.ServeHTTP(w, r)
}

// notifyReaders resumes all held long polls. The caller must hold mu.
func (p *Platform) notifyReaders() {
	close(p.changed)
	p.changed = make(chan struct{})
}
