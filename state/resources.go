package state

import "time"

// Match selects the HTTP requests that a Route applies to.
type Match struct {
	// Host is the host of the request without the port. The empty string matches
	// every host.
	Host string
	// PathPrefix matches whole path segments: "/permits" matches "/permits/7"
	// but not "/permitsx". A prefix with a trailing slash does not match the
	// path without the slash.
	PathPrefix string
	// Methods lists the HTTP methods to match. Empty matches all methods.
	Methods []string
}

// CallerLimit limits the rate at which one caller may start calls on a Route at
// one entry node. The zero value sets no limit.
type CallerLimit struct {
	// CallsPerSecond is the sustained rate.
	CallsPerSecond float64
	// Burst is the number of calls that may start at the same time.
	Burst int
}

// SplitPart is one destination of a route that splits its calls by weight.
type SplitPart struct {
	Service ServiceName
	// Weight is relative to the weights of the other parts.
	Weight float64
}

// Route maps requests to a Service and sets the priority class, the timeouts and
// the limits of the calls.
type Route struct {
	Name  RouteName
	Match Match
	// Service is the destination of all calls, unless Split is set.
	Service ServiceName
	// Split divides the calls among several services. Calls to a service that is
	// overloaded are not redirected to another one.
	Split []SplitPart
	Class PriorityClass
	// LatencyTarget is the time within which users expect a response.
	LatencyTarget time.Duration
	// Timeout is the maximum duration of a call, including the time in queues.
	Timeout time.Duration
	// Worth is the relative value of one answered call, for reports.
	Worth float64
	// Idempotent is true if calls may safely run more than once. Only idempotent
	// calls are retried after they may have run.
	Idempotent bool
	// MaxAttempts is the maximum number of backend servers that one call is
	// sent to. 0 means that the entry node's setting applies.
	MaxAttempts int
	CallerLimit CallerLimit
}

// Services returns the destinations of the route.
func (r Route) Services() []ServiceName {
	if len(r.Split) == 0 {
		return []ServiceName{r.Service}
	}
	services := make([]ServiceName, len(r.Split))
	for i, part := range r.Split {
		services[i] = part.Service
	}
	return services
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name ServiceName
	// Floors is the fraction of the slots, from 0 to 1, that each priority class
	// is guaranteed when more urgent classes overload the service. The sum is at
	// most 1.
	Floors [ClassCount]float64
	// QueueLimits is the maximum number of calls of each priority class that may
	// wait for one backend server.
	QueueLimits [ClassCount]int
	// SlowStart is the time over which the usable slots of a backend server that
	// has just started are raised from a small fraction to all of them.
	SlowStart time.Duration
	// RecordRetention is how long the outcome of a call with an idempotency
	// key is kept.
	RecordRetention time.Duration
	// SelfRegistered is true if the backend servers of the service register
	// themselves (see Registry) and are not listed in tickets.
	SelfRegistered bool
	// Connections is the maximum number of connections to each backend server
	// that registered itself. 0 sets no limit.
	Connections int
	// ColdStart is how long a backend server that has started is cold: it takes only
	// ColdPerSecond requests per second. 0 means unknown.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests per second that a cold backend server
	// takes from all nodes together. 0 means that it takes any number.
	ColdPerSecond float64
	// HealthPath is the path of requests that report the health of a backend server.
	// It is used only with ColdPerSecond. Empty means that there is none.
	HealthPath string
}

// LimitsCold reports whether the backend servers of the service take fewer requests
// while they are cold.
func (s Service) LimitsCold() bool { return s.ColdPerSecond > 0 }

// DefaultService returns a service with the default settings.
func DefaultService(name ServiceName) Service {
	return Service{
		Name:            name,
		Floors:          [ClassCount]float64{0.25, 0.20, 0.10, 0.05},
		QueueLimits:     [ClassCount]int{64, 64, 32, 16},
		SlowStart:       10 * time.Second,
		RecordRetention: 10 * time.Minute,
	}
}

// AlreadyWarm is the value of BackendServer.WarmAt for one that is not cold. It is a
// constant in the past, so that neither clocks nor heartbeats change its meaning.
const AlreadyWarm = 1

// BackendServer is one process that serves calls to a Service.
type BackendServer struct {
	Name    BackendServerName
	Service ServiceName
	// Host is the host that the backend server runs on. Only the node on that
	// host, its guard, opens connections to the backend server.
	Host HostName
	// Zone is the availability zone of Host.
	Zone AvailabilityZone
	// Address is the IP address and port on which the backend server listens.
	Address string
	// Slots is the number of calls that the backend server runs concurrently.
	Slots int
	// Connections is the maximum number of connections to the backend server.
	Connections int
	// Draining is true if the backend server accepts no new calls.
	Draining bool
	// Incarnation changes when the backend server restarts under the same name.
	// 0 means unknown.
	Incarnation int64
	// WarmAt is the time, in Unix milliseconds, from which the backend server is
	// warm. It is AlreadyWarm if the backend server was not cold when it registered.
	// 0 means unknown.
	WarmAt int64
}
