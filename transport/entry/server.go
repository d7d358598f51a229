package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/state"
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
	// Limits returns the limits in force for HTTP/1.1. Default the three above.
	Limits func() state.RequestLimits
	// Intake bounds all connections together. Default a tracker without bounds.
	Intake *intake.Tracker
	// Observer records connections that are closed or refused. Default none.
	Observer IntakeObserver
	// StallTimeout is how long a write may block on a caller. Default no limit.
	StallTimeout time.Duration
	// MaxConnectionsPerAddress is the maximum number of open connections per IP
	// address. Connections above the limit are closed immediately. No default.
	MaxConnectionsPerAddress int
}

// maxStreamsPerConnection is the maximum number of concurrent calls on one HTTP/2
// connection. The HTTP server keeps five times as many requests of a client that resets
// its streams: 50 such clients took 74 MB with a maximum of 250, and 53 to 67 MB with 100.
const maxStreamsPerConnection = 50

// Sizes of the parts of request bodies that HTTP/2 clients may send before they are read.
// They are a fourth and a sixteenth of the defaults, which allow one connection 1 MB.
const (
	http2ConnectionBuffer = 256 << 10
	http2StreamBuffer     = 64 << 10
)

func (c ServerConfig) withDefaults() ServerConfig {
	if c.Limits == nil {
		limits := state.RequestLimits{
			MaxHeaderBytes: c.MaxHeaderBytes, HeaderTimeout: c.HeaderTimeout, IdleTimeout: c.IdleTimeout,
		}
		c.Limits = func() state.RequestLimits { return limits }
	}
	if c.Intake == nil {
		c.Intake = intake.NewTracker(intake.Config{})
	}
	return c
}

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
	config = config.withDefaults()
	connections := newCallerConns(config)
	if calls, ok := handler.(*Handler); ok {
		connections.early.handler = calls
	}
	return &Server{
		connections: connections,
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
			ConnContext:                  withCallerConn,
			HTTP2: &http.HTTP2Config{
				MaxConcurrentStreams:          maxStreamsPerConnection,
				MaxReceiveBufferPerConnection: http2ConnectionBuffer,
				MaxReceiveBufferPerStream:     http2StreamBuffer,
			},
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

// PipelinedCalls returns the number of calls that were started before their turn.
func (s *Server) PipelinedCalls() int64 { return s.connections.early.started.Load() }

// Close closes all connections immediately.
func (s *Server) Close() error { return s.http.Close() }
