package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// promise is one thing that the system promises and that was looked at.
type promise struct {
	text string
	held bool
	// seen says what was looked at.
	seen string
}

// promises collects what was looked at.
type promises struct {
	list []promise
}

func (p *promises) look(held bool, text, format string, arguments ...any) {
	p.list = append(p.list, promise{text: text, held: held, seen: fmt.Sprintf(format, arguments...)})
}

// broken returns the number of promises that did not hold.
func (p *promises) broken() int {
	count := 0
	for _, promise := range p.list {
		if !promise.held {
			count++
		}
	}
	return count
}

func (p *promises) print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "PROMISE\tHELD\tSEEN")
	for _, promise := range p.list {
		held := "yes"
		if !promise.held {
			held = "NO"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", promise.text, held, promise.seen)
	}
	return table.Flush()
}
