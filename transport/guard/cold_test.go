package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

const (
	coldPerSecond = 13
	coldStart     = 3 * time.Second
	// mostInASecond is the users' bound on the requests that a cold backend server may get
	// in any second.
	mostInASecond = coldPerSecond*1.5 + 8
	healthPath    = "/healthz"
)

// coldBackend is a backend server that is cold for coldStart after it has crashed.
type coldBackend struct {
	fixture *fixture

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	warmAt   time.Time
	// healthStart replaces the status line of the answers to health checks, and may add
	// fields.
	healthStart string
	// arrivals holds the times of all requests, and checks the number of those that were
	// health checks.
	arrivals []time.Time
	checks   int
}

func (b *coldBackend) start() {
	listener, err := b.fixture.network.Listen(b.fixture.t.Context(), backendAddress)
	require.NoError(b.fixture.t, err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener, b.conns = listener, make(map[net.Conn]bool)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
}

// crash closes all connections, and refuses others.
func (b *coldBackend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// startCold starts the backend server after a crash.
func (b *coldBackend) startCold() {
	b.mu.Lock()
	b.warmAt = time.Now().Add(coldStart)
	b.mu.Unlock()
	b.start()
}

func (b *coldBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, b.answer(request)); err != nil {
			return
		}
	}
}

func (b *coldBackend) answer(request *http.Request) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
	start, cold := "HTTP/1.1 200 OK", ""
	if request.URL.Path == healthPath {
		b.checks++
		if b.healthStart != "" {
			start = b.healthStart
		}
		if left := time.Until(b.warmAt); left > 0 {
			cold = fmt.Sprintf("%s: %s\r\n", httpmap.HeaderCold, left)
		}
	}
	return start + "\r\n" + cold + "Content-Length: 2\r\n\r\nok"
}

// most returns the largest number of requests in a second within a period.
func (b *coldBackend) most(from, to time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most, first := 0, 0
	for last, at := range b.arrivals {
		for b.arrivals[first].Before(from) && first < last || at.Sub(b.arrivals[first]) >= time.Second {
			first++
		}
		if !at.Before(from) && at.Before(to) {
			most = max(most, last-first+1)
		}
	}
	return most
}

func (b *coldBackend) count(from, to time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, at := range b.arrivals {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

func (b *coldBackend) checkCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.checks
}

func (b *coldBackend) setHealthStart(start string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.healthStart = start
}

// newColdFixture returns a fixture whose backend server has just started, and is warm.
func newColdFixture(t *testing.T) (*fixture, *coldBackend) {
	fixture := newFixture(t, 20)
	now := time.Now().UnixMilli()
	service := state.Service{
		Name: "desk", QueueLimits: [state.ClassCount]int{64, 64, 64, 64},
		ColdStart: coldStart, ColdPerSecond: coldPerSecond, HealthPath: healthPath,
	}
	server := state.BackendServer{
		Name: "desk-0", Service: "desk", Host: "host-0", Zone: "north", Address: backendAddress, Slots: 16, Connections: 20,
		Incarnation: now, WarmAt: now,
	}
	builder := state.NewSnapshotBuilder(nil)
	builder.Set(state.Resources{Services: []state.Service{service}, BackendServers: []state.BackendServer{server}})
	require.True(t, fixture.snapshots.Swap(builder.Build(2, 2)))
	backend := &coldBackend{fixture: fixture}
	backend.start()
	return fixture, backend
}

// flood sends 100 calls per second for a time.
func (f *fixture) flood(length time.Duration, running *sync.WaitGroup) {
	for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
		head := newHead(http.MethodGet, "")
		head.ID = state.CallID("flood-" + strconv.Itoa(i))
		head.Idempotent = true
		running.Go(func() {
			reply, refusal := f.doHead(f.t.Context(), head, nil)
			if refusal == nil {
				_, _ = io.Copy(io.Discard, reply.Body)
				_ = reply.Body.Close()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against calls at the full rate to a backend server that has crashed and is cold
// when it comes back, before the platform lists its new start.
func TestBackendServerThatComesBackColdGetsNoMoreThanItTakes(t *testing.T) {
	for name, down := range map[string]time.Duration{
		"refuses connections first":            700 * time.Millisecond,
		"accepts connections again at once":    0,
		"comes back between two of the checks": 1200 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture, backend := newColdFixture(t)
				defer fixture.guard.Shutdown()
				defer backend.crash()
				var running sync.WaitGroup
				defer running.Wait()
				running.Go(func() { fixture.flood(10*time.Second, &running) })
				began := time.Now()
				time.Sleep(2 * time.Second)
				require.Zero(t, backend.checkCount(), "it is known to be warm")
				require.GreaterOrEqual(t, backend.count(began, time.Now()), 190, "a warm start is not slowed")

				backend.crash()
				time.Sleep(down)
				backend.startCold()
				started := time.Now()
				warm := started.Add(coldStart)
				time.Sleep(coldStart + 2*time.Second)
				require.LessOrEqual(t, float64(backend.most(started, warm)), mostInASecond)
				// The calls of the last second before the crash count for up to 1.3 s.
				require.GreaterOrEqual(t, backend.count(started, warm), 20, "it gets the calls that it takes")
				require.GreaterOrEqual(t, backend.count(warm.Add(100*time.Millisecond), time.Now()), 170,
					"the limit ends with the stated time")
				require.LessOrEqual(t, backend.checkCount(), 2)
			})
		})
	}
}

// Guards against a backend server that nothing was sent to for a while, and that counts as
// warm because it was warm before.
func TestAssumedColdBackendServerIsAskedOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture, backend := newColdFixture(t)
		defer fixture.guard.Shutdown()
		defer backend.crash()
		fixture.finish(fixture.doIdempotent(http.MethodGet))
		fixture.guard.AssumeCold()
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 1, backend.checkCount())
		require.False(t, fixture.guard.Occupancies()[0].Cold, "the answer says that it is warm")

		backend.mu.Lock()
		backend.warmAt = time.Now().Add(coldStart)
		backend.mu.Unlock()
		time.Sleep(time.Second)
		fixture.guard.AssumeCold()
		began := time.Now()
		var running sync.WaitGroup
		fixture.flood(2*time.Second, &running)
		require.Equal(t, 2, backend.checkCount())
		require.LessOrEqual(t, float64(backend.most(began, time.Now())), mostInASecond)
		running.Wait()
	})
}

// Guards against a backend server that counts as warm because its health check got an answer
// that is not valid HTTP.
func TestHealthCheckWithBrokenAnswerSaysNothing(t *testing.T) {
	for name, start := range map[string]string{
		"status 000":                            "HTTP/1.1 000 Unknown",
		"status 099":                            "HTTP/1.1 099 Unknown",
		"blank in the name of a field":          "HTTP/1.1 200 OK\r\nX Bad: 1",
		"blank after the name of the cold time": "HTTP/1.1 200 OK\r\n" + httpmap.HeaderCold + " : 3s",
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				fixture, backend := newColdFixture(t)
				defer fixture.guard.Shutdown()
				defer backend.crash()
				backend.setHealthStart(start)
				fixture.finish(fixture.doIdempotent(http.MethodGet))
				fixture.guard.AssumeCold()
				time.Sleep(10 * time.Millisecond)
				require.Equal(t, 1, backend.checkCount())
				require.True(t, fixture.guard.Occupancies()[0].Cold, "the answer says nothing")

				backend.setHealthStart("")
				// The next check is due within a minute.
				time.Sleep(time.Minute)
				require.False(t, fixture.guard.Occupancies()[0].Cold, "the answer says that it is warm")
			})
		})
	}
}

// Guards against the limit of a cold backend server that stays after the drain of its zone
// has ended, because no health check is sent while the zone is drained.
func TestDrainedBackendServerIsAskedWhenTheDrainEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		fixture, backend := newColdFixture(t)
		defer fixture.guard.Shutdown()
		defer backend.crash()
		var running sync.WaitGroup
		defer running.Wait()
		fixture.flood(time.Second, &running)
		_, swapped := fixture.snapshots.SwapDrainedZones(state.NewDrainedZones(1, []state.AvailabilityZone{"north"}))
		require.True(t, swapped)
		fixture.flood(time.Second, &running)
		_, swapped = fixture.snapshots.SwapDrainedZones(state.NewDrainedZones(2, nil))
		require.True(t, swapped)
		fixture.flood(time.Second, &running)
		require.Equal(t, 1, backend.checkCount())
		began := time.Now()
		fixture.flood(time.Second, &running)
		require.GreaterOrEqual(t, backend.count(began, time.Now()), 95, "it has said that it is warm")
	})
}
