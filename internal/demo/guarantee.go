package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// guarantee is the result of checking one guarantee of the system.
type guarantee struct {
	description string
	held        bool
	// evidence describes the observations.
	evidence string
}

// guarantees collects the results of the checks.
type guarantees struct {
	list []guarantee
}

func (g *guarantees) check(held bool, description, format string, arguments ...any) {
	g.list = append(g.list, guarantee{description: description, held: held, evidence: fmt.Sprintf(format, arguments...)})
}

// violations returns the number of guarantees that did not hold.
func (g *guarantees) violations() int {
	count := 0
	for _, guarantee := range g.list {
		if !guarantee.held {
			count++
		}
	}
	return count
}

func (g *guarantees) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROMISE\tHELD\tSEEN")
	for _, guarantee := range g.list {
		held := "yes"
		if !guarantee.held {
			held = "NO"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", guarantee.description, held, guarantee.evidence)
	}
	return table.Flush()
}
