package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printAddresses prints the addresses of the fleet and example commands.
func (f *fleet) printAddresses(out io.Writer) {
	_, _ = fmt.Fprintf(out, "\n%s: platform %s\n\n", f.deployment.Name, f.platformURL)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "HOST\tZONE\tCALLERS\tOPERATORS")
	for _, host := range f.hosts {
		node, ok := f.nodes.Get(host.Name)
		if !ok {
			continue
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\thttp://%s\thttp://%s\n", host.Name, host.Zone, node.CallerAddress(), node.OperatorAddress())
	}
	_ = table.Flush()
	node := f.runningNodes()[0]
	route := node.Snapshot().Resources().Routes[0]
	_, _ = fmt.Fprintf(out, `
  curl -i -X %s -H 'Wasabiport-Caller: me' -d hello http://%s%s/7
  wasabiport node status --operator http://%s
  curl --data-binary @ticket.json %s/v1/tickets
`, route.Match.Methods[0], node.CallerAddress(), route.Match.PathPrefix, node.OperatorAddress(), f.platformURL)
}
