package faults

import (
	"context"
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/internal/standin"
)

// Fault is something that fails for a while.
type Fault struct {
	Name string
	// Same says why the fault can't occur on its own; it is empty for faults
	// that can be run.
	Same string
	// Planned says that the fault is a planned stop, which cuts no call.
	Planned bool
	Begin   func(ctx context.Context, f *Fleet) error
	End     func(f *Fleet) error
}

// floodRate is five times what the backend servers can run of 40 ms calls.
const floodRate = 5 * hostCount * slotsPerBackend * int(time.Second/(40*time.Millisecond))

// lateMessage is how late messages are that come late.
const lateMessage = 800 * time.Millisecond

// victim is the host that a fault of one host hits.
const victim = 1

// Faults returns every fault.
func Faults() []Fault {
	return append(append(processFaults(), sourceFaults()...), append(networkFaults(), workFaults()...)...)
}

func processFaults() []Fault {
	return []Fault{
		{
			Name:  "process dies",
			Begin: func(_ context.Context, f *Fleet) error { f.KillNode(victim); return nil },
			End:   func(f *Fleet) error { return f.StartNode(victim) },
		},
		{
			Name:  "herd dies and comes back",
			Begin: func(_ context.Context, f *Fleet) error { f.killHerd(); return nil },
			End:   (*Fleet).startHerd,
		},
		{
			Name:    "planned stop",
			Planned: true,
			Begin:   func(_ context.Context, f *Fleet) error { return f.StopNode(victim) },
			End:     func(f *Fleet) error { return f.StartNode(victim) },
		},
		{
			Name: "pause and late wake",
			Begin: func(_ context.Context, f *Fleet) error {
				f.Network.Cut([]string{endpointOf(victim)}, f.everyEndpoint())
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
			Begin: func(_ context.Context, f *Fleet) error { f.Platform.SetStale(true); return f.FileTicket() },
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
				f.Network.Delay(f.nodeEndpoints(), f.nodeEndpoints(), lateMessage)
				return nil
			},
			End: heal,
		},
		{
			Name: "message twice",
			Same: "a stream carries a message once; the redundant pushes of every run bring each ticket several times",
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
			Begin: func(_ context.Context, f *Fleet) error { f.crashBackend(victim); return nil },
			End:   func(*Fleet) error { return nil },
		},
		{
			Name: "crashing request",
			Begin: func(_ context.Context, f *Fleet) error {
				crashing := Notice
				crashing.Crashes = true
				f.threads.Go(func() { f.Call(crashing, victim) })
				return nil
			},
			End: func(*Fleet) error { return nil },
		},
		{
			Name:  "drain",
			Begin: func(_ context.Context, f *Fleet) error { return f.Drain(victim) },
			End:   func(*Fleet) error { return nil },
		},
	}
}

// partition cuts the first availability zone from others.
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

// flood sends many small calls of a kind; large bodies would only slow the run.
func flood(name string, kind Kind) Fault {
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

// herd is the part of the fleet that dies together.
func herd() []int { return []int{0, 1, 2, 3} }

func (f *Fleet) killHerd() {
	for _, i := range herd() {
		f.KillNode(i)
	}
}

func (f *Fleet) startHerd() error {
	for _, i := range herd() {
		if err := f.StartNode(i); err != nil {
			return err
		}
	}
	return nil
}

// CrossUpdates files a good, a bad and a good ticket at once while half of the
// hosts hear from the platform late.
func (f *Fleet) CrossUpdates() error {
	f.Network.Delay([]string{platformEndpoint}, f.nodeEndpoints()[:hostCount/2], lateMessage)
	if err := f.FileTicket(); err != nil {
		return err
	}
	if err := f.FileBadTicket(); err != nil {
		return err
	}
	return f.FileTicket()
}

// crashBackend lets a backend server lose all calls that it runs.
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

func (f *Fleet) everyEndpoint() []string {
	return append(f.nodeEndpoints(), platformEndpoint, callerEndpoint)
}
