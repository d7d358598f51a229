package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerConfig holds the settings of the server for callers.
type ServerConfig struct {
	// HeaderTimeout bounds the time in which a caller sends its headers. No
	// default.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a call is kept. No
	// default.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the headers of a request. No default.
	MaxHeaderBytes int
	// MaxConnectionsPerAddress bounds the connections from one IP address.
	// Those beyond it are closed at once. No default.
	MaxConnectionsPerAddress int
}

// maxStreamsPerConnection bounds the calls at the same time on one HTTP/2
// connection.
const maxStreamsPerConnection = 250

// Server serves callers over HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	http        *http.Server
	connections *callerConns
	// listener is nil until Serve is called.
	listener atomic.Pointer[callerListener]
	// served is closed when Serve returns.
	served chan struct{}
}

// NewServer returns a server that passes requests to handler.
func NewServer(config ServerConfig, handler http.Handler) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		connections: newCallerConns(config.MaxConnectionsPerAddress),
		served:      make(chan struct{}),
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: config.HeaderTimeout,
			IdleTimeout:       config.IdleTimeout,
			MaxHeaderBytes:    config.MaxHeaderBytes,
			Protocols:         protocols,
			ConnState:         setPhase,
			// The handler answers "OPTIONS *" like any other request.
			DisableGeneralOptionsHandler: true,
			HTTP2:                        &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConnection},
		},
	}
}

// Serve accepts connections until the server ends. It returns
// http.ErrServerClosed or net.ErrClosed then. It must be called once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.served)
	callers := &callerListener{Listener: listener, connections: s.connections}
	s.listener.Store(callers)
	return s.http.Serve(callers)
}

// Shutdown takes no more connections, ends those without a call and waits for
// the others. Each answer must be the last of its connection by now. It
// returns the context's error when ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	if listener := s.listener.Load(); listener != nil {
		listener.finish()
		select {
		case <-s.served:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "accept the connections that wait")
		}
	}
	if err := s.connections.drain(ctx); err != nil {
		return err
	}
	// Only HTTP/2 is left, of which the HTTP server takes leave properly.
	return errors.Wrap(s.http.Shutdown(ctx), "wait for the calls over HTTP/2")
}

// Close cuts all connections.
func (s *Server) Close() error { return s.http.Close() }
