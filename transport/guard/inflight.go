package guard

import (
	"maps"
	"slices"
	"sync"

	"github.com/wasabiport/wasabiport/state"
)

// inFlight holds the calls that a backend server has at present.
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

// broken returns the fingerprints of all calls in flight when the connection
// of one of them breaks. The others break too when the backend server has
// crashed, so they are counted with the first and not again.
func (f *inFlight) broken(id state.CallID) []state.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, counts := f.calls[id]; !counts {
		return nil
	}
	fingerprints := slices.Collect(maps.Values(f.calls))
	clear(f.calls)
	return fingerprints
}

// all returns the fingerprints of the calls in flight.
func (f *inFlight) all() []state.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.calls))
}

// clear forgets the calls in flight, which have all broken together.
func (f *inFlight) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.calls)
}
