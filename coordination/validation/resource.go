package validation

import (
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Limits of one resource.
const (
	// MaxPathPrefixBytes is the length of the longest path prefix.
	MaxPathPrefixBytes = 1024
	// MaxTimeout is the longest time that a call may take.
	MaxTimeout = time.Hour
	// MaxWorth is the largest worth of a call.
	MaxWorth = 1e9
	// MaxWeight is the largest weight of a part of a split.
	MaxWeight = 1e6
	// MaxCallRate is the largest rate of a caller limit, in calls a second.
	MaxCallRate = 1e6
	// MaxQueueLimit is the largest number of calls in one queue.
	MaxQueueLimit = 100_000
	// MaxSlowStart is the longest slow start.
	MaxSlowStart = time.Hour
	// MaxRecordRetention is the longest time that call records are kept.
	MaxRecordRetention = 24 * time.Hour
	// MaxSlots is the largest number of slots of a backend server.
	MaxSlots = 10_000
	// MaxConnections is the largest number of connections of a backend
	// server.
	MaxConnections = 100_000
)

// floorTolerance allows for rounding in a sum of floors.
const floorTolerance = 1e-9

var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func checkRoute(faults *faultList, path string, route state.Route) {
	checkName(faults, path+".name", "route", route.Name)
	checkSplit(faults, path, route)
	if route.MaxAttempts < 0 {
		faults.add(path+".max_attempts", "the number of attempts %d is negative", route.MaxAttempts)
	}
	checkMatch(faults, path+".match", route.Match)
	if !route.Class.Valid() {
		faults.add(path+".class", "priority class %d does not exist", route.Class)
	}
	if route.Timeout <= 0 {
		faults.add(path+".timeout", "timeout %v is not positive", route.Timeout)
	}
	checkDuration(faults, path+".timeout", "timeout", route.Timeout, MaxTimeout)
	checkDuration(faults, path+".latency_target", "latency target", route.LatencyTarget, MaxTimeout)
	checkDecimal(faults, path+".worth", "worth", route.Worth, MaxWorth)
	checkCallerLimit(faults, path+".caller_limit", route.CallerLimit)
}

// checkSplit checks the services that a route names.
func checkSplit(faults *faultList, path string, route state.Route) {
	if len(route.Split) == 0 {
		checkName(faults, path+".service", "service", route.Service)
		return
	}
	if route.Service != "" {
		faults.add(path+".service", "a route that is split among services names none besides")
	}
	sum := 0.0
	for i, part := range route.Split {
		place := element(path+".split", i)
		checkName(faults, place+".service", "service", part.Service)
		checkDecimal(faults, place+".weight", "weight", part.Weight, MaxWeight)
		sum += part.Weight
	}
	if sum <= 0 {
		faults.add(path+".split", "no part of the split has a weight")
	}
}

func checkMatch(faults *faultList, path string, match state.Match) {
	if match.Host != "" {
		checkName(faults, path+".host", "host", match.Host)
	}
	switch prefix := match.PathPrefix; {
	case len(prefix) > MaxPathPrefixBytes:
		faults.add(path+".path_prefix", "path prefix has %d bytes; the limit is %d", len(prefix), MaxPathPrefixBytes)
	case !strings.HasPrefix(prefix, "/"):
		faults.add(path+".path_prefix", "path prefix %s does not start with '/'", quote(prefix))
	case strings.ContainsFunc(prefix, isNotPathCharacter):
		faults.add(path+".path_prefix", "path prefix %s has spaces, control characters, '?' or '#'", quote(prefix))
	}
	for i, method := range match.Methods {
		switch {
		case !slices.Contains(knownMethods, method):
			faults.add(element(path+".methods", i), "method %s is not supported", quote(method))
		case slices.Contains(match.Methods[:i], method):
			faults.add(element(path+".methods", i), "method %s is listed twice", quote(method))
		}
	}
}

func isNotPathCharacter(r rune) bool {
	return r <= ' ' || r == 0x7f || r == '?' || r == '#' || r == '\uFFFD'
}

func checkCallerLimit(faults *faultList, path string, limit state.CallerLimit) {
	checkDecimal(faults, path+".calls_per_second", "rate", limit.CallsPerSecond, MaxCallRate)
	checkCount(faults, path+".burst", "burst", limit.Burst, 0, MaxCallRate)
	if limit.CallsPerSecond > 0 && limit.Burst == 0 {
		faults.add(path+".burst", "a rate needs a burst of at least 1")
	}
}

func checkService(faults *faultList, path string, service state.Service) {
	checkName(faults, path+".name", "service", service.Name)
	sum := 0.0
	for class, floor := range service.Floors {
		checkDecimal(faults, element(path+".floors", class), "floor", floor, 1)
		sum += floor
	}
	if sum > 1+floorTolerance {
		faults.add(path+".floors", "the floors of service %s add up to %.3f; the limit is 1", quote(service.Name), sum)
	}
	for class, limit := range service.QueueLimits {
		checkCount(faults, element(path+".queue_limits", class), "queue limit", limit, 0, MaxQueueLimit)
	}
	checkDuration(faults, path+".slow_start", "slow start", service.SlowStart, MaxSlowStart)
	checkDuration(faults, path+".record_retention", "record retention", service.RecordRetention, MaxRecordRetention)
}

func checkBackendServer(faults *faultList, path string, server state.BackendServer) {
	checkName(faults, path+".name", "backend server", server.Name)
	checkName(faults, path+".service", "service", server.Service)
	checkName(faults, path+".host", "host", server.Host)
	checkName(faults, path+".zone", "availability zone", server.Zone)
	if _, err := netip.ParseAddrPort(server.Address); err != nil {
		faults.add(path+".address", "address %s is not an IP address with a port", quote(server.Address))
	}
	checkCount(faults, path+".slots", "slots", server.Slots, 1, MaxSlots)
	checkCount(faults, path+".connections", "connections", server.Connections, 1, MaxConnections)
}

func checkDuration(faults *faultList, path, what string, value, limit time.Duration) {
	if value < 0 {
		faults.add(path, "%s %v is negative", what, value)
	}
	if value > limit {
		faults.add(path, "%s %v is above the limit of %v", what, value, limit)
	}
}

func checkDecimal(faults *faultList, path, what string, value, limit float64) {
	if math.IsNaN(value) || value < 0 || value > limit {
		faults.add(path, "%s %v is not between 0 and %v", what, value, limit)
	}
}

func checkCount(faults *faultList, path, what string, value, least, most int) {
	if value < least || value > most {
		faults.add(path, "%s %d is not between %d and %d", what, value, least, most)
	}
}
