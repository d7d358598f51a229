// Package loopback gives each host of a process an address of its own on the
// loopback interface. Ports on these addresses are taken neither by outgoing
// connections, which have the address 127.0.0.1, nor by other processes that use
// this package.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

const (
	// firstNetwork and networkCount are the networks 127.N.0.0/16 that processes
	// reserve.
	firstNetwork = 64
	networkCount = 128
	// hostsPerSubnet is the number of hosts in each network 127.N.S.0/24.
	hostsPerSubnet = 250
	// reservationPort is the port on which a process listens to reserve a network.
	reservationPort = 7999
)

// reservation is the network of this process and the listener that reserves it.
type reservation struct {
	network  int
	listener net.Listener
}

var reserved = sync.OnceValue(func() reservation { return reserve(os.Getpid() % networkCount) })

// reserve returns the first network that no other process has reserved, starting
// with a preferred one. If there is none, it returns the preferred one, and
// listening on its addresses may fail.
func reserve(preferred int) reservation {
	for i := range networkCount {
		network := firstNetwork + (preferred+i)%networkCount
		address := fmt.Sprintf("127.%d.255.254:%d", network, reservationPort)
		listener, err := net.Listen("tcp", address) //nolint:noctx // held until the process ends
		if err == nil {
			return reservation{network: network, listener: listener}
		}
	}
	return reservation{network: firstNetwork + preferred}
}

// HostIP returns the address of a host, given its index from 0.
func HostIP(index int) string {
	return hostIP(reserved().network, index)
}

func hostIP(network, index int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, index/hostsPerSubnet, index%hostsPerSubnet+1)
}

var hostCount atomic.Int64

// NewHostIP returns an address that it has not returned before.
func NewHostIP() string { return HostIP(int(hostCount.Add(1)) - 1) }
