package guard

import (
	"maps"
	"slices"
	"sync"

	"github.com/wasabiport/wasabiport/state"
)

// inFlight holds the calls that are running at a backend server.
type inFlight struct {
	mu    sync.Mutex
	calls map[state.CallID]state.Fingerprint
}

func newInFlight() *inFlight { return &inFlight{calls: make(map[state.CallID]state.Fingerprint)} }

func (f *inFlight) add(id state.CallID, fingerprint state.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[id] = fingerprint
}

func (f *inFlight) remove(id state.CallID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, id)
}

// removeAllIfPresent removes all calls in flight and returns their fingerprints,
// or nil if the call with the ID is not in flight. When a backend server
// crashes, all its connections break: the first call to notice reports all of
// them as one crash, and the others find themselves already removed.
func (f *inFlight) removeAllIfPresent(id state.CallID) []state.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, present := f.calls[id]; !present {
		return nil
	}
	fingerprints := slices.Collect(maps.Values(f.calls))
	clear(f.calls)
	return fingerprints
}

// fingerprints returns the fingerprints of the calls in flight.
func (f *inFlight) fingerprints() []state.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.calls))
}

// clear removes the calls in flight after a crash that broke all of them.
func (f *inFlight) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.calls)
}
