package peering

import "sync"

// threadGroup counts the threads of a pool. Unlike a WaitGroup alone, it may be
// asked for a thread while somebody waits for the end of all.
type threadGroup struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// Go starts a thread. It returns false when the group is closed.
func (g *threadGroup) Go(run func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.wait.Go(run)
	return true
}

// Close starts no more threads and waits until all have ended.
func (g *threadGroup) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wait.Wait()
}
