package picking

// TrackedCounts returns the numbers of backend servers and routes with
// statistics.
func (p *Picker) TrackedCounts() (backendServers, routes int) {
	return p.servers.Len(), p.routes.averages.Len()
}
