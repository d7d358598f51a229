package faults

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/internal/standin"
)

// Fault is a failure that is injected for a limited time.
type Fault struct {
	Name string
	// SkipReason explains why the fault can't occur on its own; it is empty for
	// faults that are injected.
	SkipReason string
	// Planned marks a planned shutdown, which must not interrupt any call.
	Planned bool
	Begin   func(ctx context.Context, f *Fleet) error
	End     func(f *Fleet) error
}

// floodRate is five times the capacity of the backend servers for 40 ms calls,
// in calls per second.
const floodRate = 5 * hostCount * slotsPerBackend * int(time.Second/(40*time.Millisecond))

// delayedMessageLatency is the link latency of the faults that delay messages.
const delayedMessageLatency = 800 * time.Millisecond

// targetHost is the host at which single-host faults are injected.
const targetHost = 1

// Faults returns the faults of the matrix, in the order of its columns.
func Faults() []Fault {
	return append(append(processFaults(), sourceFaults()...), append(networkFaults(), workFaults()...)...)
}

func processFaults() []Fault {
	return []Fault{
		{
			Name:  "process dies",
			Begin: func(_ context.Context, f *Fleet) error { f.KillNode(targetHost); return nil },
			End:   func(f *Fleet) error { return f.StartNode(targetHost) },
		},
		{
			Name:  "herd dies and comes back",
			Begin: func(_ context.Context, f *Fleet) error { f.killMassRestartHosts(); return nil },
			End:   (*Fleet).startMassRestartHosts,
		},
		{
			Name:    "planned stop",
			Planned: true,
			Begin:   func(_ context.Context, f *Fleet) error { return f.StopNode(targetHost) },
			End:     func(f *Fleet) error { return f.StartNode(targetHost) },
		},
		{
			Name: "pause and late wake",
			Begin: func(_ context.Context, f *Fleet) error {
				f.Network.Cut([]string{endpointOf(targetHost)}, f.allEndpoints())
				return nil
			},
			End: heal,
		},
	}
}

func sourceFaults() []Fault {
	return []Fault{
		{
			Name:  "source down",
			Begin: func(_ context.Context, f *Fleet) error { f.Platform.SetDown(true); return nil },
			End:   func(f *Fleet) error { f.Platform.SetDown(false); return nil },
		},
		{
			Name:  "source stale",
			Begin: func(_ context.Context, f *Fleet) error { f.Platform.SetStale(true); return f.PublishTicket() },
			End:   func(f *Fleet) error { f.Platform.SetStale(false); return nil },
		},
		{
			Name:  "updates cross",
			Begin: func(_ context.Context, f *Fleet) error { return f.CrossUpdates() },
			End:   heal,
		},
		{
			Name: "host list wrong",
			Begin: func(_ context.Context, f *Fleet) error {
				phantom := hostOf(hostCount + 1)
				f.Platform.SetHosts(append(f.hosts()[1:], phantom))
				return nil
			},
			End: func(f *Fleet) error { f.Platform.SetHosts(f.hosts()); return nil },
		},
	}
}

func networkFaults() []Fault {
	return []Fault{
		partition("partition from platform", []string{platformEndpoint}),
		partition("partition from peers", endpointsOutsideZone(0)),
		partition("partition from both", append(endpointsOutsideZone(0), platformEndpoint)),
		{
			Name:  "message lost",
			Begin: func(_ context.Context, f *Fleet) error { f.Network.Reset(f.nodeEndpoints()); return nil },
			End:   heal,
		},
		{
			Name: "message late",
			Begin: func(_ context.Context, f *Fleet) error {
				f.Network.Delay(f.nodeEndpoints(), f.nodeEndpoints(), delayedMessageLatency)
				return nil
			},
			End: heal,
		},
		{
			Name:       "message twice",
			SkipReason: "a stream carries a message once; the redundant pushes of every run bring each ticket several times",
		},
		{
			Name: "message cut",
			Begin: func(_ context.Context, f *Fleet) error {
				f.Network.Truncate(f.nodeEndpoints(), f.nodeEndpoints())
				return nil
			},
			End: heal,
		},
	}
}

func workFaults() []Fault {
	return []Fault{
		flood("flood of the least urgent", Browse),
		flood("flood of the most urgent", Notice),
		{
			Name:  "backend server crash",
			Begin: func(_ context.Context, f *Fleet) error { f.crashBackend(targetHost); return nil },
			End:   func(*Fleet) error { return nil },
		},
		{
			Name: "crashing request",
			Begin: func(_ context.Context, f *Fleet) error {
				crashing := Notice
				crashing.Crashes = true
				f.threads.Go(func() { f.Call(crashing, targetHost) })
				return nil
			},
			End: func(*Fleet) error { return nil },
		},
		{
			Name:  "drain",
			Begin: func(_ context.Context, f *Fleet) error { return f.Drain(targetHost) },
			End:   func(*Fleet) error { return nil },
		},
	}
}

// partition cuts the first availability zone off from other endpoints.
func partition(name string, others []string) Fault {
	return Fault{
		Name: name,
		Begin: func(_ context.Context, f *Fleet) error {
			f.Network.Cut(endpointsOfZone(0), others)
			return nil
		},
		End: heal,
	}
}

// flood sends many small calls of one kind; large bodies would only slow down
// the test.
func flood(name string, kind CallKind) Fault {
	kind.BodyBytes = 0
	kind.ChunkInterval = 0
	return Fault{
		Name: name,
		Begin: func(ctx context.Context, f *Fleet) error {
			f.threads.Go(func() { f.Flood(ctx, kind, floodRate) })
			return nil
		},
		End: func(*Fleet) error { return nil },
	}
}

func heal(f *Fleet) error {
	f.Network.Heal()
	return nil
}

// massRestartHosts returns the hosts whose nodes fail and restart together.
func massRestartHosts() []int { return []int{0, 1, 2, 3} }

func (f *Fleet) killMassRestartHosts() {
	for _, i := range massRestartHosts() {
		f.KillNode(i)
	}
}

func (f *Fleet) startMassRestartHosts() error {
	for _, i := range massRestartHosts() {
		if err := f.StartNode(i); err != nil {
			return err
		}
	}
	return nil
}

// CrossUpdates publishes a valid, an invalid and another valid ticket at once
// while responses of the platform to half of the hosts are delayed.
func (f *Fleet) CrossUpdates() error {
	f.Network.Delay([]string{platformEndpoint}, f.nodeEndpoints()[:hostCount/2], delayedMessageLatency)
	if err := f.PublishTicket(); err != nil {
		return err
	}
	if err := f.PublishInvalidTicket(); err != nil {
		return err
	}
	return f.PublishTicket()
}

// crashBackend makes a backend server crash and lose all its running calls.
func (f *Fleet) crashBackend(i int) {
	request, err := http.NewRequestWithContext(f.ctx, http.MethodGet, "http://"+backendAddress(i), http.NoBody)
	if err != nil {
		return
	}
	request.Header.Set(standin.HeaderCrash, "1")
	response, err := f.client(endpointOf(i)).Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

func (f *Fleet) nodeEndpoints() []string {
	endpoints := make([]string, 0, hostCount)
	for i := range hostCount {
		endpoints = append(endpoints, endpointOf(i))
	}
	return endpoints
}

func (f *Fleet) allEndpoints() []string {
	return append(f.nodeEndpoints(), platformEndpoint, callerEndpoint)
}
