package source

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of a read.
const (
	// maxAnswerBytes bounds one answer of the service.
	maxAnswerBytes = 8 << 20
	// maxRetryAfter bounds the time for which the service may send a reader
	// away.
	maxRetryAfter = 5 * time.Minute
)

// ErrUnavailable means that the service did not answer a read, or not in its
// published form.
var ErrUnavailable = errors.New("configuration service is not available")

// Reader reads JSON documents from a service that can only be read.
type Reader struct {
	baseURL string
	http    *http.Client
}

// NewReader returns a reader for the service at a URL such as
// "http://192.0.2.1:7000". It follows no redirects.
func NewReader(baseURL string, client *http.Client) *Reader {
	own := *client
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Reader{baseURL: baseURL, http: &own}
}

// Read decodes the document at a path into answer. It gives up after timeout.
// All errors are marked with ErrUnavailable; a *StatusError or a
// *ThrottledError is in the chain when the service answered without a document.
func (r *Reader) Read(ctx context.Context, path string, query url.Values, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return unavailable(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return unavailable(statusError(response), path)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return unavailable(err, path)
	}
	if len(body) > maxAnswerBytes {
		return unavailable(errors.Newf("the answer has more than %d bytes", maxAnswerBytes), path)
	}
	return unavailable(json.Unmarshal(body, answer), path)
}

// statusError returns the error of an answer without a value.
func statusError(response *http.Response) error {
	throttled := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if !throttled || err != nil || seconds < 0 {
		return &StatusError{Code: response.StatusCode, Status: response.Status}
	}
	return &ThrottledError{Status: response.Status, Delay: min(time.Duration(seconds)*time.Second, maxRetryAfter)}
}

// StatusError is an answer with another status than 200.
type StatusError struct {
	Code   int
	Status string
}

// Error names the status.
func (e *StatusError) Error() string { return "status " + e.Status }

// ThrottledError means that the service says when to come back.
type ThrottledError struct {
	Status string
	Delay  time.Duration
}

// Error names the status and the delay.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("status %s, come back after %s", e.Status, e.Delay)
}

// RetryAfter is the least time until the next read.
func (e *ThrottledError) RetryAfter() time.Duration { return e.Delay }

// unavailable marks an error of a read; nil stays nil.
func unavailable(err error, path string) error {
	return errors.Mark(errors.Wrapf(err, "read %s", path), ErrUnavailable)
}
