package wasabiport_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

func TestRollingRestartUnderLoadLosesNoCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.stop()
		ticket := f.deskTicket(1)
		ticket.Set.Routes[0].Timeout = time.Minute
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		load := startLoad(f, 12)
		for i := range f.nodes {
			require.NoError(t, f.nodes[i].Leave(t.Context()))
			time.Sleep(time.Second)
			node := f.startNode(i)
			load.mu.Lock()
			f.nodes[i] = node
			load.mu.Unlock()
			time.Sleep(10 * time.Second)
			require.NoError(t, node.Ready())
		}
		load.stop()
		require.Empty(t, load.failures)
		require.Greater(t, load.answered, 500)
		runs := 0
		for _, backend := range f.backends {
			runs += backend.RunsTotal()
		}
		require.Equal(t, load.answered, runs, "a call ran twice or was not answered")
	})
}

// load runs callers that send requests to ready nodes.
type load struct {
	fleet   *fleet
	threads sync.WaitGroup
	ended   chan struct{}

	mu       sync.Mutex
	answered int
	failures []string
}

func startLoad(f *fleet, callers int) *load {
	l := &load{fleet: f, ended: make(chan struct{})}
	for i := range callers {
		l.threads.Go(func() { l.run(i) })
	}
	return l
}

func (l *load) stop() {
	close(l.ended)
	l.threads.Wait()
}

func (l *load) run(caller int) {
	client := l.fleet.callerClient(false)
	defer client.CloseIdleConnections()
	for serial := caller; ; serial++ {
		select {
		case <-l.ended:
			return
		case <-time.After(100 * time.Millisecond):
		}
		if node, ok := l.readyNode(serial); ok {
			l.call(client, node, serial)
		}
	}
}

// readyNode returns the first ready node in a round-robin order that starts at serial.
func (l *load) readyNode(serial int) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.fleet.nodes {
		candidate := (serial + i) % len(l.fleet.nodes)
		if l.fleet.nodes[candidate].Ready() == nil {
			return candidate, true
		}
	}
	return 0, false
}

func (l *load) call(client *http.Client, node, serial int) {
	request, err := http.NewRequest(http.MethodPost, "http://"+callerAddress(node)+"/", strings.NewReader("notice"))
	if err != nil {
		panic(err)
	}
	request.Header.Set(standin.HeaderServiceTime, "20ms")
	if serial%10 == 0 {
		request.Header.Set(standin.HeaderServiceTime, "3s")
		request.Header.Set(standin.HeaderAnswerBytes, "100000")
	}
	response, err := client.Do(request)
	failure := ""
	switch {
	case err != nil:
		failure = err.Error()
	case response.StatusCode != http.StatusOK:
		failure = fmt.Sprint(response.StatusCode, response.Header.Get("Wasabiport-Reason"), response.Header.Get("Wasabiport-Outcome"))
	default:
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		failure = err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if failure != "" {
		l.failures = append(l.failures, failure)
		return
	}
	l.answered++
}
