package demo

import (
	"net"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/state"
)

// Guards against nodes that can't listen for peers because an outgoing connection
// of the machine has got the port before they start.
func TestPeerPortsAreNotTakenBeforeNodesStart(t *testing.T) {
	f := &fleet{hosts: make([]state.Host, 3)}
	f.assignPeerAddresses()
	var listen net.ListenConfig
	target, err := listen.Listen(t.Context(), "tcp", loopbackAddress)
	require.NoError(t, err)
	defer func() { require.NoError(t, target.Close()) }()
	taken := make(map[uint16]bool)
	for _, host := range f.hosts {
		address, err := netip.ParseAddrPort(host.PeerAddress)
		require.NoError(t, err)
		if !taken[address.Port()] {
			taken[address.Port()] = true
			dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(address.Port())}}
			conn, err := dialer.DialContext(t.Context(), "tcp", target.Addr().String())
			require.NoError(t, err)
			defer func() { require.NoError(t, conn.Close()) }()
		}
		listener, err := listen.Listen(t.Context(), "tcp", host.PeerAddress)
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}
