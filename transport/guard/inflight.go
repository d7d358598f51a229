package guard

import (
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
	fingerprints := make([]state.Fingerprint, 0, len(f.calls))
	for _, fingerprint := range f.calls {
		fingerprints = append(fingerprints, fingerprint)
	}
	clear(f.calls)
	return fingerprints
}
