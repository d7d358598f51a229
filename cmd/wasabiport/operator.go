package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// operatorTimeout is the time limit of a request to a node.
	operatorTimeout = 10 * time.Second
	// maxOperatorResponseBytes is the maximum size of a response that is read.
	maxOperatorResponseBytes = 16 << 20
	defaultOperatorURL       = "http://127.0.0.1:9090"
)

// operatorFlag adds the flag for the base URL of a node's operator listener.
func operatorFlag(command *cobra.Command) *string {
	return command.Flags().String("operator", defaultOperatorURL, "base URL of the operators' listener of any node")
}

// queryNode sends a request to the operator listener of a node and decodes the JSON
// response into answer.
func queryNode(ctx context.Context, baseURL, path string, answer any) error {
	body, err := readNode(ctx, baseURL, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("decode the response of the node: %w", err)
	}
	return nil
}

// readNode sends a request to the operator listener of a node and returns the body of
// the response.
func readNode(ctx context.Context, baseURL, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	url := strings.TrimSuffix(baseURL, "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, asUsageError(fmt.Errorf("--operator: %w", err))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("ask the node: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("ask the node: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the node responded with status %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
