package state

// TicketNumber is the sequence number of a ticket. Operators number tickets from
// 1 in the order in which they publish them; 0 means that there is no ticket.
type TicketNumber uint64

// RouteName identifies a Route.
type RouteName string

// ServiceName identifies a Service.
type ServiceName string

// UnresolvedService stands for a destination of a route that could not be read from the
// platform's configuration. Calls to it are refused as not run. It is a service without
// backend servers, so that nodes that don't know this name refuse the calls as well.
const UnresolvedService ServiceName = "unresolved-destination"

// BackendServerName identifies a BackendServer.
type BackendServerName string

// HostName identifies a Host.
type HostName string

// AvailabilityZone identifies an availability zone.
type AvailabilityZone string

// Region identifies a region, which holds several availability zones.
type Region string

// CallerName identifies a caller: the tenant on whose behalf a call is made.
type CallerName string

// CallID identifies a call on its way from the entry node to the backend server.
type CallID string

// Fingerprint is a hash of the service, method, path and body prefix of a
// request. It is used to recognize retries and requests that crash backend
// servers: equal requests have equal fingerprints.
type Fingerprint uint64
