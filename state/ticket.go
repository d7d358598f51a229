package state

// Resources is a set of routes, services and backend servers, and the limits on requests.
type Resources struct {
	Routes         []Route
	Services       []Service
	BackendServers []BackendServer
	// Limits is the zero value if the limits are not set.
	Limits RequestLimits
}

// Removals names the resources that a ticket removes.
type Removals struct {
	Routes         []RouteName
	Services       []ServiceName
	BackendServers []BackendServerName
	// Limits is true if the limits on requests are removed.
	Limits bool
}

// Ticket is a numbered change of the configuration. It contains the complete new
// definition of each resource that it sets.
type Ticket struct {
	Number TicketNumber
	// Baseline is true if Set is the complete configuration: all resources that
	// are not in Set are removed.
	Baseline bool
	Set      Resources
	Remove   Removals
	// Malformed holds the errors found while decoding the ticket. A malformed
	// ticket keeps its number, and every node rejects it.
	Malformed []ValidationError
}

// ValidationError is a reason why a ticket is rejected.
type ValidationError struct {
	// Path is the location of the error in the ticket, such as
	// "set.routes[2].service".
	Path string
	// Reason names the resource and describes what is wrong with it.
	Reason string
}

// Verdict is the result of evaluating a ticket.
type Verdict struct {
	Number TicketNumber
	// Errors is empty when the ticket is accepted.
	Errors []ValidationError
}

// Accepted reports whether the ticket was accepted.
func (v Verdict) Accepted() bool { return len(v.Errors) == 0 }
