package wasabiport_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

// freezableNetwork is an in-memory network. While it is frozen, the listeners'
// sides of its connections read nothing, as those of a process that is stopped.
type freezableNetwork struct {
	*network.Memory
	// receiveBufferBytes is how much a connection accepts while nothing is read.
	receiveBufferBytes int

	mu     sync.Mutex
	thawed *sync.Cond
	frozen bool
}

func newFreezableNetwork(memory *network.Memory, receiveBufferBytes int) *freezableNetwork {
	frozen := &freezableNetwork{Memory: memory, receiveBufferBytes: receiveBufferBytes}
	frozen.thawed = sync.NewCond(&frozen.mu)
	return frozen
}

func (n *freezableNetwork) setFrozen(frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen = frozen
	n.thawed.Broadcast()
}

func (n *freezableNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := n.Memory.Listen(ctx, address)
	return freezableListener{Listener: listener, network: n}, err
}

type freezableListener struct {
	net.Listener
	network *freezableNetwork
}

func (l freezableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	buffered := &freezableConn{Conn: conn, network: l.network}
	go buffered.receive()
	return buffered, nil
}

// freezableConn buffers what it receives. The lock of its network guards the
// buffer.
type freezableConn struct {
	net.Conn
	network  *freezableNetwork
	received bytes.Buffer
	err      error
}

func (c *freezableConn) receive() {
	part := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(part)
		c.network.mu.Lock()
		c.received.Write(part[:n])
		c.err = err
		c.network.thawed.Broadcast()
		for c.received.Len() > c.network.receiveBufferBytes && c.err == nil {
			c.network.thawed.Wait()
		}
		c.network.mu.Unlock()
		if err != nil {
			return
		}
	}
}

func (c *freezableConn) Read(p []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for (c.network.frozen || c.received.Len() == 0) && c.err == nil {
		c.network.thawed.Wait()
	}
	if c.received.Len() == 0 {
		return 0, c.err
	}
	n, err := c.received.Read(p)
	c.network.thawed.Broadcast()
	return n, err
}

func (c *freezableConn) Close() error {
	c.network.mu.Lock()
	c.err = net.ErrClosed
	c.network.thawed.Broadcast()
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Guards against calls that got no answer at their timeout while another host was
// frozen: opening, writing or closing a stream to it waited for that host.
func TestCallsEndAtTheirTimeoutWhileAnotherHostIsFrozen(t *testing.T) {
	const (
		timeout  = 500 * time.Millisecond
		overrun  = 500 * time.Millisecond
		interval = 20 * time.Millisecond
		calls    = 200
	)
	tests := map[string]struct {
		receiveBufferBytes int
		bodyBytes          int
	}{
		"short calls":                          {receiveBufferBytes: 64 << 20},
		"uploads":                              {receiveBufferBytes: 64 << 20, bodyBytes: 60 << 10},
		"short calls, receive buffer full":     {receiveBufferBytes: 0},
		"uploads that fill the receive buffer": {receiveBufferBytes: 1 << 20, bodyBytes: 60 << 10},
		"uploads of several times that buffer": {receiveBufferBytes: 64 << 10, bodyBytes: 60 << 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				memory := network.NewMemory()
				frozen := newFreezableNetwork(memory, test.receiveBufferBytes)
				f := newFleetOn(t, 2, memory, map[int]network.Network{1: frozen})
				defer f.stop()
				f.fileTicket(f.ticketOfLastHost(timeout))
				time.Sleep(10 * time.Second)
				require.Equal(t, http.StatusOK, f.post(test.bodyBytes))

				frozen.setFrozen(true)
				late := f.callEvery(interval, calls, test.bodyBytes, timeout+overrun)
				frozen.setFrozen(false)
				require.Zero(t, late, "calls without an answer %v after their timeout", overrun)

				time.Sleep(10 * time.Second)
				require.Equal(t, http.StatusOK, f.post(test.bodyBytes))
			})
		})
	}
}

// Guards against answers that were broken off seconds after their timeout: reading
// them waited for the host that had been frozen meanwhile.
func TestAnswersEndAtTheirTimeoutWhenTheOtherHostFreezes(t *testing.T) {
	const (
		timeout = 500 * time.Millisecond
		overrun = 100 * time.Millisecond
		calls   = 4
	)
	virtualtime.Test(t, func(t *testing.T) {
		memory := network.NewMemory()
		frozen := newFreezableNetwork(memory, 0)
		f := newFleetOn(t, 2, memory, map[int]network.Network{1: frozen})
		defer f.stop()
		f.fileTicket(f.ticketOfLastHost(timeout))
		time.Sleep(10 * time.Second)

		time.AfterFunc(50*time.Millisecond, func() { frozen.setFrozen(true) })
		var running sync.WaitGroup
		for range calls {
			running.Go(func() {
				began := time.Now()
				assert.Error(t, f.download(2_000_000), "an answer that is cut must not look complete")
				assert.Less(t, time.Since(began), timeout+overrun)
			})
		}
		running.Wait()
		frozen.setFrozen(false)
	})
}

// download reads a long answer, which arrives over half a second, from the first node.
func (f *fleet) download(length int) error {
	request, err := http.NewRequestWithContext(f.t.Context(), http.MethodGet, "http://"+callerAddress(0)+"/", nil)
	require.NoError(f.t, err)
	request.Header.Set(standin.HeaderAnswerBytes, strconv.Itoa(length))
	request.Header.Set(standin.HeaderChunkInterval, "4ms")
	response, err := f.client().Do(request)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// ticketOfLastHost returns a ticket with an idempotent route and a backend server on
// the last host only.
func (f *fleet) ticketOfLastHost(timeout time.Duration) state.Ticket {
	ticket := f.deskTicket(1)
	ticket.Set.BackendServers = ticket.Set.BackendServers[len(f.backends)-1:]
	ticket.Set.Routes[0].Timeout = timeout
	ticket.Set.Routes[0].Idempotent = true
	return ticket
}

// callEvery sends calls to the first node at an interval, and returns how many had
// no answer within a time limit.
func (f *fleet) callEvery(interval time.Duration, calls, bodyBytes int, limit time.Duration) int {
	var running sync.WaitGroup
	var mu sync.Mutex
	late := 0
	for range calls {
		running.Go(func() {
			began := time.Now()
			f.post(bodyBytes)
			if time.Since(began) > limit {
				mu.Lock()
				defer mu.Unlock()
				late++
			}
		})
		time.Sleep(interval)
	}
	running.Wait()
	return late
}

// post sends one call to the first node and returns the status.
func (f *fleet) post(bodyBytes int) int {
	body := strings.NewReader(strings.Repeat("x", bodyBytes))
	response, err := f.client().Post(fmt.Sprintf("http://%s/", callerAddress(0)), "text/plain", body)
	require.NoError(f.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	return response.StatusCode
}
