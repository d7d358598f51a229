package state

import "time"

// Match selects the HTTP requests that a Route serves.
type Match struct {
	// Host is the request's host without port. Empty matches every host.
	Host string
	// PathPrefix is matched against whole path segments, so that "/permits"
	// matches "/permits/7" but not "/permitsx".
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

// Route says which calls go to which Service and how they are ranked.
type Route struct {
	Name    RouteName
	Match   Match
	Service ServiceName
	Class   PriorityClass
	// LatencyTarget is the time within which the users want an answer.
	LatencyTarget time.Duration
	// Timeout is the longest time a call may take, queueing included.
	Timeout time.Duration
	// Worth is the relative value of one answered call, for reports.
	Worth float64
	// Idempotent says that running a call twice does no harm. Only
	// idempotent calls are retried after they may have run.
	Idempotent  bool
	CallerLimit CallerLimit
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
}
