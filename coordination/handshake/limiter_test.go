package handshake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/handshake"
)

// TestHerdIsAdmittedAtTheRate sends 1,000 peers at once, which come back when
// they are told to.
func TestHerdIsAdmittedAtTheRate(t *testing.T) {
	config := handshake.Config{PerSecond: 100, Burst: 10, MaxRetryAfter: 10 * time.Second}
	limiter := handshake.NewLimiter(config, rand.New(rand.NewPCG(1, 2)))
	start := time.Unix(0, 0)
	returns := make([]time.Time, 1000)
	for i := range returns {
		returns[i] = start
	}
	attempts, admitted := 0, 0
	for now := start; admitted < len(returns); now = now.Add(10 * time.Millisecond) {
		admittedBefore := admitted
		for i, at := range returns {
			if at.IsZero() || at.After(now) {
				continue
			}
			attempts++
			decision := limiter.Admit(now)
			if decision.Admitted {
				admitted++
				returns[i] = time.Time{}
				continue
			}
			require.LessOrEqual(t, decision.RetryAfter, config.MaxRetryAfter)
			require.Positive(t, decision.RetryAfter)
			returns[i] = now.Add(decision.RetryAfter)
		}
		require.LessOrEqual(t, admitted-admittedBefore, config.Burst+1)
		require.Less(t, now.Sub(start), time.Minute)
	}
	require.Less(t, attempts, 5*len(returns), "refused peers do not come back in vain over and over")
}
