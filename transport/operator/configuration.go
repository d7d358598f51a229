package operator

import (
	"net/http"

	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

// serveConfiguration writes the configuration in force, encoded as a baseline
// ticket with the number of the latest accepted ticket.
func serveConfiguration(w http.ResponseWriter, snapshot *state.Snapshot) {
	encoded, err := ticketfile.Encode(state.Ticket{
		Number:   snapshot.Accepted(),
		Baseline: true,
		Set:      snapshot.Resources(),
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_, _ = w.Write(encoded)
}
