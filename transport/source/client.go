// Package source is a client of the platform's configuration service. It reads
// and watches tickets and the host list; the service accepts no writes.
package source

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// Limits of a read.
const (
	// ticketsPerRead is the maximum number of tickets requested in one read.
	ticketsPerRead = 256
	// readTimeout is the timeout of a read, in addition to the wait of a
	// watch.
	readTimeout = 5 * time.Second
)

// Client reads tickets and host lists from the configuration service.
type Client struct {
	reader *Reader
}

// NewClient returns a client for the service at a base URL such as
// "http://192.0.2.1:7000". It does not follow redirects.
func NewClient(baseURL string, client *http.Client, logger logr.Logger) *Client {
	return &Client{reader: NewReader(baseURL, client, logger)}
}

// Tickets returns the tickets after a number, in order. If there are none, the
// service blocks the read for up to wait; the result is empty when the wait ends
// without a ticket.
func (c *Client) Tickets(ctx context.Context, after state.TicketNumber, wait time.Duration) ([]state.Ticket, error) {
	var answer struct {
		Tickets []struct {
			Number state.TicketNumber `json:"number"`
			Ticket json.RawMessage    `json:"ticket"`
		} `json:"tickets"`
	}
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"limit": {strconv.Itoa(ticketsPerRead)},
	}
	if err := c.read(ctx, "/v1/tickets", query, wait, &answer); err != nil {
		return nil, err
	}
	tickets := make([]state.Ticket, 0, len(answer.Tickets))
	for _, value := range answer.Tickets {
		tickets = append(tickets, ticketfile.Decode(value.Number, value.Ticket))
	}
	return tickets, nil
}

// Hosts returns the host list if its version is newer than that of the query. If it
// is not, the service blocks the read for up to the wait of the query.
func (c *Client) Hosts(ctx context.Context, hosts sourcereading.Query) (state.HostList, error) {
	var answer struct {
		Version uint64 `json:"version"`
		Hosts   []struct {
			Name        state.HostName         `json:"name"`
			Zone        state.AvailabilityZone `json:"zone"`
			Region      state.Region           `json:"region"`
			PeerAddress string                 `json:"peer_address"`
			Phase       string                 `json:"phase"`
		} `json:"hosts"`
	}
	query := url.Values{"after": {strconv.FormatUint(hosts.After, 10)}}
	if err := c.read(ctx, "/v1/hosts", query, hosts.Wait, &answer); err != nil {
		return state.HostList{}, err
	}
	list := state.HostList{Version: answer.Version}
	for _, host := range answer.Hosts {
		phase := state.HostLive
		if host.Phase == state.HostLeaving.String() {
			phase = state.HostLeaving
		}
		list.Hosts = append(list.Hosts, state.Host{
			Name:        host.Name,
			Zone:        host.Zone,
			Region:      host.Region,
			PeerAddress: host.PeerAddress,
			Phase:       phase,
		})
	}
	return list, nil
}

func (c *Client) read(ctx context.Context, path string, query url.Values, wait time.Duration, answer any) error {
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	_, err := c.reader.Read(ctx, path, query, Limits{Timeout: wait + readTimeout}, answer)
	return err
}
