package bench

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/state"
)

const readHeaderTimeout = 5 * time.Second

// sourceServer serves the stand-in platform on a TCP listener and records the
// time at which each ticket was published. It is safe for concurrent use.
type sourceServer struct {
	platform *standin.Platform
	server   *http.Server
	url      string

	mu           sync.Mutex
	publishTimes map[state.TicketNumber]time.Time
}

func newSourceServer(ctx context.Context) (*sourceServer, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the stand-in platform")
	}
	platform := standin.NewPlatform(standin.PlatformConfig{})
	s := &sourceServer{
		platform:     platform,
		server:       &http.Server{Handler: platform, ReadHeaderTimeout: readHeaderTimeout},
		url:          "http://" + listener.Addr().String(),
		publishTimes: make(map[state.TicketNumber]time.Time),
	}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *sourceServer) publish(ticket state.Ticket) error {
	raw, err := ticketfile.Encode(ticket)
	if err != nil {
		return errors.Wrap(err, "encode ticket")
	}
	s.mu.Lock()
	s.publishTimes[ticket.Number] = time.Now()
	s.mu.Unlock()
	_, err = s.platform.PublishTicket(raw)
	return errors.Wrap(err, "publish ticket")
}

func (s *sourceServer) publishedAt(number state.TicketNumber) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.publishTimes[number]
}

func (s *sourceServer) close() { _ = s.server.Close() }
