package source

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/transport/events"
)

// maxRetryAfter caps the delay that the service may ask for in a Retry-After
// header.
const maxRetryAfter = 5 * time.Minute

// slowAnswer is the time that the body of an answer may take to arrive before it
// is logged.
const slowAnswer = 100 * time.Millisecond

// ErrUnavailable marks the errors of reads that got no answer from the service,
// or an answer that does not have the published format.
var ErrUnavailable = errors.New("configuration service is not available")

// errInvalidName means that the head of an answer is not valid.
var errInvalidName = errors.New("the answer has a header field with an invalid name")

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

// Limits are the limits of a read.
type Limits struct {
	// Timeout is how long the service may take until its answer begins.
	Timeout time.Duration
	// MaxBytes is the maximum size of the answer, at most 8 MiB. 0 means 8 MiB.
	MaxBytes int64
}

// Read decodes the document at a path into answer and returns the header. It fails when the answer begins
// too late, stalls, takes over 10 s or is too large. All errors except an invalid
// URL are marked with ErrUnavailable, and those of answers that are too large with
// ErrTooLarge; the chain holds a *StatusError or a *ThrottledError when the status
// was not 200.
func (r *Reader) Read(ctx context.Context, path string, query url.Values, limits Limits, answer any) (http.Header, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.baseURL+path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	noAnswer := time.AfterFunc(limits.Timeout, func() { cancel(errNoAnswer) })
	defer noAnswer.Stop()
	response, err := r.http.Do(request)
	if err != nil {
		return nil, markUnavailable(withCause(ctx, err), path)
	}
	noAnswer.Stop()
	defer func() { _ = response.Body.Close() }()
	if !httpmap.HasValidNames(response.Header) {
		return nil, markUnavailable(errInvalidName, path)
	}
	if response.StatusCode != http.StatusOK {
		return nil, markUnavailable(statusError(response), path)
	}
	started := time.Now()
	body, err := readBody(response, limits.MaxBytes, cancel)
	if duration := time.Since(started); duration > slowAnswer {
		events.Log(r.logger, events.SourceAnswerSlow{Path: path, Bytes: len(body), Duration: duration})
	}
	if err != nil {
		return nil, markUnavailable(withCause(ctx, err), path)
	}
	return response.Header, markUnavailable(json.Unmarshal(body, answer), path)
}

// withCause returns the reason why the context of a read was canceled, or err when
// it was not.
func withCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
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
