package state

// resourceOverheadBytes approximates the size of an encoded resource without its
// strings.
const resourceOverheadBytes = 48

// ApproximateBytes estimates the encoded size of the ticket, which counts toward
// limits on memory and message size.
func (t Ticket) ApproximateBytes() int {
	size := resourceOverheadBytes + t.Set.ApproximateBytes()
	for _, name := range t.Remove.Routes {
		size += len(name)
	}
	for _, name := range t.Remove.Services {
		size += len(name)
	}
	for _, name := range t.Remove.BackendServers {
		size += len(name)
	}
	for _, validationError := range t.Malformed {
		size += len(validationError.Path) + len(validationError.Reason)
	}
	return size
}

// ApproximateBytes estimates the encoded size of the resources.
func (r Resources) ApproximateBytes() int {
	size := resourceOverheadBytes * (len(r.Routes) + len(r.Services) + len(r.BackendServers))
	for _, route := range r.Routes {
		size += len(route.Name) + len(route.Service) + len(route.Match.Host) + len(route.Match.PathPrefix)
	}
	for _, service := range r.Services {
		size += len(service.Name) + ClassCount*16
	}
	for _, server := range r.BackendServers {
		size += len(server.Name) + len(server.Service) + len(server.Host) + len(server.Zone) + len(server.Address)
	}
	return size
}
