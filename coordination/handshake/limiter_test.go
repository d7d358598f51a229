package handshake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/handshake"
)

// TestReconnectStormIsAdmittedAtRate lets 1,000 peers connect at once and retry
// after the returned delay. It guards against admitting more than the rate and
// against a storm of refused retries.
func TestReconnectStormIsAdmittedAtRate(t *testing.T) {
	config := handshake.Config{PerSecond: 100, Burst: 10, MaxRetryAfter: 10 * time.Second}
	limiter := handshake.NewLimiter(config, rand.New(rand.NewPCG(1, 2)))
	start := time.Unix(0, 0)
	retryAt := make([]time.Time, 1000)
	for i := range retryAt {
		retryAt[i] = start
	}
	attempts, admitted := 0, 0
	for now := start; admitted < len(retryAt); now = now.Add(10 * time.Millisecond) {
		admittedBefore := admitted
		for i, at := range retryAt {
			if at.IsZero() || at.After(now) {
				continue
			}
			attempts++
			decision := limiter.Admit(now)
			if decision.Admitted {
				admitted++
				retryAt[i] = time.Time{}
				continue
			}
			require.LessOrEqual(t, decision.RetryAfter, config.MaxRetryAfter)
			require.Positive(t, decision.RetryAfter)
			retryAt[i] = now.Add(decision.RetryAfter)
		}
		require.LessOrEqual(t, admitted-admittedBefore, config.Burst+1)
		require.Less(t, now.Sub(start), time.Minute)
	}
	require.Less(t, attempts, 5*len(retryAt), "most retries of refused peers are admitted")
}
