// Package admission decides at the guard of a backend server which calls run,
// which wait and which are refused.
package admission

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Gate admits calls to one backend server. It is one shard of the guard's
// state and has its own lock.
type Gate struct {
	mu       sync.Mutex
	server   state.BackendServer
	service  state.Service
	running  int
	waiting  [state.ClassCount][]*Pass
	draining bool
}

// Pass is the place of one call at a Gate.
type Pass struct {
	class    state.PriorityClass
	caller   state.CallerName
	deadline time.Time
	decided  chan struct{}
	refusal  *state.Refusal
	holding  bool
}

// NewGate returns a gate with all slots free.
func NewGate(server state.BackendServer, service state.Service) *Gate {
	return &Gate{server: server, service: service}
}

// Configure takes over changed settings. Calls that run are not affected.
func (g *Gate) Configure(now time.Time, server state.BackendServer, service state.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server = server
	g.service = service
	g.grant()
}

// Request asks for a slot. The pass is decided at once or later; the caller
// waits on Decided and must then call Release or, when it gives up before,
// Abandon.
func (g *Gate) Request(now time.Time, head call.Head) *Pass {
	g.mu.Lock()
	defer g.mu.Unlock()
	pass := &Pass{
		class:    head.Class,
		caller:   head.Caller,
		deadline: head.Deadline,
		decided:  make(chan struct{}),
	}
	if g.draining || g.server.Draining {
		pass.refuse(state.NotRun(state.RefusedDraining, "the backend server takes no new calls"))
		return pass
	}
	if len(g.waiting[pass.class]) >= g.service.QueueLimits[pass.class] && g.running >= g.server.Slots {
		pass.refuse(state.NotRun(state.RefusedQueueFull, "the queue of the priority class is full"))
		return pass
	}
	g.waiting[pass.class] = append(g.waiting[pass.class], pass)
	g.grant()
	return pass
}

// Abandon takes a pass that is not needed any more out of the queue, or gives
// its slot back. It returns true when the pass had been granted.
func (g *Gate) Abandon(now time.Time, pass *Pass) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pass.holding {
		g.release(pass)
		return true
	}
	queue := g.waiting[pass.class]
	for i, other := range queue {
		if other == pass {
			g.waiting[pass.class] = append(queue[:i:i], queue[i+1:]...)
			break
		}
	}
	return false
}

// Release gives back the slot of a granted pass.
func (g *Gate) Release(now time.Time, pass *Pass) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(pass)
}

// Load returns the hint that rides on replies.
func (g *Gate) Load() call.LoadHint {
	g.mu.Lock()
	defer g.mu.Unlock()
	hint := call.LoadHint{
		BackendServer: g.server.Name,
		Running:       g.running,
		Slots:         g.server.Slots,
		Draining:      g.draining || g.server.Draining,
	}
	for _, queue := range g.waiting {
		hint.Waiting += len(queue)
	}
	return hint
}

// Drain refuses all waiting and new calls from now on.
func (g *Gate) Drain(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for class, queue := range g.waiting {
		for _, pass := range queue {
			pass.refuse(state.NotRun(state.RefusedDraining, "the backend server takes no new calls"))
		}
		g.waiting[class] = nil
	}
}

func (g *Gate) release(pass *Pass) {
	if !pass.holding {
		return
	}
	pass.holding = false
	g.running--
	g.grant()
}

func (g *Gate) grant() {
	for g.running < g.server.Slots {
		pass := g.dequeue()
		if pass == nil {
			return
		}
		g.running++
		pass.holding = true
		close(pass.decided)
	}
}

func (g *Gate) dequeue() *Pass {
	for class, queue := range g.waiting {
		if len(queue) == 0 {
			continue
		}
		g.waiting[class] = queue[1:]
		return queue[0]
	}
	return nil
}

func (p *Pass) refuse(refusal *state.Refusal) {
	p.refusal = refusal
	close(p.decided)
}

// Decided returns a channel that is closed when the pass is granted or
// refused.
func (p *Pass) Decided() <-chan struct{} { return p.decided }

// Refusal returns nil when the pass was granted. It must not be called before
// Decided is closed.
func (p *Pass) Refusal() *state.Refusal { return p.refusal }
