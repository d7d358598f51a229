package wasabiport_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
)

// breakingBackend answers every second request, and closes the connection of the
// others without an answer.
type breakingBackend struct{ requests atomic.Int64 }

func (b *breakingBackend) ServeHTTP(http.ResponseWriter, *http.Request) {
	if b.requests.Add(1)%2 == 0 {
		panic(http.ErrAbortHandler)
	}
}

// Guards against repeats that the retry budget did not count: those of the HTTP
// client, as often as a kept connection broke.
func TestRepeatsStayWithinTheBudgetWhenConnectionsBreak(t *testing.T) {
	const calls = 2000
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.stop()
		var backend breakingBackend
		f.serveCustomBackend(backend.ServeHTTP)
		ticket := f.deskTicket(2)
		for i := range ticket.Set.BackendServers {
			ticket.Set.BackendServers[i].Address = customBackendAddress
		}
		ticket.Set.Routes[0].Idempotent = true
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		for range calls {
			response, err := f.client().Get("http://" + callerAddress(0) + "/")
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		repeats := backend.requests.Load() - calls
		require.LessOrEqual(t, repeats, int64(retry.DefaultCapacity+retry.DefaultShare*calls))
	})
}

// callingBackend is the service "desk", whose runs call the service "vault". The
// first run of every second call is lost before it calls.
type callingBackend struct {
	client *http.Client
	mu     sync.Mutex
	seen   map[string]bool
}

const callsOfARun = 5

// handler returns the backend server of "desk" on one host.
func (b *callingBackend) handler(host int) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Id")
		repeated := b.recordArrival(id)
		if number, _ := strconv.Atoi(id); number%2 == 0 && !repeated {
			panic(http.ErrAbortHandler)
		}
		for range callsOfARun {
			request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+callerAddress(host)+"/vault", http.NoBody)
			if err != nil {
				panic(err)
			}
			request.Header.Set("Repeated", strconv.FormatBool(repeated))
			request.Header.Set(httpmap.HeaderTimeout, r.Header.Get(httpmap.HeaderTimeout))
			response, err := b.client.Do(request)
			if err != nil {
				panic(err)
			}
			_ = response.Body.Close()
		}
	}
}

// recordArrival reports whether the call has arrived before.
func (b *callingBackend) recordArrival(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	repeated := b.seen[id]
	b.seen[id] = true
	return repeated
}

// vaultCounter is the service "vault". It counts the calls of first and repeated runs.
type vaultCounter struct{ first, repeated atomic.Int64 }

func (c *vaultCounter) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Repeated") == "true" {
		c.repeated.Add(1)
		return
	}
	c.first.Add(1)
}

// Guards against calls of repeated runs that the retry budget of the called service did not count.
func TestCallsOfRepeatedRunsStayWithinTheBudget(t *testing.T) {
	const (
		calls        = 1000
		hosts        = 2
		vaultAddress = "192.0.2.99:8080"
	)
	virtualtime.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts)
		defer f.stop()
		desk := &callingBackend{client: f.client(), seen: make(map[string]bool)}
		var vault vaultCounter
		f.serve(vaultAddress, &vault)
		ticket := f.deskTicket(1)
		for i := range ticket.Set.BackendServers {
			address := "192.0.2." + strconv.Itoa(10+i) + ":8090"
			f.serve(address, desk.handler(i))
			ticket.Set.BackendServers[i].Address = address
		}
		vaultServer := ticket.Set.BackendServers[0]
		vaultServer.Name, vaultServer.Service, vaultServer.Address = "vault-0", "vault", vaultAddress
		ticket.Set.BackendServers = append(ticket.Set.BackendServers, vaultServer)
		vaultService, vaultRoute := ticket.Set.Services[0], ticket.Set.Routes[0]
		vaultService.Name, vaultRoute.Name, vaultRoute.Service = "vault", "lookup", "vault"
		vaultRoute.Match.PathPrefix = "/vault"
		ticket.Set.Services = append(ticket.Set.Services, vaultService)
		ticket.Set.Routes[0].Idempotent = true
		ticket.Set.Routes = append(ticket.Set.Routes, vaultRoute)
		f.fileTicket(ticket)
		time.Sleep(10 * time.Second)
		client := f.client()
		for i := range calls {
			request, err := http.NewRequest(http.MethodGet, "http://"+callerAddress(0)+"/desk", http.NoBody)
			require.NoError(t, err)
			request.Header.Set("Id", strconv.Itoa(i))
			response, err := client.Do(request)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		allowed := hosts*retry.DefaultCapacity + retry.DefaultShare*float64(vault.first.Load())
		t.Logf("%d calls of repeats, %.0f allowed", vault.repeated.Load(), allowed)
		require.LessOrEqual(t, float64(vault.repeated.Load()), allowed)
		require.Greater(t, vault.repeated.Load(), int64(hosts*retry.DefaultCapacity), "repeats within the budget are allowed")
	})
}
