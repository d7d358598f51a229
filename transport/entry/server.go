package entry

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
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
}

// maxStreamsPerConnection bounds the calls at the same time on one HTTP/2
// connection.
const maxStreamsPerConnection = 250

// NewServer returns a server that speaks HTTP/1.1 and HTTP/2 without TLS.
func NewServer(config ServerConfig, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: config.HeaderTimeout,
		IdleTimeout:       config.IdleTimeout,
		MaxHeaderBytes:    config.MaxHeaderBytes,
		Protocols:         protocols,
		// The handler answers "OPTIONS *" like any other request.
		DisableGeneralOptionsHandler: true,
		HTTP2:                        &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConnection},
	}
}

// LimitConnections returns a listener that closes connections beyond limit
// from the same IP address at once.
func LimitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: listener,
		limit:    limit,
		open:     state.NewShardedMap[string, int](state.DefaultShardCount),
	}
}

type limitedListener struct {
	net.Listener
	limit int
	// open counts the connections by IP address.
	open *state.ShardedMap[string, int]
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := ipAddress(conn.RemoteAddr())
		if l.begin(address) {
			return &countedConn{Conn: conn, end: func() { l.end(address) }}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) begin(address string) bool {
	admitted := false
	l.open.Update(address, func(count int, present bool) (int, bool) {
		admitted = count < l.limit
		if admitted {
			return count + 1, true
		}
		return count, present
	})
	return admitted
}

func (l *limitedListener) end(address string) {
	l.open.Update(address, func(count int, _ bool) (int, bool) { return count - 1, count > 1 })
}

func ipAddress(address net.Addr) string {
	if host, _, err := net.SplitHostPort(address.String()); err == nil {
		return host
	}
	return address.String()
}

// countedConn tells its listener when it is closed.
type countedConn struct {
	net.Conn
	once sync.Once
	end  func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.end)
	return c.Conn.Close()
}
