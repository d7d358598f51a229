package validation

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Limits on the values of a resource.
const (
	// MaxPathPrefixBytes is the maximum length of a path prefix.
	MaxPathPrefixBytes = 1024
	// MaxTimeout is the maximum timeout and latency target of a route.
	MaxTimeout = time.Hour
	// MaxWorth is the maximum worth of a call.
	MaxWorth = 1e9
	// MaxWeight is the maximum weight of a part of a split.
	MaxWeight = 1e6
	// MaxCallRate is the maximum rate of a caller limit, in calls per second. It
	// also limits the burst.
	MaxCallRate = 1e6
	// MaxQueueLimit is the maximum queue limit of a priority class.
	MaxQueueLimit = 100_000
	// MaxSlowStart is the maximum duration of a slow start.
	MaxSlowStart = time.Hour
	// MaxColdStart is the maximum time for which a backend server is cold.
	MaxColdStart = 10 * time.Minute
	// MaxRecordRetention is the maximum retention time of call records.
	MaxRecordRetention = 24 * time.Hour
	// MaxSlots is the maximum number of slots of a backend server.
	MaxSlots = 10_000
	// MaxConnections is the maximum number of connections to a backend server.
	MaxConnections = 100_000
)

// floorTolerance allows for rounding errors in the sum of floors.
const floorTolerance = 1e-9

var supportedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func checkRoute(errs *errorList, path string, route state.Route) {
	checkName(errs, path+".name", "route", route.Name)
	checkSplit(errs, path, route)
	if route.MaxAttempts < 0 {
		errs.add(path+".max_attempts", "the number of attempts %d is negative", route.MaxAttempts)
	}
	checkMatch(errs, path+".match", route.Match)
	if !route.Class.Valid() {
		errs.add(path+".class", "priority class %d does not exist", route.Class)
	}
	if route.Timeout <= 0 {
		errs.add(path+".timeout", "timeout %v is not positive", route.Timeout)
	}
	checkDuration(errs, path+".timeout", "timeout", route.Timeout, MaxTimeout)
	checkDuration(errs, path+".latency_target", "latency target", route.LatencyTarget, MaxTimeout)
	checkDecimal(errs, path+".worth", "worth", route.Worth, MaxWorth)
	checkCallerLimit(errs, path+".caller_limit", route.CallerLimit)
}

// checkSplit checks the destinations of a route: either one service or a split.
func checkSplit(errs *errorList, path string, route state.Route) {
	if len(route.Split) == 0 {
		checkName(errs, path+".service", "service", route.Service)
		return
	}
	if route.Service != "" {
		errs.add(path+".service", "a route that is split among services names none besides")
	}
	sum := 0.0
	for i, part := range route.Split {
		partPath := indexedPath(path+".split", i)
		checkName(errs, partPath+".service", "service", part.Service)
		checkDecimal(errs, partPath+".weight", "weight", part.Weight, MaxWeight)
		sum += part.Weight
	}
	if sum <= 0 {
		errs.add(path+".split", "no part of the split has a weight")
	}
}

// IsPath reports whether a text can be the path prefix of a route or the health path of a
// service.
func IsPath(value string) bool {
	errs := &errorList{}
	checkPath(errs, "", "", value)
	return len(errs.errors) == 0
}

func checkMatch(errs *errorList, path string, match state.Match) {
	if match.Host != "" {
		checkName(errs, path+".host", "host", match.Host)
	}
	checkPath(errs, path+".path_prefix", "path prefix", match.PathPrefix)
	for i, method := range match.Methods {
		switch {
		case !slices.Contains(supportedMethods, method):
			errs.add(indexedPath(path+".methods", i), "method %s is not supported", quote(method))
		case slices.Contains(match.Methods[:i], method):
			errs.add(indexedPath(path+".methods", i), "method %s is listed twice", quote(method))
		}
	}
}

// checkPath checks the path of requests, or a prefix of it.
func checkPath(errs *errorList, path, label, value string) {
	switch {
	case len(value) > MaxPathPrefixBytes:
		errs.add(path, "%s has %d bytes; the limit is %d", label, len(value), MaxPathPrefixBytes)
	case !strings.HasPrefix(value, "/"):
		errs.add(path, "%s %s does not start with '/'", label, quote(value))
	case strings.ContainsFunc(value, isInvalidPathCharacter):
		errs.add(path, "%s %s has spaces, control characters, '?' or '#'", label, quote(value))
	}
}

func isInvalidPathCharacter(r rune) bool {
	return r <= ' ' || r == 0x7f || r == '?' || r == '#' || r == '\uFFFD'
}

func checkCallerLimit(errs *errorList, path string, limit state.CallerLimit) {
	checkDecimal(errs, path+".calls_per_second", "rate", limit.CallsPerSecond, MaxCallRate)
	checkCount(errs, path+".burst", "burst", limit.Burst, 0, MaxCallRate)
	if limit.CallsPerSecond > 0 && limit.Burst == 0 {
		errs.add(path+".burst", "a rate needs a burst of at least 1")
	}
}

func checkService(errs *errorList, path string, service state.Service) {
	checkName(errs, path+".name", "service", service.Name)
	sum := 0.0
	for class, floor := range service.Floors {
		checkDecimal(errs, indexedPath(path+".floors", class), "floor", floor, 1)
		sum += floor
	}
	if sum > 1+floorTolerance {
		errs.add(path+".floors", "the floors of service %s add up to %.3f; the limit is 1", quote(service.Name), sum)
	}
	for class, limit := range service.QueueLimits {
		checkCount(errs, indexedPath(path+".queue_limits", class), "queue limit", limit, 0, MaxQueueLimit)
	}
	checkDuration(errs, path+".slow_start", "slow start", service.SlowStart, MaxSlowStart)
	checkDuration(errs, path+".record_retention", "record retention", service.RecordRetention, MaxRecordRetention)
	checkDuration(errs, path+".cold_start", "cold start", service.ColdStart, MaxColdStart)
	checkDecimal(errs, path+".cold_per_second", "rate", service.ColdPerSecond, MaxCallRate)
	if service.HealthPath != "" {
		checkPath(errs, path+".health_path", "health path", service.HealthPath)
	}
}

func checkBackendServer(errs *errorList, path string, server state.BackendServer) {
	checkName(errs, path+".name", "backend server", server.Name)
	checkName(errs, path+".service", "service", server.Service)
	checkName(errs, path+".host", "host", server.Host)
	checkName(errs, path+".zone", "availability zone", server.Zone)
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		errs.add(path+".address", "address %s is not an IP address with a port", quote(server.Address))
	}
	checkCount(errs, path+".slots", "slots", server.Slots, 1, MaxSlots)
	checkCount(errs, path+".connections", "connections", server.Connections, 1, MaxConnections)
}

func checkDuration(errs *errorList, path, label string, value, limit time.Duration) {
	if value < 0 {
		errs.add(path, "%s %v is negative", label, value)
	}
	if value > limit {
		errs.add(path, "%s %v is above the limit of %v", label, value, limit)
	}
}

func checkDecimal(errs *errorList, path, label string, value, limit float64) {
	if math.IsNaN(value) || value < 0 || value > limit {
		errs.add(path, "%s %v is not between 0 and %v", label, value, limit)
	}
}

func checkCount(errs *errorList, path, label string, value, low, high int) {
	if value < low || value > high {
		errs.add(path, "%s %d is not between %d and %d", label, value, low, high)
	}
}
