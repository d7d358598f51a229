package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/internal/loopback"
	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// headerDepth carries the number of services, including the called one, that a
// call passes through.
const headerDepth = "Bench-Depth"

// backend is a backend server on the host of a member. It calls the next service
// through the node of the local host until the depth is reached.
type backend struct {
	*standin.BackendServer
	server *http.Server
	client *http.Client
	// nextURL is the URL of the next service at the node of the local host.
	nextURL string
}

// startBackend starts the backend server of a host on its address in the ticket.
func startBackend(ctx context.Context, index, services int, config standin.BackendServerConfig) (*backend, error) {
	var listen net.ListenConfig
	listener, err := listen.Listen(ctx, "tcp", backendAddress(index))
	if err != nil {
		return nil, errors.Wrapf(err, "start backend server of host %d", index)
	}
	b := &backend{
		BackendServer: standin.NewBackendServer(config),
		client:        newLoadClient(),
		nextURL:       callURL(index, (index+1)%services),
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

func backendAddress(index int) string { return fmt.Sprintf("%s:8080", loopback.HostIP(index)) }

// callURL returns the URL of a service at the node of a host.
func callURL(host, service int) string {
	return fmt.Sprintf("http://%s:%d/%03d/", loopback.HostIP(host), callerPort, service)
}

// ServeHTTP answers a call, after calling the next service if the depth requires
// it.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	depth, err := strconv.Atoi(r.Header.Get(headerDepth))
	if err != nil || depth <= 1 {
		b.BackendServer.ServeHTTP(w, r)
		return
	}
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, b.nextURL, nil)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	request.Header.Set(headerDepth, strconv.Itoa(depth-1))
	request.Header.Set(httpmap.HeaderTimeout, r.Header.Get(httpmap.HeaderTimeout))
	request.Header.Set(httpmap.HeaderCaller, r.Header.Get(httpmap.HeaderCaller))
	if err := checkAnswer(b.client.Do(request)); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

func (b *backend) stop() {
	b.client.CloseIdleConnections()
	_ = b.server.Close()
}

// largeSlotsTicket gives every backend server more slots than the load can fill,
// so that the processors are the only limit.
func largeSlotsTicket(hosts, services, slots int) state.Ticket {
	ticket := state.Ticket{Number: 2}
	for i := range hosts {
		server := backendServer(i, services)
		server.Slots = slots
		server.Connections = slots
		ticket.Set.BackendServers = append(ticket.Set.BackendServers, server)
	}
	return ticket
}
