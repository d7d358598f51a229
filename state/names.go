package state

// TicketNumber is the position of a change ticket in the order in which
// operators publish tickets. The first ticket is number 1; 0 means "none".
type TicketNumber uint64

// RouteName identifies a Route.
type RouteName string

// ServiceName identifies a Service.
type ServiceName string

// BackendServerName identifies a BackendServer.
type BackendServerName string

// HostName identifies a Host.
type HostName string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// Region identifies a region, which holds several availability zones.
type Region string

// CallerName identifies a caller, the tenant on whose behalf a call is made.
type CallerName string

// CallID identifies one call from the entry node to the backend server.
type CallID string

// Fingerprint identifies requests that are alike: the same method, path and
// body prefix. It is used to recognise a request that crashes backend servers.
type Fingerprint uint64
