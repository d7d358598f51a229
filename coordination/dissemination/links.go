package dissemination

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/coordination/backoff"
	"github.com/wasabiport/wasabiport/state"
)

// Session is the state of the session with a peer.
type Session struct {
	// Connected is true if messages can be sent.
	Connected bool
	// LastReceivedAt is when the last message arrived.
	LastReceivedAt time.Time
}

// Config holds the settings of Links.
type Config struct {
	// SilenceTimeout is how long a parent may be silent or unreachable before
	// it is replaced.
	SilenceTimeout time.Duration
	// HoldDown bounds how long a replaced parent is not chosen again. Longer
	// times make the trees more stable.
	HoldDown backoff.Policy
	// PassiveOpenTimeout is how long a node waits for the other side to open a
	// session before it opens one itself.
	PassiveOpenTimeout time.Duration
	// RandomPeerInterval is the mean time between two choices of a random peer.
	RandomPeerInterval time.Duration
	// IsolatedInterval replaces RandomPeerInterval while there is no session.
	IsolatedInterval time.Duration
}

// isolatedPeerCount is the number of random peers that a node without a session
// tries at the same time.
const isolatedPeerCount = 3

// Links chooses the peers with which a node keeps sessions: its parents, its
// root peers, children that have not opened their sessions in time, and a
// random peer that fills gaps left by the trees. Its state is under one lock,
// which is never held while another shard is called.
type Links struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	topology *Topology
	parents  [TreeCount]state.HostName
	// lastSeenAt is when the last message arrived over each tree link, or when
	// the link became part of the trees or its timer was restarted.
	lastSeenAt map[state.HostName]time.Time
	heldDown   map[state.HostName]holdDown
	// adopted holds the peers that this node dials because they did not open
	// their session in time.
	adopted           map[state.HostName]bool
	randomPeers       []state.HostName
	nextRandomPeersAt time.Time
}

// holdDown is the time for which a replaced parent is not chosen again.
type holdDown struct {
	times int
	until time.Time
}

// NewLinks returns links without peers.
func NewLinks(config Config, random *rand.Rand) *Links {
	return &Links{
		config:     config,
		random:     random,
		topology:   &Topology{},
		lastSeenAt: make(map[state.HostName]time.Time),
		heldDown:   make(map[state.HostName]holdDown),
		adopted:    make(map[state.HostName]bool),
	}
}

// Topology returns the current position in the trees.
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

// SetTopology replaces the position in the trees.
func (l *Links) SetTopology(now time.Time, topology *Topology) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topology = topology
	l.chooseParents(now)
	l.syncTreeLinks(now)
}

// syncTreeLinks drops the state of links that are no longer part of the trees
// and adds new links.
func (l *Links) syncTreeLinks(now time.Time) {
	treeLinks := make(map[state.HostName]time.Time)
	for _, name := range l.treeLinks() {
		at, known := l.lastSeenAt[name]
		if !known {
			at = now
		}
		treeLinks[name] = at
	}
	l.lastSeenAt = treeLinks
	for name := range l.adopted {
		if _, ok := treeLinks[name]; !ok {
			delete(l.adopted, name)
		}
	}
}

func (l *Links) treeLinks() []state.HostName {
	treeLinks := slices.Concat(l.parents[:], l.topology.RootPeers, l.topology.Children)
	return slices.DeleteFunc(treeLinks, func(name state.HostName) bool { return name == "" })
}

// chooseParents chooses in each tree the best candidate that is not held down
// and not the parent in an earlier tree. If there is none, the first candidate
// is tried again.
func (l *Links) chooseParents(now time.Time) {
	for tree, candidates := range l.topology.Parents {
		parent := l.bestParent(now, tree, candidates)
		if parent != l.parents[tree] {
			l.parents[tree] = parent
			if parent != "" {
				l.lastSeenAt[parent] = now
			}
		}
	}
}

func (l *Links) bestParent(now time.Time, tree int, candidates []state.HostName) state.HostName {
	for _, name := range candidates {
		if now.Before(l.heldDown[name].until) || slices.Contains(l.parents[:tree], name) {
			continue
		}
		return name
	}
	if len(candidates) > 0 {
		return candidates[0]
	}
	return ""
}

// ResetTimers restarts the silence timers of all links after a pause of the
// process.
func (l *Links) ResetTimers(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.lastSeenAt {
		l.lastSeenAt[name] = now
	}
}

// CheckResult is the result of Links.Check.
type CheckResult struct {
	// Silent are the peers in the trees that are silent or unreachable.
	Silent []state.HostName
	// Replaced are the parents among them, which were replaced.
	Replaced []state.HostName
}

// Check detects peers in the trees that are silent or unreachable, and replaces
// the parents among them.
func (l *Links) Check(now time.Time, sessions map[state.HostName]Session) CheckResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	var checked CheckResult
	for name, lastSeenAt := range l.lastSeenAt {
		session := sessions[name]
		if session.Connected && session.LastReceivedAt.After(lastSeenAt) {
			lastSeenAt = session.LastReceivedAt
			l.lastSeenAt[name] = lastSeenAt
		}
		if now.Sub(lastSeenAt) > l.config.SilenceTimeout {
			checked.Silent = append(checked.Silent, name)
		}
	}
	slices.Sort(checked.Silent)
	for _, name := range checked.Silent {
		if slices.Contains(l.parents[:], name) {
			l.holdDownParent(now, name)
			checked.Replaced = append(checked.Replaced, name)
		}
	}
	l.chooseParents(now)
	l.syncTreeLinks(now)
	return checked
}

func (l *Links) holdDownParent(now time.Time, name state.HostName) {
	old := l.heldDown[name]
	if now.Sub(old.until) > l.config.HoldDown.Max {
		old.times = 0
	}
	next := holdDown{times: old.times + 1}
	next.until = now.Add(l.config.HoldDown.Bound(next.times))
	l.heldDown[name] = next
	l.lastSeenAt[name] = now
	for other, holdDown := range l.heldDown {
		if now.Sub(holdDown.until) > l.config.HoldDown.Max {
			delete(l.heldDown, other)
		}
	}
}

// RandomPeersDue reports whether new random peers should be chosen. A node that
// has become isolated chooses them earlier than scheduled.
func (l *Links) RandomPeersDue(now time.Time, isolated bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := now.Add(l.randomPeerInterval(isolated) * 3 / 2)
	return !now.Before(l.nextRandomPeersAt) || l.nextRandomPeersAt.After(latest)
}

func (l *Links) randomPeerInterval(isolated bool) time.Duration {
	if isolated {
		return l.config.IsolatedInterval
	}
	return l.config.RandomPeerInterval
}

// ChooseRandomPeers chooses new random peers among hosts.
func (l *Links) ChooseRandomPeers(now time.Time, hosts []state.Host, isolated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 1
	if isolated {
		count = isolatedPeerCount
	}
	interval := l.randomPeerInterval(isolated)
	l.nextRandomPeersAt = now.Add(interval/2 + time.Duration(l.random.Int64N(int64(interval)+1)))
	l.randomPeers = nil
	for range min(count, len(hosts)) {
		l.randomPeers = append(l.randomPeers, hosts[l.random.IntN(len(hosts))].Name)
	}
}

// Wanted returns the hosts with which this node keeps a session, without
// duplicates.
func (l *Links) Wanted(now time.Time, self state.HostName, sessions map[state.HostName]Session) []state.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	wanted := slices.Concat(l.parents[:], l.randomPeers)
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

// adopts reports whether this node keeps a session that the other side should
// have opened but did not. An adopted link stays adopted while it is part of
// the trees: if the node closed the session once it was connected, the session
// would be missing again.
func (l *Links) adopts(now time.Time, name state.HostName, session Session) bool {
	if l.isOverdue(now, name, session) {
		l.adopted[name] = true
	}
	return l.adopted[name]
}

// isOverdue reports whether the other side has failed to open the session in
// time.
func (l *Links) isOverdue(now time.Time, name state.HostName, session Session) bool {
	return !session.Connected && now.Sub(l.lastSeenAt[name]) >= l.config.PassiveOpenTimeout
}
