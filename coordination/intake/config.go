package intake

import "math"

// Config holds the bounds of a Tracker.
type Config struct {
	// MaxConnections is the maximum number of open connections. Default no limit.
	MaxConnections int
	// MaxBytes is the maximum size of the heads and bodies that are held for all
	// connections. Default no limit.
	MaxBytes int64
}

const (
	// reservedDescriptors are the descriptors of a host that are kept for files.
	reservedDescriptors = 200
	// descriptorShare is the share of the other descriptors that connections of callers
	// may use. The rest is for peers, backend servers and the other listeners.
	descriptorShare = 0.5
	// connectionShare and bytesShare are the shares of the host's memory for the
	// connections themselves and for what is held for them. A node without callers takes
	// about 16 MB, and the collector needs room of the same size as the live memory.
	connectionShare = 0.125
	bytesShare      = 0.125
	// connectionBytes is the memory of a connection with a request but without its head
	// and body. 700 connections with an unread body took 15 MB.
	connectionBytes = 21 << 10
	// minConnections and minBytes keep a node of a very small host usable: a head, and a
	// body of the size that is read before a call is sent.
	minConnections = 16
	minBytes       = 1 << 20
)

// ConfigFor returns the bounds for a host with an amount of memory and a number of
// descriptors. 0 means that the host sets no limit.
func ConfigFor(memoryBytes int64, descriptors int) Config {
	config := Config{MaxConnections: math.MaxInt, MaxBytes: math.MaxInt64}
	if memoryBytes > 0 {
		config.MaxConnections = max(minConnections, int(connectionShare*float64(memoryBytes))/connectionBytes)
		config.MaxBytes = max(minBytes, int64(bytesShare*float64(memoryBytes)))
	}
	if descriptors > 0 {
		available := int(descriptorShare * float64(descriptors-reservedDescriptors))
		config.MaxConnections = min(config.MaxConnections, max(minConnections, available))
	}
	return config
}

func (c Config) withDefaults() Config {
	if c.MaxConnections <= 0 {
		c.MaxConnections = math.MaxInt
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = math.MaxInt64
	}
	return c
}
