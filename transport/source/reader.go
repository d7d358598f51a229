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
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/transport/events"
)

// Limits of a response.
const (
	// maxResponseBytes is the maximum size of a response body.
	maxResponseBytes = 8 << 20
	// maxRetryAfter caps the delay that the service may ask for in a
	// Retry-After header.
	maxRetryAfter = 5 * time.Minute
)

// slowAnswer is the time that the body of an answer may take to arrive before it
// is logged.
const slowAnswer = 100 * time.Millisecond

// ErrUnavailable marks the errors of reads that got no answer from the service,
// or an answer that does not have the published format.
var ErrUnavailable = errors.New("configuration service is not available")

// Reader reads JSON documents from a read-only HTTP service.
type Reader struct {
	baseURL string
	http    *http.Client
	logger  logr.Logger
}

// NewReader returns a reader for the service at a base URL such as
// "http://192.0.2.1:7000". It does not follow redirects.
func NewReader(baseURL string, client *http.Client, logger logr.Logger) *Reader {
	copied := *client
	copied.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Reader{baseURL: baseURL, http: &copied, logger: logger}
}

// Read decodes the document at a path into answer. It fails after timeout. All
// errors except an invalid URL are marked with ErrUnavailable; the chain holds a
// *StatusError or a *ThrottledError when the status was not 200.
func (r *Reader) Read(ctx context.Context, path string, query url.Values, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return errors.Wrapf(err, "read %s", path)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return markUnavailable(err, path)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return markUnavailable(statusError(response), path)
	}
	started := time.Now()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if duration := time.Since(started); duration > slowAnswer {
		events.Log(r.logger, events.SourceAnswerSlow{Path: path, Bytes: len(body), Duration: duration})
	}
	if err != nil {
		return markUnavailable(err, path)
	}
	if len(body) > maxResponseBytes {
		return markUnavailable(errors.Newf("the response has more than %d bytes", maxResponseBytes), path)
	}
	return markUnavailable(json.Unmarshal(body, answer), path)
}

// statusError returns the error for a response with a status other than 200.
func statusError(response *http.Response) error {
	throttled := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if !throttled || err != nil || seconds < 0 {
		return &StatusError{Code: response.StatusCode, Status: response.Status}
	}
	return &ThrottledError{Status: response.Status, Delay: min(time.Duration(seconds)*time.Second, maxRetryAfter)}
}

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	Code   int
	Status string
}

// Error returns the status.
func (e *StatusError) Error() string { return "status " + e.Status }

// ThrottledError is returned for status 429 or 503 with a Retry-After header in
// seconds. Delay is capped at maxRetryAfter.
type ThrottledError struct {
	Status string
	Delay  time.Duration
}

// Error returns the status and the delay.
func (e *ThrottledError) Error() string {
	return fmt.Sprintf("status %s, retry after %s", e.Status, e.Delay)
}

// RetryAfter returns the minimum delay until the next read.
func (e *ThrottledError) RetryAfter() time.Duration { return e.Delay }

// markUnavailable wraps the error of a read and marks it with ErrUnavailable. It
// returns nil for nil.
func markUnavailable(err error, path string) error {
	return errors.Mark(errors.Wrapf(err, "read %s", path), ErrUnavailable)
}
