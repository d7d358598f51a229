package standin

import (
	"fmt"
	"io"
	"net/http"
)

// WithPublishing returns a handler that answers reads and also publishes the
// body of POST /v1/tickets. It stands in for the way in which operators file
// tickets on the platform.
func (p *Platform) WithPublishing() http.Handler {
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
	number, err := p.FileTicket(raw)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusCreated)
	// The operator has gone when the answer can't be written.
	_, _ = fmt.Fprintf(w, "published as ticket %d\n", number)
}
