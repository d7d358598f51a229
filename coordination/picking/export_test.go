package picking

// Remembered returns the numbers of backend servers and routes of which
// something is known.
func (p *Picker) Remembered() (backendServers, routes int) {
	return p.sights.Len(), p.routes.usual.Len()
}
