package standin

import (
	"fmt"
	"io"
	"net/http"
)

// PublishingHandler returns a handler that answers reads and publishes the body
// of POST /v1/tickets as a ticket. It simulates the interface through which
// operators publish tickets on the platform.
func (p *Platform) PublishingHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /", p)
	mux.HandleFunc("POST /v1/tickets", p.servePublish)
	return mux
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	number, err := p.PublishTicket(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusCreated)
	// An error means that the operator has disconnected.
	_, _ = fmt.Fprintf(w, "published as ticket %d\n", number)
}
