package state_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/state"
)

// modelValue is a value in the reference model of the ExpiringMap, a plain map
// without shards.
type modelValue struct {
	value   int
	bytes   int64
	expires time.Time
}

func TestExpiringMapMatchesReferenceModel(t *testing.T) {
	const maxValues, maxBytes = 3, 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		stored := state.NewExpiringMap[int, int](state.ExpiringMapConfig{MaxValues: maxValues, MaxBytes: maxBytes})
		model := make(map[int]modelValue)
		bytes := func() (sum int64) {
			for _, existing := range model {
				sum += existing.bytes
			}
			return sum
		}
		put := func(t *rapid.T) {
			key := rapid.IntRange(0, 5).Draw(t, "key")
			next := modelValue{
				value: rapid.Int().Draw(t, "value"),
				bytes: rapid.Int64Range(0, 8).Draw(t, "bytes"),
			}
			if seconds := rapid.IntRange(0, 5).Draw(t, "seconds"); seconds > 0 {
				next.expires = now.Add(time.Duration(seconds) * time.Second)
			}
			existing, present := model[key]
			fits := bytes()-existing.bytes+next.bytes <= maxBytes && (present || len(model) < maxValues)
			updated := stored.Update(now, key, func(value int, ok bool) state.Change[int] {
				require.Equal(t, present, ok)
				require.Equal(t, existing.value, value)
				return state.Change[int]{
					Kind: state.ChangePut, Value: next.value, Bytes: next.bytes, Expires: next.expires,
				}
			})
			require.Equal(t, fits, updated)
			if fits {
				model[key] = next
			}
		}
		remove := func(t *rapid.T) {
			key := rapid.IntRange(0, 5).Draw(t, "key")
			delete(model, key)
			require.True(t, stored.Update(now, key, func(int, bool) state.Change[int] {
				return state.Change[int]{Kind: state.ChangeRemove}
			}))
		}
		advanceClock := func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
			for key, existing := range model {
				if !existing.expires.IsZero() && !now.Before(existing.expires) {
					delete(model, key)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    put,
			"remove": remove,
			"wait":   advanceClock,
			"": func(t *rapid.T) {
				require.Equal(t, len(model), stored.Len(now))
				for key, existing := range model {
					value, ok := stored.Get(now, key)
					require.True(t, ok, "a value was removed before it expired")
					require.Equal(t, existing.value, value)
				}
			},
		})
	})
}
