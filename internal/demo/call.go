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

// largeAnswerBytes is the size of a file that a route with a latency target of
// a second or more and an urgent class serves.
const largeAnswerBytes = 512 << 10

// callResult is what a caller saw of one call.
type callResult struct {
	route state.Route
	// id is under what backend servers count the runs of the call.
	id string
	// outcome is set when the call was answered.
	outcome state.Outcome
	reason  string
	// cut says that the connection ended before the whole answer was there.
	cut bool
	// wrong says that the answer was not the one to this request.
	wrong   bool
	latency time.Duration
}

// request is one call that a caller makes.
type request struct {
	route  state.Route
	entry  string
	caller string
	serial uint64
	// key is the idempotency key, which calls have that must run once.
	key string
	// answerBytes is the size of the answer; 0 asks for an echo.
	answerBytes int
	// serviceTime is the time that the backend server takes; 0 means the
	// usual one.
	serviceTime time.Duration
}

// isLarge reports whether a route serves large files.
func isLarge(route state.Route) bool {
	return route.LatencyTarget >= time.Second && route.Class <= state.ClassHigh
}

func (r request) do(ctx context.Context, client *http.Client) callResult {
	result := callResult{route: r.route, id: r.key}
	start := time.Now()
	response, sent, err := r.send(ctx, client)
	if err != nil {
		result.cut = true
		return result
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result.latency = time.Since(start)
	if err != nil {
		result.cut = true
		return result
	}
	if result.id == "" {
		result.id = response.Header.Get(httpmap.HeaderCallID)
	}
	result.reason = response.Header.Get(httpmap.HeaderReason)
	result.outcome, result.wrong = outcomeOf(response)
	if result.outcome == state.OutcomeDone {
		result.wrong = result.wrong || response.StatusCode != http.StatusOK || !r.isAnswer(body, sent)
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

// outcomeOf reads the outcome header. unknown is true when there is none.
func outcomeOf(response *http.Response) (outcome state.Outcome, unknown bool) {
	text := response.Header.Get(httpmap.HeaderOutcome)
	for _, outcome := range []state.Outcome{state.OutcomeDone, state.OutcomeNotRun, state.OutcomeMayHaveRun} {
		if outcome.String() == text {
			return outcome, false
		}
	}
	return state.OutcomeMayHaveRun, true
}

// isAnswer reports whether body is the whole answer to this request.
func (r request) isAnswer(body, sent []byte) bool {
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
