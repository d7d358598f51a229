package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/network"
)

const callerAddress = "192.0.2.1:80"

// slowListener accepts connections whose reads return their data late, as in a
// process that is short of CPU time. Other events can happen in between.
type slowListener struct {
	net.Listener
	delay time.Duration
}

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{Conn: conn, delay: l.delay}, err
}

type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c slowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.delay)
	return n, err
}

// clientConn is the client side of a keep-alive connection.
type clientConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (c clientConn) roundTrip() {
	c.send()
	require.Equal(c.t, "ready", c.answer())
}

func (c clientConn) send() {
	_, err := io.WriteString(c.conn, "GET /lookup HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.NoError(c.t, err)
}

func (c clientConn) answer() string {
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection was closed without a response")
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	return string(body)
}

// serverFixture is a server on an in-memory network.
type serverFixture struct {
	t       *testing.T
	network *network.Memory
	server  *entry.Server
	config  entry.ServerConfig
	handler http.Handler
}

func newServerFixture(t *testing.T, readDelay time.Duration) *serverFixture {
	memory := network.NewMemory()
	listener, err := memory.Listen(t.Context(), callerAddress)
	require.NoError(t, err)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ready") })
	config := entry.ServerConfig{
		HeaderTimeout:            time.Minute,
		IdleTimeout:              time.Hour,
		MaxHeaderBytes:           4 << 10,
		MaxConnectionsPerAddress: 2,
	}
	fixture := &serverFixture{t: t, network: memory, server: entry.NewServer(config, handler), config: config, handler: handler}
	go func() { _ = fixture.server.Serve(slowListener{Listener: listener, delay: readDelay}) }()
	return fixture
}

func (f *serverFixture) dial() clientConn {
	conn, err := f.network.Dial(f.t.Context(), callerAddress)
	require.NoError(f.t, err)
	return clientConn{t: f.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (f *serverFixture) shutdown() <-chan error {
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.server.Shutdown(f.t.Context()) }()
	return shutdownErr
}

func TestShutdownAnswersARequestThatHasJustBeenRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 100*time.Millisecond)
		conn := fixture.dial()
		conn.roundTrip()
		synctest.Wait()
		conn.send()
		// The request has been read from the network, but Read has not returned
		// yet.
		shutdownErr := fixture.shutdown()
		require.Equal(t, "ready", conn.answer())
		require.NoError(t, <-shutdownErr)
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestShutdownAnswersTheFirstRequestOfANewConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		conn := fixture.dial()
		synctest.Wait()
		shutdownErr := fixture.shutdown()
		time.Sleep(200 * time.Millisecond)
		conn.roundTrip()
		require.NoError(t, <-shutdownErr)
	})
}

func TestShutdownClosesNewConnectionWithoutRequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		conn := fixture.dial()
		synctest.Wait()
		require.NoError(t, <-fixture.shutdown())
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestShutdownClosesIdleConnectionsImmediately(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		conn := fixture.dial()
		conn.roundTrip()
		synctest.Wait()
		began := time.Now()
		require.NoError(t, <-fixture.shutdown())
		require.Less(t, time.Since(began), time.Second)
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestConnectionsAboveLimitAreClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		first, second := fixture.dial(), fixture.dial()
		first.roundTrip()
		second.roundTrip()
		third := fixture.dial()
		_, err := third.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, first.conn.Close())
		synctest.Wait()
		fixture.dial().roundTrip()
		require.NoError(t, second.conn.Close())
		require.NoError(t, fixture.server.Close())
	})
}

// backlogListener accepts connections only after a deadline was set. Until then
// they stay in the backlog, as when the accepting goroutine gets no CPU time.
type backlogListener struct {
	waiting  chan net.Conn
	deadline chan time.Time
}

func (l *backlogListener) Accept() (net.Conn, error) {
	<-l.deadline
	select {
	case conn := <-l.waiting:
		return conn, nil
	default:
		return nil, os.ErrDeadlineExceeded
	}
}

func (l *backlogListener) SetDeadline(deadline time.Time) error {
	select {
	case l.deadline <- deadline:
	default:
	}
	return nil
}

func (l *backlogListener) Close() error   { return nil }
func (l *backlogListener) Addr() net.Addr { return &net.TCPAddr{} }

// endlessListener accepts a new connection every millisecond.
type endlessListener struct {
	closed chan struct{}
	once   *sync.Once
}

func (l endlessListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case <-time.After(time.Millisecond):
	}
	near, far := net.Pipe()
	return far, near.Close()
}

func (l endlessListener) SetDeadline(time.Time) error { return nil }
func (l endlessListener) Addr() net.Addr              { return &net.TCPAddr{} }

func (l endlessListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func TestShutdownEndsWhileConnectionsKeepComing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		server := entry.NewServer(fixture.config, fixture.handler)
		go func() { _ = server.Serve(endlessListener{closed: make(chan struct{}), once: new(sync.Once)}) }()
		time.Sleep(time.Second)
		began := time.Now()
		require.NoError(t, server.Shutdown(t.Context()))
		require.Less(t, time.Since(began), time.Second)
		require.NoError(t, fixture.server.Close())
	})
}

func TestShutdownAnswersRequestsOfConnectionsThatWait(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture := newServerFixture(t, 0)
		listener := &backlogListener{waiting: make(chan net.Conn, 1), deadline: make(chan time.Time, 1)}
		server := entry.NewServer(fixture.config, fixture.handler)
		go func() { _ = server.Serve(listener) }()
		synctest.Wait()
		near, far := net.Pipe()
		listener.waiting <- far
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- server.Shutdown(t.Context()) }()
		conn := clientConn{t: t, conn: near, reader: bufio.NewReader(near)}
		conn.roundTrip()
		require.NoError(t, <-shutdownErr)
		require.NoError(t, fixture.server.Close())
	})
}
