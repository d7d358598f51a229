package dissemination

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/state"
)

// Session is what a node knows of its session with a peer.
type Session struct {
	// Connected says that messages can be sent.
	Connected bool
	// LastReceivedAt is when the last message came.
	LastReceivedAt time.Time
}

// Config holds the settings of Links.
type Config struct {
	// SilenceTimeout is how long a parent may be silent or out of reach
	// before another one takes its place.
	SilenceTimeout time.Duration
	// HoldDown bounds how long a parent that was silent is not chosen
	// again. Longer times keep the trees steadier.
	HoldDown backoff.Policy
	// PassiveOpenTimeout is how long a node waits for a session that the other
	// side has to open before it opens one itself.
	PassiveOpenTimeout time.Duration
	// RandomPeerInterval is the mean time between two choices of a random peer
	// for repair.
	RandomPeerInterval time.Duration
	// IsolatedInterval is the same while there is no session at all.
	IsolatedInterval time.Duration
}

// isolatedPeerCount is the number of random peers that a node without any
// session tries at the same time.
const isolatedPeerCount = 3

// Links chooses the peers to which a node keeps sessions: its parents, the
// roots it is joined to, children that did not come by themselves, and a
// random peer for repair. Its state has one lock, which is never held while
// another shard is called.
type Links struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	topology *Topology
	parents  [TreeCount]state.HostName
	// seenAt is when each drawn link was last alive, or when it was drawn.
	seenAt  map[state.HostName]time.Time
	avoided map[state.HostName]avoidance
	// adopted holds the peers that this node dials in place of them.
	adopted  map[state.HostName]bool
	repair   []state.HostName
	repairAt time.Time
}

// avoidance is a parent that was silent.
type avoidance struct {
	times int
	until time.Time
}

// NewLinks returns links without any peer.
func NewLinks(config Config, random *rand.Rand) *Links {
	return &Links{
		config:   config,
		random:   random,
		topology: &Topology{},
		seenAt:   make(map[state.HostName]time.Time),
		avoided:  make(map[state.HostName]avoidance),
		adopted:  make(map[state.HostName]bool),
	}
}

// Topology returns the place in the trees that was drawn last.
func (l *Links) Topology() *Topology {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.topology
}

// Parent returns the parent in a tree, or "" at a root.
func (l *Links) Parent(tree int) state.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.parents[tree]
}

// SetTopology takes a new place in the trees.
func (l *Links) SetTopology(now time.Time, topology *Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topology = topology
	l.chooseParents(now)
	l.forgetUndrawn(now)
}

// forgetUndrawn drops the times of links that are not drawn any more and
// starts those of new ones.
func (l *Links) forgetUndrawn(now time.Time) {
	drawn := make(map[state.HostName]time.Time)
	for _, name := range l.drawn() {
		at, known := l.seenAt[name]
		if !known {
			at = now
		}
		drawn[name] = at
	}
	l.seenAt = drawn
	for name := range l.adopted {
		if _, ok := drawn[name]; !ok {
			delete(l.adopted, name)
		}
	}
}

func (l *Links) drawn() []state.HostName {
	drawn := slices.Concat(l.parents[:], l.topology.RootPeers, l.topology.Children)
	return slices.DeleteFunc(drawn, func(name state.HostName) bool { return name == "" })
}

// chooseParents takes in each tree the best candidate that is not avoided and
// not the parent in an earlier tree. When all are avoided, the first one is
// tried again.
func (l *Links) chooseParents(now time.Time) {
	for tree, candidates := range l.topology.Parents {
		parent := l.bestParent(now, tree, candidates)
		if parent != l.parents[tree] {
			l.parents[tree] = parent
			if parent != "" {
				l.seenAt[parent] = now
			}
		}
	}
}

func (l *Links) bestParent(now time.Time, tree int, candidates []state.HostName) state.HostName {
	for _, name := range candidates {
		if now.Before(l.avoided[name].until) || slices.Contains(l.parents[:tree], name) {
			continue
		}
		return name
	}
	if len(candidates) > 0 {
		return candidates[0]
	}
	return ""
}

// ResetTimers gives every link a new period of grace after a pause of this
// process.
func (l *Links) ResetTimers(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.seenAt {
		l.seenAt[name] = now
	}
}

// CheckResult is what Check has found.
type CheckResult struct {
	// Silent are the drawn peers that are silent or out of reach.
	Silent []state.HostName
	// Replaced are the parents among them, which were replaced.
	Replaced []state.HostName
}

// Check finds drawn peers that are silent or out of reach and replaces the
// parents among them.
func (l *Links) Check(now time.Time, sessions map[state.HostName]Session) CheckResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var checked CheckResult
	for name, seenAt := range l.seenAt {
		session := sessions[name]
		if session.Connected && session.LastReceivedAt.After(seenAt) {
			seenAt = session.LastReceivedAt
			l.seenAt[name] = seenAt
		}
		if now.Sub(seenAt) > l.config.SilenceTimeout {
			checked.Silent = append(checked.Silent, name)
		}
	}
	slices.Sort(checked.Silent)
	for _, name := range checked.Silent {
		if slices.Contains(l.parents[:], name) {
			l.avoid(now, name)
			checked.Replaced = append(checked.Replaced, name)
		}
	}
	l.chooseParents(now)
	l.forgetUndrawn(now)
	return checked
}

func (l *Links) avoid(now time.Time, name state.HostName) {
	old := l.avoided[name]
	if now.Sub(old.until) > l.config.HoldDown.Max {
		old.times = 0
	}
	next := avoidance{times: old.times + 1}
	next.until = now.Add(l.config.HoldDown.Bound(next.times))
	l.avoided[name] = next
	l.seenAt[name] = now
	for other, avoidance := range l.avoided {
		if now.Sub(avoidance.until) > l.config.HoldDown.Max {
			delete(l.avoided, other)
		}
	}
}

// RandomPeersDue reports whether new random peers are to be drawn. A node that has
// become isolated draws earlier than was planned.
func (l *Links) RandomPeersDue(now time.Time, isolated bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := now.Add(l.repairInterval(isolated) * 3 / 2)
	return !now.Before(l.repairAt) || l.repairAt.After(latest)
}

func (l *Links) repairInterval(isolated bool) time.Duration {
	if isolated {
		return l.config.IsolatedInterval
	}
	return l.config.RandomPeerInterval
}

// ChooseRandomPeers draws new random peers among hosts.
func (l *Links) ChooseRandomPeers(now time.Time, hosts []state.Host, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 1
	if isolated {
		count = isolatedPeerCount
	}
	interval := l.repairInterval(isolated)
	l.repairAt = now.Add(interval/2 + time.Duration(l.random.Int64N(int64(interval)+1)))
	l.repair = nil
	for range min(count, len(hosts)) {
		l.repair = append(l.repair, hosts[l.random.IntN(len(hosts))].Name)
	}
}

// Wanted returns the hosts to which this node keeps a session, without
// duplicates.
func (l *Links) Wanted(now time.Time, self state.HostName, sessions map[state.HostName]Session) []state.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := slices.Concat(l.parents[:], l.repair)
	for _, name := range l.topology.RootPeers {
		if self < name || l.adopts(now, name, sessions[name]) {
			wanted = append(wanted, name)
		}
	}
	for _, name := range l.topology.Children {
		if l.adopts(now, name, sessions[name]) {
			wanted = append(wanted, name)
		}
	}
	slices.Sort(wanted)
	wanted = slices.Compact(wanted)
	return slices.DeleteFunc(wanted, func(name state.HostName) bool { return name == "" || name == self })
}

// adopts reports whether this node keeps a session that the other side was to
// open and did not. It goes on doing so while the link is drawn: a session that
// it gave up as soon as it stood would be missing again at once.
func (l *Links) adopts(now time.Time, name state.HostName, session Session) bool {
	if l.isOverdue(now, name, session) {
		l.adopted[name] = true
	}
	return l.adopted[name]
}

// isOverdue reports whether the other side has not opened the session in
// time.
func (l *Links) isOverdue(now time.Time, name state.HostName, session Session) bool {
	return !session.Connected && now.Sub(l.seenAt[name]) >= l.config.PassiveOpenTimeout
}
