package faults

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/protocol/ticketfile"
	"github.com/wasabiport/wasabiport/transport/operator"
)

// Polling intervals and request timeout of the operator.
const (
	sampleInterval        = 500 * time.Millisecond
	configurationInterval = time.Second
	operatorTimeout       = 200 * time.Millisecond
)

// StartOperator polls the status and the configuration of every node.
func (f *Fleet) StartOperator() {
	for i := range hostCount {
		f.threads.Go(func() { f.watchNode(i) })
	}
}

func (f *Fleet) watchNode(i int) {
	var nextConfiguration time.Time
	client := f.client(callerEndpoint)
	for f.pause(sampleInterval) {
		f.sampleNode(client, i)
		if !time.Now().Before(nextConfiguration) {
			nextConfiguration = time.Now().Add(configurationInterval)
			f.sampleConfiguration(client, i)
		}
	}
}

func (f *Fleet) sampleNode(client *http.Client, i int) {
	_, process := f.node(i)
	body, err := f.queryNode(client, i, "/v1/node")
	if err != nil {
		return
	}
	var status operator.NodeStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return
	}
	f.History.addSample(NodeSample{
		Host:      i,
		At:        time.Now(),
		Process:   process,
		Evaluated: status.Evaluated,
		Accepted:  status.Accepted,
		Digest:    status.Digest,
		Ready:     status.Ready,
	})
}

func (f *Fleet) sampleConfiguration(client *http.Client, i int) {
	body, err := f.queryNode(client, i, "/v1/configuration")
	if err != nil {
		return
	}
	ticket := ticketfile.DecodeFile(body)
	if ticket.Number == 0 {
		return
	}
	f.History.addConfiguration(ConfigurationSample{Host: i, At: time.Now(), Ticket: ticket})
}

func (f *Fleet) queryNode(client *http.Client, i int, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(f.ctx, operatorTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operatorAddress(i)+path, http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "query node")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "query node")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("query node: status %s", response.Status)
	}
	return io.ReadAll(response.Body)
}
