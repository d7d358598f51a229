package standin

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
)

func get(t *testing.T, platform *Platform, target string) (status int, body string) {
	t.Helper()
	recorder := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, target, nil)
	platform.ServeHTTP(recorder, request)
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

func TestPlatformPublishesInOrder(t *testing.T) {
	platform := NewPlatform(PlatformConfig{})
	for _, raw := range []string{`{"number":1}`, `{"num`, `{"number":3}`} {
		_, err := platform.PublishTicket([]byte(raw))
		require.NoError(t, err)
	}
	_, err := platform.PublishTicket(make([]byte, MaxValueBytes+1))
	require.ErrorContains(t, err, "more than the platform's limit")

	_, body := get(t, platform, "/v1/tickets?after=0&limit=2")
	require.Equal(t, `{"tickets":[{"number":1,"ticket":{"number":1}},{"number":2,"ticket":"{\"num"}]}`, body)
	_, body = get(t, platform, "/v1/tickets?after=2")
	require.Equal(t, `{"tickets":[{"number":3,"ticket":{"number":3}}]}`, body)
	status, _ := get(t, platform, "/v1/tickets?after=x")
	require.Equal(t, http.StatusBadRequest, status)
}

func TestPlatformLimitsResponseSize(t *testing.T) {
	platform := NewPlatform(PlatformConfig{})
	large := []byte(`"` + strings.Repeat("x", MaxValueBytes-2) + `"`)
	for range 2 {
		_, err := platform.PublishTicket(large)
		require.NoError(t, err)
	}
	_, body := get(t, platform, "/v1/tickets")
	require.Equal(t, 1, strings.Count(body, `"number"`))
}

func TestPlatformLongPoll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := NewPlatform(PlatformConfig{})
		start := time.Now()
		time.AfterFunc(3*time.Second, func() { _, _ = platform.PublishTicket([]byte(`{}`)) })
		_, body := get(t, platform, "/v1/tickets?after=0&wait=25s")
		require.Equal(t, `{"tickets":[{"number":1,"ticket":{}}]}`, body)
		require.Equal(t, 3*time.Second, time.Since(start))

		_, body = get(t, platform, "/v1/tickets?after=1&wait=25s")
		require.Equal(t, `{"tickets":[]}`, body)
		require.Equal(t, 28*time.Second, time.Since(start))
	})
}

func TestPlatformHostLagStaleAndDown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := NewPlatform(PlatformConfig{})
		platform.SetHostLag(2 * time.Second)
		platform.SetHosts([]state.Host{{Name: "h", Zone: "north", Region: "lakes", PeerAddress: "127.0.0.1:1", Phase: state.HostLeaving}})
		_, body := get(t, platform, "/v1/hosts?after=0")
		require.Equal(t, `{"version":0,"hosts":[]}`, body)
		_, body = get(t, platform, "/v1/hosts?after=0&wait=25s")
		require.Equal(t, `{"version":1,"hosts":[{"name":"h","zone":"north","region":"lakes","peer_address":"127.0.0.1:1","phase":"leaving"}]}`, body)

		platform.SetStale(true)
		_, _ = platform.PublishTicket([]byte(`{}`))
		platform.SetHosts(nil)
		time.Sleep(3 * time.Second)
		_, body = get(t, platform, "/v1/tickets")
		require.Equal(t, `{"tickets":[]}`, body)
		_, body = get(t, platform, "/v1/hosts")
		require.Contains(t, body, `"version":1`)
		platform.SetStale(false)
		_, body = get(t, platform, "/v1/hosts")
		require.Equal(t, `{"version":2,"hosts":[]}`, body)

		platform.SetDown(true)
		status, _ := get(t, platform, "/v1/tickets")
		require.Equal(t, http.StatusServiceUnavailable, status)
	})
}

func TestPlatformLimitsReads(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := NewPlatform(PlatformConfig{ReadsPerSecond: 5})
		refused := 0
		for range 8 {
			if status, _ := get(t, platform, "/v1/tickets"); status == http.StatusTooManyRequests {
				refused++
			}
		}
		require.Equal(t, 3, refused)
		total, peak := platform.Reads()
		require.Equal(t, []int{8, 8}, []int{total, peak})
		time.Sleep(time.Second)
		status, _ := get(t, platform, "/v1/tickets")
		require.Equal(t, http.StatusOK, status)
	})
}

func serveCall(backend *BackendServer, body string, headers ...string) (recorder *httptest.ResponseRecorder, aborted bool) {
	defer func() { aborted = recover() != nil }()
	recorder = httptest.NewRecorder()
	request := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/", strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	backend.ServeHTTP(recorder, request)
	return recorder, false
}

func TestBackendServerAnswersAndCountsRuns(t *testing.T) {
	backend := NewBackendServer(BackendServerConfig{Name: "b1"})
	answer, _ := serveCall(backend, "hello", HeaderIdempotencyKey, "k")
	require.Equal(t, "hello", answer.Body.String())
	require.Equal(t, "b1", answer.Header().Get(HeaderServedBy))
	answer, _ = serveCall(backend, "", HeaderAnswerBytes, fmt.Sprint(streamChunkBytes+3), HeaderIdempotencyKey, "k")
	require.Len(t, answer.Body.Bytes(), streamChunkBytes+3)
	require.Equal(t, PatternByte(streamChunkBytes+2), answer.Body.Bytes()[streamChunkBytes+2])
	require.Equal(t, 2, backend.Runs("k"))

	backend.SetShedding(true)
	answer, _ = serveCall(backend, "", HeaderIdempotencyKey, "k")
	require.Equal(t, http.StatusServiceUnavailable, answer.Code)
	require.Equal(t, 2, backend.RunsTotal())
}

func TestBackendServerCrashLosesRunningCalls(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		backend := NewBackendServer(BackendServerConfig{Slots: 2, ServiceTime: time.Second, RestartTime: time.Minute})
		interrupted := make(chan bool)
		go func() {
			_, aborted := serveCall(backend, "")
			interrupted <- aborted
		}()
		synctest.Wait()
		_, aborted := serveCall(backend, "", HeaderCrash, "1")
		require.True(t, aborted)
		require.True(t, <-interrupted)
		_, aborted = serveCall(backend, "")
		require.True(t, aborted, "call succeeded during the restart")
		time.Sleep(time.Minute)
		_, aborted = serveCall(backend, "")
		require.False(t, aborted)
		require.Equal(t, 1, backend.Crashes())
		require.Equal(t, 2, backend.PeakRunning())
	})
}

func TestBackendServerColdStart(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		backend := NewBackendServer(BackendServerConfig{ServiceTime: time.Second, ColdFactor: 3, ColdTime: 10 * time.Second})
		start := time.Now()
		serveCall(backend, "")
		require.Equal(t, 3*time.Second, time.Since(start))
		time.Sleep(10 * time.Second)
		start = time.Now()
		serveCall(backend, "")
		require.Equal(t, time.Second, time.Since(start))
	})
}
