package docs_test

import (
	"cmp"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/network"
)

// descriptionPattern matches the text of a prometheus.Desc.
var descriptionPattern = regexp.MustCompile(`fqName: "(wasabiport_[^"]*)", help: "([^"]*)".*variableLabels: \{([^}]*)\}`)

// metricsTable returns the table of the metrics that a node registers, ordered by
// name.
func metricsTable(t *testing.T) string {
	var rows [][]string
	for _, description := range descriptions(t) {
		match := descriptionPattern.FindStringSubmatch(description)
		if match == nil {
			continue
		}
		labels := "none"
		if match[3] != "" {
			labels = code(strings.Split(match[3], ",")...)
		}
		rows = append(rows, []string{code(match[1]), labels, match[2]})
	}
	slices.SortFunc(rows, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	return table([]string{"metric", "labels", "meaning"}, rows)
}

// descriptions returns the descriptions of all metrics of a node, which runs on an
// in-memory network.
func descriptions(t *testing.T) []string {
	config := wasabiport.DefaultConfig()
	config.Plaintext = true
	config.Self = state.Host{Name: "h", Zone: "z", Region: "r", PeerAddress: "192.0.2.1:1"}
	config.CallerAddress = "192.0.2.1:2"
	config.OperatorAddress = "192.0.2.1:3"
	config.PlatformURL = "http://192.0.2.1:4"
	config.Network = network.NewMemory()
	config.HTTPClient = &http.Client{Transport: unreachable{}}
	node, err := wasabiport.Create(t.Context(), config)
	require.NoError(t, err)
	defer node.Shutdown()
	described := make(chan *prometheus.Desc)
	go func() {
		defer close(described)
		node.Registry().Describe(described)
	}()
	var all []string
	for description := range described {
		all = append(all, description.String())
	}
	return all
}

// unreachable is an HTTP transport whose requests all fail.
type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, http.ErrServerClosed
}
