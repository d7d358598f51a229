package picking

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// averageWeight is the weight of a new response in the moving averages of its
// route.
const averageWeight = 1.0 / 16

// routeStats holds the moving averages of the responses on each route, sharded
// by route.
type routeStats struct {
	averages *state.ShardedMap[state.RouteName, routeAverages]
}

// routeAverages holds moving averages of the responses on a route.
type routeAverages struct {
	bytes       float64
	serviceTime float64 // seconds; 0 if unknown
}

func newRouteStats() routeStats {
	return routeStats{averages: state.NewShardedMap[state.RouteName, routeAverages](state.DefaultShardCount)}
}

// observe records a response. It returns the ratio of its service time to the
// average of the route, if both are known.
func (r routeStats) observe(route state.RouteName, response Response) (latencyRatio float64, known bool) {
	r.averages.Update(route, func(averages routeAverages, present bool) (routeAverages, bool) {
		if response.Bytes >= 0 {
			averages.bytes = updateMean(averages.bytes, float64(response.Bytes), present)
		}
		if response.ServiceTime <= 0 || response.Failed {
			return averages, true
		}
		serviceSeconds := response.ServiceTime.Seconds()
		if known = averages.serviceTime > 0; known {
			latencyRatio = serviceSeconds / averages.serviceTime
		}
		averages.serviceTime = updateMean(averages.serviceTime, serviceSeconds, known)
		return averages, true
	})
	return latencyRatio, known
}

func updateMean(mean, sample float64, present bool) float64 {
	if !present {
		return sample
	}
	return mean + (sample-mean)*averageWeight
}

// estimate returns the expected number of response body bytes of a call, and its
// typical service time.
func (r routeStats) estimate(head call.Head) (answerBytes float64, service time.Duration) {
	averages, _ := r.averages.Get(head.Route)
	service = defaultServiceTime
	if averages.serviceTime > 0 {
		service = time.Duration(averages.serviceTime * float64(time.Second))
	}
	return averages.bytes, service
}
