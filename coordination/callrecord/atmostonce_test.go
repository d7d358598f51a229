package callrecord_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/coordination/callrecord"
	"github.com/wasabiport/wasabiport/coordination/keyowner"
	"github.com/wasabiport/wasabiport/coordination/picking"
	"github.com/wasabiport/wasabiport/coordination/retry"
	"github.com/wasabiport/wasabiport/state"
)

// mesh is a small fleet of guards with two entry nodes. Restarts lose records,
// guards can't be reached for a while, backend servers drain, come and go, and
// changes reach each node at another time.
type mesh struct {
	now     time.Time
	picker  *picking.Picker
	policy  *retry.Policy
	guards  map[state.BackendServerName]*guardNode
	tickets []*state.Snapshot
	filed   time.Time
	entries [2]int // index of the ticket that each entry node has
	open    []*openCall
	keys    []string
	runs    map[string]int // times that bytes of a key reached a backend server
	serial  int
}

type guardNode struct {
	name        state.BackendServerName
	ticket      int
	incarnation int
	records     *callrecord.Records
	history     *keyowner.History
	reachable   bool
	draining    bool
}

// openCall is a call that a guard has claimed and not ended.
type openCall struct {
	guard       *guardNode
	incarnation int
	claim       callrecord.Claim
	key         string
	sent        bool
}

var serverNames = []state.BackendServerName{"booking-1", "booking-2", "booking-3"}

func newMesh() *mesh {
	m := &mesh{
		now:    started,
		picker: picking.NewPicker(picking.Config{}, nil, rand.New(rand.NewPCG(1, 2))),
		policy: retry.NewPolicy(retry.Config{}, retry.NewBudget(retry.BudgetConfig{Capacity: 1e9}), rand.New(rand.NewPCG(3, 4))),
		guards: make(map[state.BackendServerName]*guardNode),
		runs:   make(map[string]int),
	}
	m.file(serverNames)
	for _, name := range serverNames {
		m.guards[name] = &guardNode{name: name, reachable: true}
		m.start(m.guards[name])
	}
	m.now = m.now.Add(time.Minute) // keys that are made from now on may run
	return m
}

func (m *mesh) file(names []state.BackendServerName) {
	builder := state.NewSnapshotBuilder(nil)
	resources := state.Resources{Services: []state.Service{service}}
	for _, name := range names {
		resources.BackendServers = append(resources.BackendServers, state.BackendServer{Name: name, Service: service.Name, Host: hostOf(name)})
	}
	builder.Set(resources)
	number := state.TicketNumber(len(m.tickets) + 1)
	m.tickets = append(m.tickets, builder.Build(number, number))
	m.filed = m.now
}

func (m *mesh) start(guard *guardNode) {
	guard.incarnation++
	guard.draining = false
	guard.ticket = len(m.tickets) - 1
	guard.history = keyowner.NewHistory(retention)
	guard.records = callrecord.New(callrecord.Config{Started: m.now, KeyOwnership: guard.history})
	m.observe(guard)
}

func (m *mesh) observe(guard *guardNode) {
	snapshot := m.tickets[guard.ticket]
	guard.history.ObserveSnapshot(m.now, snapshot, hostOf(guard.name), guard.draining, 0)
}

func hostOf(name state.BackendServerName) state.HostName { return state.HostName("host of " + name) }

// settle brings the newest ticket to every node.
func (m *mesh) settle() {
	newest := len(m.tickets) - 1
	m.entries = [2]int{newest, newest}
	for _, name := range serverNames {
		m.guards[name].ticket = newest
		m.observe(m.guards[name])
	}
}

// call sends a call with key by an entry node and returns the refusal that its caller gets, or
// nil when it is claimed or answered.
func (m *mesh) call(key string, entry int) *state.Refusal {
	head := call.Head{
		Caller: "clinic-7", IdempotencyKey: key, Fingerprint: 1, Deadline: m.now.Add(time.Hour),
		Ticket: state.TicketNumber(entry + 1),
	}
	var declined []state.BackendServerName
	for attempts := 1; ; attempts++ {
		server, refusal := m.picker.PickKeyed(m.tickets[entry], service.Name, keyowner.Key{Caller: "clinic-7", Value: key}, declined)
		if refusal != nil {
			return retry.RefusalWithoutRecord(head, refusal)
		}
		head.BackendServer = server.Name
		if refusal = m.ask(m.guards[server.Name], head); refusal == nil {
			return nil
		}
		decision := m.policy.Decide(m.now, head, refusal, attempts)
		switch decision.Action {
		case retry.ActionReturnRefusal:
			return decision.Refusal
		case retry.ActionRetryOtherServer:
			declined = append(declined, server.Name)
		case retry.ActionRetrySameServer:
		}
	}
}

func (m *mesh) ask(guard *guardNode, head call.Head) *state.Refusal {
	if !guard.reachable {
		return state.NotRun(state.RefusedUnreachable, "")
	}
	claim := guard.records.Begin(m.now, head, service)
	switch claim.Kind {
	case callrecord.ClaimRefused:
		return claim.Refusal
	case callrecord.ClaimRun:
		if guard.draining {
			return guard.records.Fail(m.now, claim, state.NotRun(state.RefusedDraining, ""))
		}
		m.open = append(m.open, &openCall{
			guard: guard, incarnation: guard.incarnation, claim: claim, key: head.IdempotencyKey,
		})
	default:
	}
	return nil
}

func (m *mesh) drawGuard(t *rapid.T) *guardNode {
	return m.guards[rapid.SampledFrom(serverNames).Draw(t, "guard")]
}

func (m *mesh) newCall(t *rapid.T) {
	m.serial++
	key := fmt.Sprintf("opaque-%d", m.serial)
	if rapid.IntRange(0, 3).Draw(t, "kind of key") > 0 {
		// Keys are told apart by their last digits.
		key = keyMadeAt(m.now)[:24] + fmt.Sprintf("%012d", m.serial)
	}
	m.keys = append(m.keys, key)
	m.check(t, key)
}

func (m *mesh) resend(t *rapid.T) {
	if len(m.keys) == 0 {
		t.Skip("no call yet")
	}
	m.check(t, rapid.SampledFrom(m.keys).Draw(t, "key"))
}

// check sends a call and checks that an answer of "not run" is true.
func (m *mesh) check(t *rapid.T, key string) {
	entry := rapid.SampledFrom(m.entries[:]).Draw(t, "ticket of the entry node")
	if refusal := m.call(key, entry); refusal != nil && refusal.Outcome == state.OutcomeNotRun {
		require.Zero(t, m.runs[key], "refused as not run: %s", refusal.Detail)
	}
}

// step lets one open call go on.
func (m *mesh) step(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("no open call")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "call")
	open := m.open[i]
	if open.incarnation != open.guard.incarnation {
		m.open = slices.Delete(m.open, i, i+1) // its node is gone
		return
	}
	if !open.sent && rapid.Bool().Draw(t, "send") {
		open.guard.records.MarkSent(m.now, open.claim)
		open.sent = true
		m.runs[open.key]++
		require.Equal(t, 1, m.runs[open.key], "the call ran twice")
		return
	}
	if open.sent && rapid.Bool().Draw(t, "answer") {
		open.guard.records.Finish(m.now, open.claim, open.guard.records.NewRecording(call.ReplyHead{Status: 201}))
	} else {
		open.guard.records.Fail(m.now, open.claim, state.NotRun(state.RefusedBackendServerFailed, ""))
	}
	m.open = slices.Delete(m.open, i, i+1)
}

func (m *mesh) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 30, 400}).Draw(t, "seconds")) * time.Second)
	if m.now.Sub(m.filed) > callrecord.DefaultPropagationTime {
		m.settle()
	}
}

func (m *mesh) ticket(t *rapid.T) {
	m.settle() // one change at a time
	present := rapid.SliceOfNDistinct(rapid.SampledFrom(serverNames), 1, 3, rapid.ID).Draw(t, "servers")
	slices.Sort(present)
	m.file(present)
}

func (m *mesh) deliver(t *rapid.T) {
	guard := m.drawGuard(t)
	guard.ticket = len(m.tickets) - 1
	m.observe(guard)
	if i := rapid.IntRange(0, len(m.entries)).Draw(t, "entry"); i < len(m.entries) {
		m.entries[i] = len(m.tickets) - 1
	}
}

func (m *mesh) drain(t *rapid.T) {
	guard := m.drawGuard(t)
	guard.draining = !guard.draining
	m.observe(guard)
}

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "4000", "steps": "80", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh()
		t.Repeat(map[string]func(*rapid.T){
			"call":    m.newCall,
			"resend":  m.resend,
			"step":    m.step,
			"wait":    m.wait,
			"ticket":  m.ticket,
			"deliver": m.deliver,
			"drain":   m.drain,
			"restart": func(t *rapid.T) { m.start(m.drawGuard(t)) },
			"partition": func(t *rapid.T) {
				guard := m.drawGuard(t)
				guard.reachable = !guard.reachable
			},
		})
	})
}
