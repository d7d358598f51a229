package picking

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// pickSpread picks a candidate at random, with a probability in proportion to its weight,
// from those whose delay is close to the minimum. Unlike the cheapest candidate, it
// depends little on load hints: nodes send few calls to each backend server of a large
// service, so their hints are old, and all would pick the same fast backend servers. The
// first backend server is one of the nearest of these, which saves bytes between
// availability zones; when its guard has no free slot, the others count as well.
func (p *Picker) pickSpread(candidates []candidate, first bool) state.BackendServer {
	minDelay := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.delay, b.delay) }).delay
	maxDelay := minDelay + time.Duration(spreadTolerance*float64(minDelay))
	near := slices.DeleteFunc(candidates, func(c candidate) bool { return c.delay > maxDelay })
	if first {
		near = nearest(near)
	}
	var total float64
	for _, c := range near {
		total += c.weight
	}
	draw := p.random.float64() * total
	for _, c := range near[1:] {
		if draw -= c.weight; draw < 0 {
			return *c.server
		}
	}
	return *near[0].server
}

// nearest returns the candidates with the lowest cost of the network path.
func nearest(candidates []candidate) []candidate {
	minCost := slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.networkCost, b.networkCost) }).networkCost
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.networkCost > minCost })
}
