package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// largeAnswerBytes is the size of the answers on routes that serve large files,
// see servesLargeAnswers.
const largeAnswerBytes = 512 << 10

// callResult is the result of one call as observed by its caller.
type callResult struct {
	route state.Route
	// id is the key by which backend servers count the runs of the call.
	id string
	// outcome is set when the call was answered.
	outcome state.Outcome
	reason  string
	// interrupted is set if the connection ended before the answer was complete.
	interrupted bool
	// incorrect is set if the answer does not match the request.
	incorrect bool
	latency   time.Duration
}

// request describes one call.
type request struct {
	route  state.Route
	entry  string
	caller string
	serial uint64
	// key is the idempotency key; it is empty for idempotent calls.
	key string
	// answerBytes is the requested size of the answer; 0 requests an echo.
	answerBytes int
	// serviceTime overrides the service time of the backend server if it is not 0.
	serviceTime time.Duration
}

// servesLargeAnswers reports whether a route serves large files: it has an
// urgent class and a latency target of at least a second.
func servesLargeAnswers(route state.Route) bool {
	return route.LatencyTarget >= time.Second && route.Class <= state.ClassHigh
}

func (r request) do(ctx context.Context, client *http.Client) callResult {
	result := callResult{route: r.route, id: r.key}
	start := time.Now()
	response, sent, err := r.send(ctx, client)
	if err != nil {
		result.interrupted = true
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result.latency = time.Since(start)
	if err != nil {
		result.interrupted = true
		return result
	}
	if result.id == "" {
		result.id = response.Header.Get(httpmap.HeaderCallID)
	}
	result.reason = response.Header.Get(httpmap.HeaderReason)
	result.outcome, result.incorrect = outcomeOf(response)
	if result.outcome == state.OutcomeDone {
		result.incorrect = result.incorrect || response.StatusCode != http.StatusOK || !r.isExpectedAnswer(body, sent)
	}
	return result
}

func (r request) send(ctx context.Context, client *http.Client) (*http.Response, []byte, error) {
	method := http.MethodGet
	if len(r.route.Match.Methods) > 0 {
		method = r.route.Match.Methods[0]
	}
	body := []byte(fmt.Sprintf("call %d on %s by %s", r.serial, r.route.Name, r.caller))
	url := "http://" + r.entry + r.route.Match.PathPrefix + "/7"
	out, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	out.Header.Set(httpmap.HeaderCaller, r.caller)
	if r.key != "" {
		out.Header.Set(httpmap.HeaderIdempotencyKey, r.key)
	}
	if r.answerBytes > 0 {
		out.Header.Set(standin.HeaderAnswerBytes, strconv.Itoa(r.answerBytes))
	}
	if r.serviceTime > 0 {
		out.Header.Set(standin.HeaderServiceTime, r.serviceTime.String())
	}
	response, err := client.Do(out)
	return response, body, err
}

// outcomeOf parses the outcome header. unknown is set if the header is missing
// or has an unknown value.
func outcomeOf(response *http.Response) (outcome state.Outcome, unknown bool) {
	text := response.Header.Get(httpmap.HeaderOutcome)
	for _, outcome := range []state.Outcome{state.OutcomeDone, state.OutcomeNotRun, state.OutcomeMayHaveRun} {
		if outcome.String() == text {
			return outcome, false
		}
	}
	return state.OutcomeMayHaveRun, true
}

// isExpectedAnswer reports whether body is the complete answer to this request.
func (r request) isExpectedAnswer(body, sent []byte) bool {
	if r.answerBytes == 0 {
		return bytes.Equal(body, sent)
	}
	if len(body) != r.answerBytes {
		return false
	}
	for offset, got := range body {
		if got != standin.PatternByte(int64(offset)) {
			return false
		}
	}
	return true
}
