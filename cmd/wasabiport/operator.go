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
	// operatorTimeout bounds one question to a node.
	operatorTimeout = 10 * time.Second
	// maxOperatorAnswerBytes bounds the answer of a node.
	maxOperatorAnswerBytes = 16 << 20
	defaultOperatorURL     = "http://127.0.0.1:9090"
)

// operatorFlag adds the flag that names the operators' listener of a node.
func operatorFlag(command *cobra.Command) *string {
	return command.Flags().String("operator", defaultOperatorURL, "base URL of the operators' listener of any node")
}

// askNode reads a JSON answer from the operators' listener of a node.
func askNode(ctx context.Context, baseURL, path string, answer any) error {
	body, err := readNode(ctx, baseURL, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return fmt.Errorf("the answer of the node can't be read: %w", err)
	}
	return nil
}

// readNode reads an answer from the operators' listener of a node.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("ask the node: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the node answers %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}
