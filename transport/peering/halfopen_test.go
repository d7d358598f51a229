package peering

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/transport/network"
)

// silentNetwork is an in-memory network whose connections can be made to drop
// all bytes without being closed.
type silentNetwork struct {
	*network.Memory
	mu     sync.Mutex
	silent bool
}

func (n *silentNetwork) setSilent(silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = silent
}

func (n *silentNetwork) isSilent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent
}

func (n *silentNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if n.isSilent() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := n.Memory.Dial(ctx, address)
	return silentConn{Conn: conn, network: n}, err
}

// silentConn is the dialing end of a connection. While the network is silent,
// it drops the bytes written and read.
type silentConn struct {
	net.Conn
	network *silentNetwork
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.network.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.network.isSilent() {
			return n, err
		}
	}
}

// Drops all traffic of an open session and checks that both sides close it
// after the keep-alive timeout, then reconnect once traffic flows again.
func TestHalfOpenSessionIsClosed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		testNetwork := &silentNetwork{Memory: network.NewMemory()}
		a, b := startNode(t, testNetwork, "a"), startNode(t, testNetwork, "b")
		defer b.stop()
		defer a.stop()
		defer a.maintainSession(b)()
		synctest.Wait()
		require.Equal(t, 1, a.sessionsTo(b))
		testNetwork.setSilent(true)
		time.Sleep(controlKeepAliveInterval + writeTimeout)
		synctest.Wait()
		require.Equal(t, []int{0, 0}, []int{a.sessionsTo(b), b.sessionsTo(a)})
		testNetwork.setSilent(false)
		time.Sleep(30 * time.Second)
		require.Equal(t, []int{1, 1}, []int{a.sessionsTo(b), b.sessionsTo(a)})
	})
}
