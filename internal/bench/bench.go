// Package bench measures real nodes in one process on loopback against the
// stand-ins. Each bench has a fixed seed and reports figures beside targets.
package bench

import (
	"context"
	"fmt"
	"strings"
)

// Options are the settings of a run.
type Options struct {
	// Seed makes the random choices of the run repeatable.
	Seed uint64
	// Nodes are the fleet sizes to measure; empty takes the sizes of the bench.
	Nodes []int
}

func (o Options) nodes(sizes ...int) []int {
	if len(o.Nodes) > 0 {
		return o.Nodes
	}
	return sizes
}

// Result is one figure.
type Result struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Target is the stated bound, such as "< 0.83"; empty when there is none.
	Target string `json:"target,omitempty"`
	// Met says whether Value is within Target; nil when there is none.
	Met *bool `json:"met,omitempty"`
}

// Report is the outcome of a run.
type Report struct {
	Bench   string   `json:"bench"`
	Seed    uint64   `json:"seed"`
	Results []Result `json:"results"`
}

// Bench is one measurement.
type Bench struct {
	Name    string
	Summary string
	// Run takes the measurement and returns its figures.
	Run func(ctx context.Context, options Options) ([]Result, error)
}

// All returns the benches in the order in which they are listed.
func All() []Bench {
	return []Bench{
		{"converge", "time from filing a ticket until it is in force on every node, control bytes and source reads", converge},
		{"herd", "time until all serve after half, then all nodes restart at once, and the reads that it takes", herd},
		{"capacity", "processor time, bytes and memory of a node against fleet size, services, tickets and calls", capacity},
		{"calls", "latency that nodes add to a call, calls a second, and chains of services", calls},
		{"flood", "what each priority class keeps while one floods, against a plain queue", flood},
	}
}

// Find returns the bench with a name.
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
