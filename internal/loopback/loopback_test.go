package loopback

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestProcessesReserveDifferentNetworks(t *testing.T) {
	first, second := reserve(100), reserve(100)
	defer func() { require.NoError(t, first.listener.Close()) }()
	defer func() { require.NoError(t, second.listener.Close()) }()
	require.NotEqual(t, first.network, second.network)
}

func TestHostsHaveDifferentAddresses(t *testing.T) {
	require.Equal(t, "127.64.0.1", hostIP(64, 0))
	require.Equal(t, "127.64.0.250", hostIP(64, 249))
	require.Equal(t, "127.64.1.1", hostIP(64, 250))
	require.NotEqual(t, NewHostIP(), NewHostIP())
}

// Guards against a node that can't listen on its address again after a restart,
// because an outgoing connection has got its port.
func TestOutgoingConnectionDoesNotTakePort(t *testing.T) {
	var listen net.ListenConfig
	target, err := listen.Listen(t.Context(), "tcp", HostIP(0)+":0")
	require.NoError(t, err)
	defer func() { require.NoError(t, target.Close()) }()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", target.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, conn.Close()) }()
	_, port, err := net.SplitHostPort(conn.LocalAddr().String())
	require.NoError(t, err)
	listener, err := listen.Listen(t.Context(), "tcp", net.JoinHostPort(HostIP(0), port))
	require.NoError(t, err)
	require.NoError(t, listener.Close())
}
