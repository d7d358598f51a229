// Package source reads tickets and the host list from the platform's
// configuration service, which can only be read and watched.
package source

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// Bounds of a read.
const (
	// maxAnswerBytes bounds one answer of the service.
	maxAnswerBytes = 8 << 20
	// ticketsPerRead is the number of tickets asked for at once.
	ticketsPerRead = 256
	// readTimeout bounds a read, beyond the time for which a watch waits.
	readTimeout = 5 * time.Second
	// maxRetryAfter bounds the time for which the service may send a reader
	// away.
	maxRetryAfter = 5 * time.Minute
)

// ErrUnavailable means that the service did not answer a read, or not in its
// published form.
var ErrUnavailable = errors.New("configuration service is not available")

// Client reads from the configuration service.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client for the service at a URL such as
// "http://192.0.2.1:7000". It follows no redirects.
func NewClient(baseURL string, client *http.Client) *Client {
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: baseURL, http: &own}
}

// Tickets returns the tickets after a number, in order. With a wait, the
// service holds the read until there is one or the wait is over; the result
// is then empty.
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

// Hosts returns the host list when its version is newer than after.
func (c *Client) Hosts(ctx context.Context, after uint64, wait time.Duration) (state.HostList, error) {
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
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	if err := c.read(ctx, "/v1/hosts", query, wait, &answer); err != nil {
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
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unavailable(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return unavailable(statusError(response), path)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return unavailable(err, path)
	}
	if len(body) > maxAnswerBytes {
		return unavailable(errors.Newf("the answer has more than %d bytes", maxAnswerBytes), path)
	}
	return unavailable(json.Unmarshal(body, answer), path)
}

// statusError returns the error of an answer without a value.
func statusError(response *http.Response) error {
	throttled := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if !throttled || err != nil || seconds < 0 {
		return errors.Newf("status %s", response.Status)
	}
	return &ThrottledError{Status: response.Status, Delay: min(time.Duration(seconds)*time.Second, maxRetryAfter)}
}

// ThrottledError means that the service says when to come back.
type ThrottledError struct {
	Status string
	Delay  time.Duration
}

// Error names the status and the delay.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("status %s, come back after %s", e.Status, e.Delay)
}

// RetryAfter is the least time until the next read.
func (e *ThrottledError) RetryAfter() time.Duration { return e.Delay }

// unavailable marks an error of a read; nil stays nil.
func unavailable(err error, path string) error {
	return errors.Mark(errors.Wrapf(err, "read %s", path), ErrUnavailable)
}
