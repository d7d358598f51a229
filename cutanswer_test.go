package wasabiport_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

const (
	// workTime is the time between the head of an answer and its body.
	workTime = 500 * time.Millisecond
	// longAnswerBytes is more than a node reads before it passes an answer on.
	longAnswerBytes = 100 << 10
)

// cuttingBackend sends the head of an answer, works, and sends the body. With cut it
// breaks the connection instead of sending the body.
type cuttingBackend struct {
	length int
	cut    atomic.Bool
	runs   atomic.Int32
}

func (b *cuttingBackend) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.runs.Add(1)
	if b.length >= 0 {
		w.Header().Set("Content-Length", strconv.Itoa(b.length))
	}
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(workTime)
	if b.cut.Load() {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(make([]byte, max(b.length, 10)))
}

// Guards against connections that were closed without an answer when an answer was
// cut after its head, though nothing had been sent to the caller yet.
func TestAnswerCutBeforeItsBodyIsRefusal(t *testing.T) {
	for name, length := range map[string]int{"unknown length": -1, "long": longAnswerBytes, "short": 5000} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				memory := network.NewMemory()
				resettable := &resettableNetwork{Memory: memory}
				f := newFleetOn(t, 2, memory, map[int]network.Network{0: resettable})
				defer f.stop()
				backend := &cuttingBackend{length: length}
				f.serve(customBackendAddress, backend)

				f.fileCuttingTicket(1, 0)
				f.requireRefusedWhen(backend, func() { backend.cut.Store(true) }, "cut by the backend server, own host")
				f.fileCuttingTicket(2, 1)
				f.requireRefusedWhen(backend, func() { backend.cut.Store(true) }, "cut by the backend server, other host")
				f.requireRefusedWhen(backend, resettable.reset, "connection to the other host lost")
			})
		})
	}
}

// Guards against idempotent calls that fail with an answer that is cut after its head,
// though they can be repeated.
func TestIdempotentCallIsRepeatedWhenItsAnswerIsCutBeforeItsBody(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		backend := &cuttingBackend{length: -1}
		f.serve(customBackendAddress, backend)
		ticket := f.deskTicket(1)
		for i := range ticket.Set.BackendServers {
			ticket.Set.BackendServers[i].Address = customBackendAddress
		}
		ticket.Set.Routes[0].Idempotent = true
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		backend.cut.Store(true)
		time.AfterFunc(workTime*3/2, func() { backend.cut.Store(false) })
		response, err := f.client().Get("http://" + callerAddress(0) + "/")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, response.Body.Close())
		require.EqualValues(t, 2, backend.runs.Load())
	})
}

// fileCuttingTicket files a ticket with a single backend server, on a host.
func (f *fleet) fileCuttingTicket(number state.TicketNumber, host int) {
	ticket := f.deskTicket(number)
	for i, server := range ticket.Set.BackendServers {
		if i != host && number > 1 {
			ticket.Remove.BackendServers = append(ticket.Remove.BackendServers, server.Name)
		}
	}
	ticket.Set.BackendServers = ticket.Set.BackendServers[host : host+1]
	ticket.Set.BackendServers[0].Address = customBackendAddress
	f.fileTicket(ticket)
	time.Sleep(10 * time.Second)
}

// requireRefusedWhen sends a call, causes trouble while the backend server works on it,
// and requires a refusal as the answer.
func (f *fleet) requireRefusedWhen(backend *cuttingBackend, trouble func(), name string) {
	time.AfterFunc(workTime/2, trouble)
	// Each call has a body of its own, as requests that seem to crash backend servers
	// are quarantined.
	response, err := f.client().Post("http://"+callerAddress(0)+"/", "text/plain", strings.NewReader(name))
	require.NoError(f.t, err, name)
	require.Equal(f.t, "may-have-run", response.Header.Get("Wasabiport-Outcome"), name)
	require.GreaterOrEqual(f.t, response.StatusCode, http.StatusInternalServerError, name)
	require.NoError(f.t, response.Body.Close())
	backend.cut.Store(false)
	time.Sleep(time.Minute)
}
