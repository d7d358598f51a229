package state

// Resources is a set of routes, services and backend servers.
type Resources struct {
	Routes         []Route
	Services       []Service
	BackendServers []BackendServer
}

// Removals names the resources that a ticket takes away.
type Removals struct {
	Routes         []RouteName
	Services       []ServiceName
	BackendServers []BackendServerName
}

// Ticket is a numbered change of the configuration. It carries the whole new
// state of each resource that it touches.
type Ticket struct {
	Number TicketNumber
	// Baseline says that Set is the whole configuration, and that all
	// resources not in Set are removed.
	Baseline bool
	Set      Resources
	Remove   Removals
	// Malformed holds the faults found when the ticket was decoded. A
	// malformed ticket keeps its number and is rejected by every node.
	Malformed []ValidationError
}

// ValidationError is one reason why a ticket is rejected.
type ValidationError struct {
	// Path is the place in the ticket, such as "set.routes[2].service".
	Path string
	// Reason is a sentence that names the resource and what is wrong.
	Reason string
}

// Verdict is the outcome of judging one ticket.
type Verdict struct {
	Number TicketNumber
	// Errors is empty when the ticket is accepted.
	Errors []ValidationError
}

// Accepted reports whether the ticket was accepted.
func (v Verdict) Accepted() bool { return len(v.Errors) == 0 }
