// Package operator is the HTTP interface for operators: health, readiness,
// metrics, and the status of the node and of tickets. Its listener is separate
// from that of callers.
package operator

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/urfave/negroni/v3"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/state"
)

// Node provides the status of the local node.
type Node interface {
	// Ready returns nil when the node serves callers.
	Ready() error
	// Version returns the latest evaluated and accepted tickets and the
	// digest of the configuration.
	Version() control.Version
	// Snapshot returns the configuration in force.
	Snapshot() *state.Snapshot
}

// NodeStatus is the response body of /v1/node.
type NodeStatus struct {
	Host      state.HostName         `json:"host"`
	Zone      state.AvailabilityZone `json:"zone"`
	Evaluated state.TicketNumber     `json:"judged"`
	Accepted  state.TicketNumber     `json:"accepted"`
	Digest    string                 `json:"digest"`
	Ready     bool                   `json:"ready"`
	NotReady  string                 `json:"not_ready,omitempty"`
}

// StatusSource provides the status of the node and of the fleet.
type StatusSource interface {
	Node
	Fleet
}

// NewHandler returns the HTTP handler of the operator interface.
func NewHandler(self state.Host, node StatusSource, registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := node.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /v1/node", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, nodeStatus(self, node))
	})
	mux.HandleFunc("GET /v1/tickets", func(w http.ResponseWriter, r *http.Request) {
		serveTickets(w, r, node.Version().Evaluated, node)
	})
	mux.HandleFunc("GET /v1/tickets/{number}", func(w http.ResponseWriter, r *http.Request) {
		serveTicket(w, r, node)
	})
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		serveConfiguration(w, node.Snapshot())
	})
	middleware := negroni.New(negroni.NewRecovery())
	middleware.UseHandler(mux)
	return middleware
}

func nodeStatus(self state.Host, node Node) NodeStatus {
	version := node.Version()
	status := NodeStatus{
		Host:      self.Name,
		Zone:      self.Zone,
		Evaluated: version.Evaluated,
		Accepted:  version.Accepted,
		Digest:    version.Digest.String(),
		Ready:     true,
	}
	if err := node.Ready(); err != nil {
		status.Ready = false
		status.NotReady = err.Error()
	}
	return status
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write error means that the client has disconnected.
	_ = encoder.Encode(value)
}
