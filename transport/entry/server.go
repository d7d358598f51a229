package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ServerConfig holds the settings of a Server.
type ServerConfig struct {
	// HeaderTimeout bounds the time to read the header of a request. No
	// default.
	HeaderTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open. No default.
	IdleTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a request header. No default.
	MaxHeaderBytes int
	// MaxConnectionsPerAddress is the maximum number of open connections per IP
	// address. Connections above the limit are closed immediately. No default.
	MaxConnectionsPerAddress int
}

// maxStreamsPerConnection is the maximum number of concurrent calls on one
// HTTP/2 connection.
const maxStreamsPerConnection = 250

// Server serves callers over HTTP/1.1 and unencrypted HTTP/2.
type Server struct {
	http        *http.Server
	connections *callerConns
	// listener is nil until Serve is called.
	listener atomic.Pointer[callerListener]
	// serveDone is closed when Serve returns.
	serveDone chan struct{}
	// listenerClosed is the time at which the listener was closed, nil before.
	listenerClosed atomic.Pointer[time.Time]
}

// NewServer returns a server that passes requests to handler.
func NewServer(config ServerConfig, handler http.Handler) *Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &Server{
		connections: newCallerConns(config.MaxConnectionsPerAddress),
		serveDone:   make(chan struct{}),
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: config.HeaderTimeout,
			IdleTimeout:       config.IdleTimeout,
			MaxHeaderBytes:    config.MaxHeaderBytes,
			Protocols:         protocols,
			ConnState:         setConnState,
			// The handler treats "OPTIONS *" like any other request.
			DisableGeneralOptionsHandler: true,
			HTTP2:                        &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConnection},
		},
	}
}

// Serve accepts connections until the server is shut down or closed, and then
// returns http.ErrServerClosed or net.ErrClosed. It must be called only once.
func (s *Server) Serve(listener net.Listener) error {
	defer close(s.serveDone)
	callers := &callerListener{Listener: listener, connections: s.connections}
	s.listener.Store(callers)
	err := s.http.Serve(callers)
	now := time.Now()
	s.listenerClosed.Store(&now)
	return err
}

// ListenerClosed returns the time at which Serve returned and the listener was closed, or
// the zero time if it has not.
func (s *Server) ListenerClosed() time.Time {
	if closed := s.listenerClosed.Load(); closed != nil {
		return *closed
	}
	return time.Time{}
}

// Shutdown stops accepting connections, closes idle ones and waits for the
// others. The handler must already make each response the last one of its
// connection; see Handler.Drain. If ctx ends first, Shutdown returns the error
// of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	if listener := s.listener.Load(); listener != nil {
		listener.drainBacklog()
		select {
		case <-s.serveDone:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "accept the connections in the backlog")
		}
	}
	if err := s.connections.drain(ctx); err != nil {
		return err
	}
	// Only HTTP/2 connections are left. The HTTP server closes them gracefully.
	return errors.Wrap(s.http.Shutdown(ctx), "shut down the HTTP server")
}

// Close closes all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
