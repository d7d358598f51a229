package state_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabiport/wasabiport/state"
)

// modelValue is a value of the reference model of an ExpiringMap.
type modelValue struct {
	value   int
	bytes   int64
	expires time.Time
}

func TestExpiringMapKeepsToItsModel(t *testing.T) {
	const maxValues, maxBytes = 3, 10
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
		stored := state.NewExpiringMap[int, int](state.ExpiringMapConfig{MaxValues: maxValues, MaxBytes: maxBytes})
		model := make(map[int]modelValue)
		bytes := func() (sum int64) {
			for _, held := range model {
				sum += held.bytes
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
			held, present := model[key]
			fits := bytes()-held.bytes+next.bytes <= maxBytes && (present || len(model) < maxValues)
			stays := stored.Update(now, key, func(value int, ok bool) state.Change[int] {
				require.Equal(t, present, ok)
				require.Equal(t, held.value, value)
				return state.Change[int]{
					Kind: state.ChangePut, Value: next.value, Bytes: next.bytes, Expires: next.expires,
				}
			})
			require.Equal(t, fits, stays)
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
		wait := func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds")) * time.Second)
			for key, held := range model {
				if !held.expires.IsZero() && !now.Before(held.expires) {
					delete(model, key)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":    put,
			"remove": remove,
			"wait":   wait,
			"": func(t *rapid.T) {
				require.Equal(t, len(model), stored.Len(now))
				for key, held := range model {
					value, ok := stored.Get(now, key)
					require.True(t, ok, "a value was forgotten early")
					require.Equal(t, held.value, value)
				}
			},
		})
	})
}
