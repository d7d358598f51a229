package admission

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabiport/wasabiport/state"
)

// maxRoutes is the number of routes whose work is known at a gate. The route that has
// not been used for the longest time is forgotten first.
const maxRoutes = 256

// routeWork holds moving averages of the work of the calls on a route.
type routeWork struct {
	service serviceTime
	// bytes is the mean size of an answer, and answers the number of answers.
	bytes   float64
	answers int
	// started is the work of the calls that got a slot.
	started decayingWork
	// slack is the mean time from the arrival of a call to its latest start, in
	// seconds.
	slack    float64
	arrivals int
}

// startedWindow is the time constant of the moving average of the work that starts.
const startedWindow = 2 * time.Second

// decayingWork is the work of the calls that got a slot, as a decaying sum.
type decayingWork struct {
	sum float64 // seconds
	at  time.Time
}

func (w *decayingWork) add(now time.Time, window, work time.Duration) {
	w.sum = w.slots(now, window)*window.Seconds() + work.Seconds()
	w.at = now
}

// slots returns the number of slots that the calls occupy, averaged over a window.
func (w decayingWork) slots(now time.Time, window time.Duration) float64 {
	age := max(0, now.Sub(w.at).Seconds())
	return w.sum * math.Exp(-age/window.Seconds()) / window.Seconds()
}

// recordSlack records the time to the latest start of a call that arrives.
func (w *routeWork) recordSlack(slack time.Duration) {
	w.arrivals++
	w.slack += (slack.Seconds() - w.slack) * max(recentWeight, 1/float64(w.arrivals))
}

// observeAnswer records the size of a complete answer.
func (w *routeWork) observeAnswer(bytes float64) {
	w.answers++
	w.bytes += (bytes - w.bytes) * max(recentWeight, 1/float64(w.answers))
}

// routeWorks holds the work of the calls by route.
type routeWorks struct {
	routes *simplelru.LRU[routeKey, *routeWork]
}

// routeKey identifies the calls of one class on a route.
type routeKey struct {
	route state.RouteName
	class state.PriorityClass
}

func (r *Reservation) key() routeKey { return routeKey{r.route, r.class} }

func newRouteWorks() routeWorks {
	// The error is returned only for a size that is not positive.
	routes, _ := simplelru.NewLRU[routeKey, *routeWork](maxRoutes, nil)
	return routeWorks{routes: routes}
}

// get returns the work of a route, or nil if it is not known.
func (w routeWorks) get(route routeKey) *routeWork {
	work, _ := w.routes.Get(route)
	return work
}

// getOrAdd returns the work of a route.
func (w routeWorks) getOrAdd(route routeKey) *routeWork {
	if work, ok := w.routes.Get(route); ok {
		return work
	}
	work := &routeWork{service: serviceTime{ofRoute: true}}
	w.routes.Add(route, work)
	return work
}
