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

// slowListener hands out connections whose reads return late: what they have
// read is on its way while other things happen, as in a process that is short
// of processor time.
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

// kept is a connection that has had one answer.
type kept struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (k kept) exchange() {
	k.send()
	require.Equal(k.t, "ready", k.answer())
}

func (k kept) send() {
	_, err := io.WriteString(k.conn, "GET /lookup HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	require.NoError(k.t, err)
}

func (k kept) answer() string {
	response, err := http.ReadResponse(k.reader, nil)
	require.NoError(k.t, err, "the connection ended without an answer")
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(k.t, err)
	return string(body)
}

// serverRig is a server on a network in memory.
type serverRig struct {
	t       *testing.T
	network *network.Memory
	server  *entry.Server
	config  entry.ServerConfig
	handler http.Handler
}

func newServerRig(t *testing.T, readDelay time.Duration) *serverRig {
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
	rig := &serverRig{t: t, network: memory, server: entry.NewServer(config, handler), config: config, handler: handler}
	go func() { _ = rig.server.Serve(slowListener{Listener: listener, delay: readDelay}) }()
	return rig
}

func (r *serverRig) dial() kept {
	conn, err := r.network.Dial(r.t.Context(), callerAddress)
	require.NoError(r.t, err)
	return kept{t: r.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (r *serverRig) shutdown() <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- r.server.Shutdown(r.t.Context()) }()
	return ended
}

func TestShutdownAnswersARequestThatHasJustBeenRead(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 100*time.Millisecond)
		conn := rig.dial()
		conn.exchange()
		synctest.Wait()
		conn.send()
		// The request has been read, and the read has not returned yet.
		ended := rig.shutdown()
		require.Equal(t, "ready", conn.answer())
		require.NoError(t, <-ended)
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestShutdownAnswersTheFirstRequestOfANewConnection(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 0)
		conn := rig.dial()
		synctest.Wait()
		ended := rig.shutdown()
		time.Sleep(200 * time.Millisecond)
		conn.exchange()
		require.NoError(t, <-ended)
	})
}

func TestShutdownEndsNewConnectionsWithoutARequest(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 0)
		conn := rig.dial()
		synctest.Wait()
		require.NoError(t, <-rig.shutdown())
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestShutdownEndsIdleConnectionsAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 0)
		conn := rig.dial()
		conn.exchange()
		synctest.Wait()
		began := time.Now()
		require.NoError(t, <-rig.shutdown())
		require.Less(t, time.Since(began), time.Second)
		_, err := conn.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
}

func TestConnectionsBeyondTheLimitAreClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 0)
		first, second := rig.dial(), rig.dial()
		first.exchange()
		second.exchange()
		third := rig.dial()
		_, err := third.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
		require.NoError(t, first.conn.Close())
		synctest.Wait()
		rig.dial().exchange()
		require.NoError(t, second.conn.Close())
		require.NoError(t, rig.server.Close())
	})
}

// backlogListener hands out connections only once it is asked late: until
// then they wait, as when the accepting thread gets no processor time.
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

// endlessListener has a new connection whenever it is asked.
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
		rig := newServerRig(t, 0)
		server := entry.NewServer(rig.config, rig.handler)
		go func() { _ = server.Serve(endlessListener{closed: make(chan struct{}), once: new(sync.Once)}) }()
		time.Sleep(time.Second)
		began := time.Now()
		require.NoError(t, server.Shutdown(t.Context()))
		require.Less(t, time.Since(began), time.Second)
		require.NoError(t, rig.server.Close())
	})
}

func TestShutdownAnswersRequestsOfConnectionsThatWait(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		rig := newServerRig(t, 0)
		listener := &backlogListener{waiting: make(chan net.Conn, 1), deadline: make(chan time.Time, 1)}
		server := entry.NewServer(rig.config, rig.handler)
		go func() { _ = server.Serve(listener) }()
		synctest.Wait()
		near, far := net.Pipe()
		listener.waiting <- far
		ended := make(chan error, 1)
		go func() { ended <- server.Shutdown(t.Context()) }()
		conn := kept{t: t, conn: near, reader: bufio.NewReader(near)}
		conn.exchange()
		require.NoError(t, <-ended)
		require.NoError(t, rig.server.Close())
	})
}
