package demo

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/standin"
	"github.com/wasabiport/wasabiport/protocol/httpmap"
	"github.com/wasabiport/wasabiport/state"
)

// answer is the response of the test server to a caller.
type answer struct {
	status  int
	outcome string
	body    string
}

func callServer(t *testing.T, response answer) callResult {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(httpmap.HeaderOutcome, response.outcome)
		w.Header().Set(httpmap.HeaderCallID, "call-1")
		w.WriteHeader(response.status)
		if response.body == "echo" {
			_, _ = io.Copy(w, r.Body)
			return
		}
		_, _ = io.WriteString(w, response.body)
	}))
	defer server.Close()
	route := state.Route{Name: "r", Match: state.Match{PathPrefix: "/r", Methods: []string{http.MethodPost}}}
	call := request{route: route, entry: strings.TrimPrefix(server.URL, "http://")}
	return call.do(t.Context(), server.Client())
}

func TestCallerDetectsIncorrectAnswers(t *testing.T) {
	cases := []struct {
		name      string
		response  answer
		incorrect bool
		outcome   state.Outcome
	}{
		{"whole", answer{200, "done", "echo"}, false, state.OutcomeDone},
		{"of another request", answer{200, "done", "other"}, true, state.OutcomeDone},
		{"error passed as done", answer{500, "done", "echo"}, true, state.OutcomeDone},
		{"refused", answer{503, "not-run", ""}, false, state.OutcomeNotRun},
		{"without outcome", answer{200, "", "echo"}, true, state.OutcomeMayHaveRun},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			result := callServer(t, tc.response)
			require.Equal(t, tc.incorrect, result.incorrect)
			require.Equal(t, tc.outcome, result.outcome)
			require.Equal(t, "call-1", result.id)
			require.False(t, result.interrupted)
		})
	}
}

func TestViolatedGuaranteesAreReported(t *testing.T) {
	backendServer := standin.NewBackendServer(standin.BackendServerConfig{})
	run := func(key string) {
		call := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
		call.Header.Set(standin.HeaderIdempotencyKey, key)
		backendServer.ServeHTTP(httptest.NewRecorder(), call)
	}
	run("once-1")
	run("once-1")
	run("refused")
	recorded := newCallStats()
	recorded.add(callResult{outcome: state.OutcomeNotRun, id: "refused"})
	recorded.add(callResult{outcome: state.OutcomeNotRun, reason: state.RefusedNoRoute.String(), id: "elsewhere"})
	recorded.add(callResult{outcome: state.OutcomeDone, incorrect: true, id: "once-1"})
	s := &scenario{
		fleet:          &fleet{backends: map[state.BackendServerName]*backend{"b": {BackendServer: backendServer}}},
		phases:         []phase{{name: "calm", stats: recorded}},
		maxConvergence: time.Minute,
	}
	s.checkCalls()
	s.checkVersions(&versionMonitor{regressions: 1})
	require.Len(t, s.guarantees.list, 6)
	require.Equal(t, 6, s.guarantees.violations(), "%+v", s.guarantees.list)
}
