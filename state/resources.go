package state

import "time"

// Match selects the HTTP requests that a Route serves.
type Match struct {
	// Host is the request's host without port. Empty matches every host.
	Host string
	// PathPrefix is matched against whole path segments, so that "/permits"
	// matches "/permits/7" but not "/permitsx". One that ends with a slash
	// does not match the path without it.
	PathPrefix string
	// Methods lists the HTTP methods served. Empty means all methods.
	Methods []string
}

// CallerLimit bounds the calls that one caller may start on a Route at one
// entry node. The zero value sets no limit.
type CallerLimit struct {
	// CallsPerSecond is the sustained rate.
	CallsPerSecond float64
	// Burst is the number of calls that may start at once.
	Burst int
}

// SplitPart is the share of a route's calls that goes to one service.
type SplitPart struct {
	Service ServiceName
	// Weight is the share, relative to the weights of the other parts.
	Weight float64
}

// Route says which calls go to which Service and how they are ranked.
type Route struct {
	Name  RouteName
	Match Match
	// Service takes all calls of the route, unless Split is set.
	Service ServiceName
	// Split divides the calls among several services. The share of a service
	// that has no room is not moved to another.
	Split []SplitPart
	Class PriorityClass
	// LatencyTarget is the time within which the users want an answer.
	LatencyTarget time.Duration
	// Timeout is the longest time a call may take, queueing included.
	Timeout time.Duration
	// Worth is the relative value of one answered call, for reports.
	Worth float64
	// Idempotent says that running a call twice does no harm. Only
	// idempotent calls are retried after they may have run.
	Idempotent bool
	// MaxAttempts is the number of backend servers that may get one call. 0
	// leaves it to the entry node.
	MaxAttempts int
	CallerLimit CallerLimit
}

// Services returns the services that the calls of the route go to.
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

// Service is a set of backend servers that give the same answers.
type Service struct {
	Name ServiceName
	// Floors is the share of slots, from 0 to 1, that each priority class
	// keeps while more urgent classes flood. The sum is at most 1.
	Floors [ClassCount]float64
	// QueueLimits is the number of calls that may wait in each priority
	// class at one backend server.
	QueueLimits [ClassCount]int
	// SlowStart is the time over which a cold backend server is brought
	// from a small share of its slots to all of them.
	SlowStart time.Duration
	// RecordRetention is how long the outcome of a call with an idempotency
	// key is kept.
	RecordRetention time.Duration
	// SelfRegistered says that the backend servers of the service register
	// themselves, see Registry, and that tickets do not list them.
	SelfRegistered bool
	// Connections is the number of connections that each backend server that
	// registered itself accepts. 0 sets no limit.
	Connections int
}

// DefaultService returns the settings of a service that states none but its
// name.
func DefaultService(name ServiceName) Service {
	return Service{
		Name:            name,
		Floors:          [ClassCount]float64{0.25, 0.20, 0.10, 0.05},
		QueueLimits:     [ClassCount]int{64, 64, 32, 16},
		SlowStart:       10 * time.Second,
		RecordRetention: 10 * time.Minute,
	}
}

// BackendServer is one process that answers calls of a Service.
type BackendServer struct {
	Name    BackendServerName
	Service ServiceName
	// Host is the host it runs on. Only the node on that host, its guard,
	// opens connections to it.
	Host HostName
	// Zone is the availability zone of Host.
	Zone AvailabilityZone
	// Address is the IP address and port on which it listens.
	Address string
	// Slots is the number of calls it runs at the same time.
	Slots int
	// Connections is the number of connections it accepts.
	Connections int
	// Draining says that it gets no new calls.
	Draining bool
	// Incarnation tells the lives of a backend server apart that starts again
	// under the same name. 0 means that it is not known.
	Incarnation int64
	// WarmAt is the time in Unix milliseconds until which it is slow after its
	// start. 0 means that it is not known.
	WarmAt int64
}
