package guard

import "time"

// Watch follows which keys this guard has to answer for, until Shutdown.
func (g *Guard) Watch() {
	left := g.left
	for {
		snapshot, changed := g.snapshots.LoadChanged()
		g.decisions.Owners.ObserveSnapshot(time.Now(), snapshot, g.host, g.leaving.Load(), 0)
		select {
		case <-changed:
		case <-left:
			left = nil
		case <-g.ctx.Done():
			return
		}
	}
}
