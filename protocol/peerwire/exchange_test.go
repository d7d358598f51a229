package peerwire_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/protocol/peerwire"
	"github.com/wasabiport/wasabiport/protocol/wirepb"
	"github.com/wasabiport/wasabiport/state"
)

// Figures of the exchange.
const (
	hopDelay = time.Millisecond
	// frameOverheadBytes is a yamux header, a length and the TCP/IP headers
	// of a message that travels alone.
	frameOverheadBytes = 12 + 2 + 52
	dialRetryInterval  = time.Second
	// wakeDelay collects the messages after which a node looks for what is
	// due.
	wakeDelay = 20 * time.Millisecond
	watchWait = 25 * time.Second
)

var start = time.Unix(1_700_000_000, 0)

// exchange carries encoded messages between planes under a virtual time.
type exchange struct {
	t      require.TestingT
	now    time.Time
	events eventQueue
	serial int
	random *rand.Rand
	nodes  []*node
	byName map[state.HostName]*node
	source *source
	// cut says which hosts can't reach each other.
	cut func(a, b state.Host) bool
	// tune changes the settings of a node.
	tune func(*control.Config)

	messages int
	bytes    int
}

// node is one plane with its sessions.
type node struct {
	host      state.Host
	plane     *control.Plane
	snapshots *state.SnapshotStore
	up        bool
	paused    bool
	// life grows with each start, so that events of an earlier one are void.
	life     int
	sessions map[state.HostName]bool
	dialedAt map[state.HostName]time.Time
	inbox    []func()
	wakeAt   time.Time
	reading  [2]bool
	events   []control.Event
	bytes    int
}

// newExchange returns an exchange with zones times hostsPerZone nodes that are
// all down.
func newExchange(t require.TestingT, zones, hostsPerZone int) *exchange {
	x := &exchange{
		t: t, now: start, random: rand.New(rand.NewPCG(7, 7)),
		byName: make(map[state.HostName]*node),
		cut:    func(_, _ state.Host) bool { return false },
		tune:   func(*control.Config) {},
	}
	x.source = newSource(x)
	for zone := range zones {
		for i := range hostsPerZone {
			host := state.Host{
				Name:        state.HostName(fmt.Sprintf("host-%d-%d", zone, i)),
				Zone:        state.AvailabilityZone(fmt.Sprintf("zone-%d", zone)),
				Region:      state.Region(fmt.Sprintf("region-%d", zone/3)),
				PeerAddress: fmt.Sprintf("10.%d.%d.%d:7001", zone, i/250, i%250),
			}
			n := &node{host: host}
			x.nodes = append(x.nodes, n)
			x.byName[host.Name] = n
			x.source.list.Hosts = append(x.source.list.Hosts, host)
		}
	}
	x.source.list.Version = 1
	return x
}

func (x *exchange) at(at time.Time, run func()) {
	x.serial++
	heap.Push(&x.events, event{at: at, serial: x.serial, run: run})
}

func (x *exchange) after(delay time.Duration, run func()) { x.at(x.now.Add(delay), run) }

// run lets a time pass.
func (x *exchange) run(duration time.Duration) {
	end := x.now.Add(duration)
	for len(x.events) > 0 && !x.events[0].at.After(end) {
		next := heap.Pop(&x.events).(event)
		x.now = next.at
		next.run()
	}
	x.now = end
}

// runUntil lets time pass until done is true, at most for limit.
func (x *exchange) runUntil(limit time.Duration, done func() bool) time.Duration {
	began := x.now
	for !done() {
		if x.now.Sub(began) > limit {
			require.FailNow(x.t, "not done in time", "after %v", limit)
		}
		x.run(10 * time.Millisecond)
	}
	return x.now.Sub(began)
}

func (x *exchange) startAll() {
	for _, n := range x.nodes {
		x.start(n)
	}
}

func (x *exchange) start(n *node) {
	n.life++
	n.up, n.paused = true, false
	n.sessions = make(map[state.HostName]bool)
	n.dialedAt = make(map[state.HostName]time.Time)
	n.reading = [2]bool{}
	n.inbox = nil
	n.wakeAt = time.Time{}
	n.snapshots = state.NewSnapshotStore(1)
	config := control.Config{Self: n.host, Incarnation: uint64(x.now.UnixNano())}
	x.tune(&config)
	n.plane = control.NewPlane(config, n.snapshots, rand.New(rand.NewPCG(x.random.Uint64(), 1)))
	x.wake(n, x.now)
}

// stop ends a node without a word. Its peers notice the lost sessions.
func (x *exchange) stop(n *node) {
	n.up = false
	n.life++
	for _, other := range x.nodes {
		if n.sessions[other.host.Name] {
			x.disconnect(n, other)
		}
	}
}

func (x *exchange) disconnect(a, b *node) {
	delete(a.sessions, b.host.Name)
	delete(b.sessions, a.host.Name)
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		self, other := pair[0], pair[1].host.Name
		if self.up {
			x.act(self, func() { x.carryOut(self, self.plane.Disconnected(x.now, other)) })
		}
	}
}

// partition cuts hosts off from each other and ends their sessions.
func (x *exchange) partition(cut func(a, b state.Host) bool) {
	x.cut = cut
	for _, a := range x.nodes {
		for _, b := range x.nodes {
			if a.sessions[b.host.Name] && cut(a.host, b.host) {
				x.disconnect(a, b)
			}
		}
	}
}

func (x *exchange) pause(n *node) { n.paused = true }

func (x *exchange) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		run()
	}
	x.wake(n, x.now)
}

// act runs something on a node, or later when it is paused.
func (x *exchange) act(n *node, run func()) {
	life := n.life
	guarded := func() {
		if n.up && n.life == life {
			run()
		}
	}
	if n.paused {
		n.inbox = append(n.inbox, guarded)
		return
	}
	guarded()
}

// wake has a node do what is due at a time, unless it is awake earlier.
func (x *exchange) wake(n *node, at time.Time) {
	if n.wakeAt.After(x.now) && !at.Before(n.wakeAt) {
		return
	}
	n.wakeAt = at
	life := n.life
	x.at(at, func() {
		if n.life == life && n.wakeAt.Equal(at) {
			x.act(n, func() { x.tick(n) })
		}
	})
}

func (x *exchange) tick(n *node) {
	output, next := n.plane.Tick(x.now)
	x.send(n, output)
	x.dialWanted(n)
	x.read(n)
	n.wakeAt = time.Time{}
	x.wake(n, next)
}

func (x *exchange) carryOut(n *node, output control.Output) {
	x.send(n, output)
	x.wake(n, x.now.Add(wakeDelay))
}

func (x *exchange) send(n *node, output control.Output) {
	n.events = append(n.events, output.Events...)
	for _, send := range output.Messages {
		if !n.sessions[send.To] {
			continue
		}
		x.deliver(n, x.byName[send.To], send.Message)
	}
}

func (x *exchange) deliver(from, to *node, message control.Message) {
	encoded, err := peerwire.Encode(message)
	require.NoError(x.t, err)
	raw, err := proto.Marshal(encoded)
	require.NoError(x.t, err)
	x.messages++
	x.bytes += len(raw) + frameOverheadBytes
	from.bytes += len(raw) + frameOverheadBytes
	life := to.life
	x.after(hopDelay, func() {
		if to.life != life || x.cut(from.host, to.host) {
			return
		}
		var decoded wirepb.PeerMessage
		require.NoError(x.t, proto.Unmarshal(raw, &decoded))
		received, err := peerwire.Decode(&decoded)
		require.NoError(x.t, err)
		x.act(to, func() { x.carryOut(to, to.plane.Receive(x.now, from.host.Name, received)) })
	})
}

// all reports whether a condition holds on every node that is up.
func (x *exchange) all(holds func(n *node) bool) bool {
	for _, n := range x.nodes {
		if n.up && !holds(n) {
			return false
		}
	}
	return true
}

func (x *exchange) allAt(number state.TicketNumber) func() bool {
	return func() bool {
		return x.all(func(n *node) bool { return n.plane.Version().Evaluated >= number })
	}
}

func (x *exchange) allReady() bool {
	return x.all(func(n *node) bool {
		ready, _ := n.plane.Ready(x.now)
		return ready
	})
}
