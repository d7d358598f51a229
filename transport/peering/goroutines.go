package peering

import "sync"

// goroutineGroup tracks the goroutines of a pool. Unlike with a bare WaitGroup, Go
// may be called concurrently with Close.
type goroutineGroup struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// Go runs a function in a new goroutine. It returns false when the group is
// closed.
func (g *goroutineGroup) Go(run func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(run)
	return true
}

// Close prevents new goroutines and waits for the running ones to end.
func (g *goroutineGroup) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
