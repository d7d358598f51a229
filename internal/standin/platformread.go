package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

type ticketList struct {
	Tickets []publishedTicket `json:"tickets"`
}

type publishedTicket struct {
	Number state.TicketNumber `json:"number"`
	Ticket json.RawMessage    `json:"ticket"`
}

type hostList struct {
	Version uint64          `json:"version"`
	Hosts   []publishedHost `json:"hosts"`
}

type publishedHost struct {
	Name        state.HostName         `json:"name"`
	Zone        state.AvailabilityZone `json:"zone"`
	Region      state.Region           `json:"region"`
	PeerAddress string                 `json:"peer_address"`
	Phase       string                 `json:"phase"`
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	after uint64
	limit int
	wait  time.Duration
}

func parseQuery(values url.Values) (readQuery, error) {
	query := readQuery{limit: defaultListLimit}
	var err error
	if text := values.Get("after"); text != "" {
		if query.after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return query, fmt.Errorf("after: %w", err)
		}
	}
	if text := values.Get("limit"); text != "" {
		if query.limit, err = strconv.Atoi(text); err != nil || query.limit < 1 {
			return query, fmt.Errorf("limit %q is not a positive number", text)
		}
	}
	if text := values.Get("wait"); text != "" {
		if query.wait, err = time.ParseDuration(text); err != nil {
			return query, fmt.Errorf("wait: %w", err)
		}
	}
	query.wait = min(query.wait, maxWait)
	return query, nil
}

// readResult is the response to a read at one point in time.
type readResult struct {
	body any
	// hasNewer is set if body is newer than what the reader has.
	hasNewer bool
	down     bool
	// changed is closed when the result may have changed.
	changed <-chan struct{}
	// recheck is the time after which the result may change even if changed is not
	// closed; 0 means none.
	recheck time.Duration
}

func (p *Platform) serveTickets(w http.ResponseWriter, r *http.Request) {
	p.serveRead(w, r, p.findTickets)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	p.serveRead(w, r, p.findHosts)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, find func(readQuery) readResult) {
	query, err := parseQuery(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end := time.NewTimer(query.wait)
	defer end.Stop()
	found := find(query)
	for waiting := query.wait > 0; waiting && !found.hasNewer && !found.down; {
		waiting = waitForChange(r, end.C, found)
		found = find(query)
	}
	if found.down {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the reader has disconnected.
	_ = json.NewEncoder(w).Encode(found.body)
}

// waitForChange blocks until the result may have changed. It returns false if
// the wait of the read has ended or the reader has disconnected.
func waitForChange(r *http.Request, end <-chan time.Time, found readResult) bool {
	var recheck <-chan time.Time
	if found.recheck > 0 {
		timer := time.NewTimer(found.recheck)
		defer timer.Stop()
		recheck = timer.C
	}
	select {
	case <-found.changed:
		return true
	case <-recheck:
		return true
	case <-end:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) findTickets(query readQuery) readResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := p.tickets
	if p.stale {
		visible = visible[:p.staleTickets]
	}
	list := ticketList{Tickets: []publishedTicket{}}
	total := 0
	for index := query.after; index < uint64(len(visible)) && len(list.Tickets) < query.limit; index++ {
		total += len(visible[index])
		if total > maxListBytes && len(list.Tickets) > 0 {
			break
		}
		list.Tickets = append(list.Tickets, publishedTicket{
			Number: state.TicketNumber(index + 1),
			Ticket: visible[index],
		})
	}
	return readResult{body: list, hasNewer: len(list.Tickets) > 0, down: p.down, changed: p.changed}
}

func (p *Platform) findHosts(query readQuery) readResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible, recheck := p.hosts.visible(time.Now())
	list := hostList{Version: visible.Version, Hosts: []publishedHost{}}
	for _, host := range visible.Hosts {
		list.Hosts = append(list.Hosts, publishedHost{
			Name:        host.Name,
			Zone:        host.Zone,
			Region:      host.Region,
			PeerAddress: host.PeerAddress,
			Phase:       host.Phase.String(),
		})
	}
	return readResult{
		body:     list,
		hasNewer: visible.Version > query.after,
		down:     p.down,
		changed:  p.changed,
		recheck:  recheck,
	}
}
