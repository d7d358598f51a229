package faults

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/wasabiport/wasabiport/internal/standin"
)

// Parameters of the load.
const (
	// callInterval is the time between two calls of the base load.
	callInterval = 80 * time.Millisecond
	// maxResends limits how often a caller resends a failed notice.
	maxResends = 2
	// resendDelay is the time before a caller resends a failed notice.
	resendDelay = 700 * time.Millisecond
	// callerTimeout is the time after which a caller cancels a call.
	callerTimeout = 5 * time.Second
)

// StartLoad sends calls of all kinds until the fleet stops or stop is closed.
func (f *Fleet) StartLoad(stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(f.seed, 0))
	f.threads.Go(func() {
		ticker := time.NewTicker(callInterval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			case <-f.ctx.Done():
				return
			}
			kind := CallKinds()[i%len(CallKinds())]
			entry := random.IntN(hostCount)
			f.threads.Go(func() { f.Call(kind, entry) })
		}
	})
}

// Flood sends calls of one kind at a rate until ctx ends.
func (f *Fleet) Flood(ctx context.Context, kind CallKind, callsPerSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(callsPerSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			f.threads.Go(func() { f.attempt(kind, i%hostCount, newIdempotencyKey(kind)) })
		case <-ctx.Done():
			return
		}
	}
}

func newIdempotencyKey(kind CallKind) string {
	if kind.Idempotent {
		return ""
	}
	return NewIdempotencyKey()
}

// NewIdempotencyKey returns a UUIDv7, an idempotency key that contains the
// current time.
func NewIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// Call sends one call with the retry behavior of a caller: a notice that is not
// known to have completed is resent with the same key.
func (f *Fleet) Call(kind CallKind, entry int) {
	key := newIdempotencyKey(kind)
	for attempt := range 1 + maxResends {
		record := f.attempt(kind, (entry+attempt)%hostCount, key)
		done := record.Answered && record.Status < http.StatusInternalServerError
		if done || kind.Idempotent || !f.pause(resendDelay) {
			return
		}
	}
}

// pause sleeps and reports whether the fleet is still running afterwards.
func (f *Fleet) pause(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// attempt sends a request once and records what the caller observes.
func (f *Fleet) attempt(kind CallKind, entry int, key string) CallRecord {
	record := CallRecord{Kind: kind, Key: key, Started: time.Now(), EntryHost: entry}
	ctx, cancel := context.WithTimeout(f.ctx, callerTimeout)
	defer cancel()
	f.send(ctx, &record)
	record.Ended = time.Now()
	if f.ctx.Err() == nil {
		f.History.addCall(record)
	}
	return record
}

func (f *Fleet) send(ctx context.Context, record *CallRecord) {
	body := newBody(record)
	request, err := f.newRequest(ctx, record, body)
	if err != nil {
		record.Failure = err.Error()
		return
	}
	response, err := f.callerClient(record).Do(request)
	if err != nil {
		record.Failure = err.Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	record.Answered = true
	record.Status = response.StatusCode
	record.Outcome = response.Header.Get("Wasabiport-Outcome")
	record.Reason = response.Header.Get("Wasabiport-Reason")
	record.CallID = response.Header.Get(standin.HeaderCallID)
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		record.Failure = err.Error()
		return
	}
	record.BodyComplete = true
	record.BodyCorrect = response.StatusCode != http.StatusOK || isCorrectAnswer(record.Kind, body, answer)
}

// newBody returns the body of a call, padded to the length of its kind. Resends
// with the same key, and repetitions of a crashing call, have the same body;
// all other bodies are distinct.
func newBody(record *CallRecord) []byte {
	body := fmt.Appendf(nil, "%s %s ", record.Kind.Name, record.Key)
	if record.Key == "" && !record.Kind.Crashes {
		body = fmt.Appendf(body, "at %d ", record.Started.UnixNano())
	}
	for len(body) < record.Kind.BodyBytes {
		body = append(body, body[:min(len(body), record.Kind.BodyBytes-len(body))]...)
	}
	return body
}

func (f *Fleet) newRequest(ctx context.Context, record *CallRecord, body []byte) (*http.Request, error) {
	url := "http://" + callerAddress(record.EntryHost) + record.Kind.Path
	request, err := http.NewRequestWithContext(ctx, record.Kind.Method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if record.Kind.Chunked {
		request.ContentLength = -1
	}
	request.Header.Set("Wasabiport-Caller", "contractor")
	request.Header.Set(standin.HeaderChunkInterval, record.Kind.ChunkInterval.String())
	request.Header.Set(standin.HeaderServiceTime, record.Kind.ServiceTime.String())
	if record.Key != "" {
		request.Header.Set(standin.HeaderIdempotencyKey, record.Key)
	}
	if record.Kind.Timeout > 0 {
		request.Header.Set("Wasabiport-Timeout", record.Kind.Timeout.String())
	}
	if record.Kind.Crashes {
		request.Header.Set(standin.HeaderCrash, "1")
	}
	if record.Kind.AnswerBytes > 0 {
		request.Header.Set(standin.HeaderAnswerBytes, strconv.Itoa(record.Kind.AnswerBytes))
	}
	return request, nil
}

// callerClient returns a client that records whether the caller could connect.
// A caller that could not connect has sent no request.
func (f *Fleet) callerClient(record *CallRecord) *http.Client {
	client := f.client(callerEndpoint)
	transport, _ := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (conn net.Conn, err error) {
		conn, err = dial(ctx, network, address)
		record.Connected = err == nil
		return conn, err
	}
	return client
}

func isCorrectAnswer(kind CallKind, sent, answer []byte) bool {
	if kind.AnswerBytes == 0 {
		return bytes.Equal(sent, answer)
	}
	if len(answer) != kind.AnswerBytes {
		return false
	}
	for offset, value := range answer {
		if value != standin.PatternByte(int64(offset)) {
			return false
		}
	}
	return true
}
