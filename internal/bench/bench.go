// Package bench measures real nodes in one process on loopback against stand-in
// platforms and backend servers. Each benchmark has a fixed seed and reports its
// figures with their targets.
package bench

import (
	"context"
	"fmt"
	"strings"
)

// Options holds the settings of a run.
type Options struct {
	// Seed initializes the random number generators of the run.
	Seed uint64
	// Nodes holds the fleet sizes to measure; if empty, the benchmark uses its
	// default sizes.
	Nodes []int
}

func (o Options) nodes(sizes ...int) []int {
	if len(o.Nodes) > 0 {
		return o.Nodes
	}
	return sizes
}

// Result is one measured figure.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the required bound, such as "< 0.83"; empty if there is none.
	Target string `json:"target,omitempty"`
	// Met reports whether Value meets Target; nil if there is no target.
	Met *bool `json:"met,omitempty"`
}

// Report holds the results of a run.
type Report struct {
	Bench   string   `json:"bench"`
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
}

// Bench is one benchmark.
type Bench struct {
	Name    string
	Summary string
	// Run executes the benchmark and returns its figures.
	Run func(ctx context.Context, options Options) ([]Result, error)
}

// All returns all benchmarks in the order of the listing.
func All() []Bench {
	return []Bench{
		{"converge", "time from filing a ticket until it is in force on every node, control bytes and source reads", converge},
		{"herd", "time until all serve after half, then all nodes restart at once, and the reads that it takes", herd},
		{"capacity", "processor time, bytes and memory of a node against fleet size, services, tickets and calls", capacity},
		{"calls", "latency that nodes add to a call, calls a second, and chains of services", calls},
		{"flood", "what each priority class keeps while one floods, against a plain queue", flood},
	}
}

// Find returns the benchmark with a name.
func Find(name string) (Bench, error) {
	var names []string
	for _, bench := range All() {
		if bench.Name == name {
			return bench, nil
		}
		names = append(names, bench.Name)
	}
	return Bench{}, fmt.Errorf("there is no bench %q; the benches are: %s", name, strings.Join(names, ", "))
}
