package picking

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// answerWeight is the weight of a new answer in the means of its route.
const answerWeight = 1.0 / 16

// routes knows the usual answers on each route, in shards by route.
type routes struct {
	usual *state.ShardedMap[state.RouteName, usualAnswer]
}

// usualAnswer holds moving means of the answers on a route.
type usualAnswer struct {
	bytes       float64
	serviceTime float64 // seconds; 0 when it is not known
}

func newRoutes() routes {
	return routes{usual: state.NewShardedMap[state.RouteName, usualAnswer](state.DefaultShardCount)}
}

// observe takes an answer over, and returns its service time as a multiple of
// the route's usual one, if both are known.
func (r routes) observe(route state.RouteName, answer Response) (pace float64, known bool) {
	r.usual.Update(route, func(usual usualAnswer, present bool) (usualAnswer, bool) {
		if answer.Bytes >= 0 {
			usual.bytes = meanOf(usual.bytes, float64(answer.Bytes), present)
		}
		if answer.ServiceTime <= 0 || answer.Failed {
			return usual, true
		}
		took := answer.ServiceTime.Seconds()
		if known = usual.serviceTime > 0; known {
			pace = took / usual.serviceTime
		}
		usual.serviceTime = meanOf(usual.serviceTime, took, known)
		return usual, true
	})
	return pace, known
}

func meanOf(mean, sample float64, present bool) float64 {
	if !present {
		return sample
	}
	return mean + (sample-mean)*answerWeight
}

// expected returns how many bytes of bodies a call moves, and how long a usual
// backend server takes for it.
func (r routes) expected(head call.Head) (bytes float64, service time.Duration) {
	usual, _ := r.usual.Get(head.Route)
	service = defaultServiceTime
	if usual.serviceTime > 0 {
		service = time.Duration(usual.serviceTime * float64(time.Second))
	}
	return usual.bytes + float64(max(0, head.ContentLength)), service
}
