package admission_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/wasabiport/wasabiport/coordination/admission"
	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// load is a Poisson stream of calls of one class.
type load struct {
	class    state.PriorityClass
	perSec   float64
	callers  int // 0 for one greedy caller
	service  time.Duration
	deadline time.Duration
	target   time.Duration
	// uncounted excludes the load from the outcomes.
	uncounted bool
}

func (l load) caller(random *rand.Rand) state.CallerName {
	if l.callers == 0 {
		return "greedy"
	}
	return callerName(random.IntN(l.callers))
}

// outcome counts the results of the calls of one class.
type outcome struct {
	offered, answered, inTarget, refused, late int
	slotTime                                   time.Duration
}

// server is the system under test: a gate or the baseline.
type server interface {
	request(now time.Time, head call.Head) handle
	release(now time.Time, handle handle)
}

// handle is one call at a server.
type handle interface {
	decided() bool
	refused() bool
}

type simulatedCall struct {
	load    load
	arrived time.Time
	started time.Time
	handle  handle
}

type event struct {
	at    time.Time
	order int
	run   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs loads against a server in virtual time.
type simulation struct {
	server   server
	random   *rand.Rand
	events   events
	order    int
	waiting  []*simulatedCall
	outcomes [state.ClassCount]outcome
	ignored  outcome
}

func simulate(server server, seed uint64, length time.Duration, loads ...load) [state.ClassCount]outcome {
	s := &simulation{server: server, random: rand.New(rand.NewPCG(seed, 0))}
	end := epoch.Add(length)
	for _, load := range loads {
		s.scheduleArrival(epoch, end, load)
	}
	for len(s.events) > 0 {
		next := heap.Pop(&s.events).(event)
		next.run(next.at)
		s.collect(next.at)
	}
	return s.outcomes
}

func (s *simulation) schedule(at time.Time, run func(time.Time)) {
	s.order++
	heap.Push(&s.events, event{at: at, order: s.order, run: run})
}

func (s *simulation) scheduleArrival(after, end time.Time, load load) {
	at := after.Add(time.Duration(s.random.ExpFloat64() / load.perSec * float64(time.Second)))
	if at.After(end) {
		return
	}
	s.schedule(at, func(now time.Time) {
		s.arrive(now, load)
		s.scheduleArrival(now, end, load)
	})
}

func (s *simulation) counts(load load) *outcome {
	if load.uncounted {
		return &s.ignored
	}
	return &s.outcomes[load.class]
}

func (s *simulation) arrive(now time.Time, load load) {
	s.counts(load).offered++
	head := call.Head{
		Class:        load.class,
		Caller:       load.caller(s.random),
		Deadline:     now.Add(load.deadline),
		SoftDeadline: now.Add(load.target),
	}
	s.waiting = append(s.waiting, &simulatedCall{load: load, arrived: now, handle: s.server.request(now, head)})
}

// collect starts or counts as refused the calls that the server has decided.
func (s *simulation) collect(now time.Time) {
	undecided := s.waiting[:0]
	for _, waiting := range s.waiting {
		if !waiting.handle.decided() {
			undecided = append(undecided, waiting)
			continue
		}
		s.decide(now, waiting)
	}
	s.waiting = undecided
}

func (s *simulation) decide(now time.Time, decided *simulatedCall) {
	if decided.handle.refused() {
		s.counts(decided.load).refused++
		return
	}
	decided.started = now
	service := time.Duration(float64(decided.load.service) * (0.5 + s.random.Float64()))
	s.schedule(now.Add(service), func(now time.Time) { s.finish(now, decided) })
}

func (s *simulation) finish(now time.Time, done *simulatedCall) {
	counts := s.counts(done.load)
	counts.slotTime += now.Sub(done.started)
	switch took := now.Sub(done.arrived); {
	case took > done.load.deadline:
		counts.late++
	default:
		counts.answered++
		if took <= done.load.target {
			counts.inTarget++
		}
	}
	s.server.release(now, done.handle)
}

// gateServer adapts a Gate to server.
type gateServer struct{ gate *admission.Gate }

type gateHandle struct{ reservation *admission.Reservation }

func (g gateServer) request(now time.Time, head call.Head) handle {
	return gateHandle{g.gate.Request(now, head)}
}

func (g gateServer) release(now time.Time, h handle) { g.gate.Release(now, h.(gateHandle).reservation) }

func (h gateHandle) decided() bool {
	select {
	case <-h.reservation.Decided():
		return true
	default:
		return false
	}
}

func (h gateHandle) refused() bool { return h.reservation.Refusal() != nil }

// fifoServer is the baseline: one bounded FIFO queue.
type fifoServer struct {
	slots, queueLimit, running int
	queue                      []*fifoHandle
}

type fifoHandle struct{ granted, full bool }

func (f *fifoServer) request(_ time.Time, _ call.Head) handle {
	h := &fifoHandle{}
	switch {
	case f.running < f.slots:
		f.running++
		h.granted = true
	case len(f.queue) >= f.queueLimit:
		h.full = true
	default:
		f.queue = append(f.queue, h)
	}
	return h
}

func (f *fifoServer) release(time.Time, handle) {
	if len(f.queue) == 0 {
		f.running--
		return
	}
	f.queue[0].granted = true
	f.queue = f.queue[1:]
}

func (h *fifoHandle) decided() bool { return h.granted || h.full }
func (h *fifoHandle) refused() bool { return h.full }
