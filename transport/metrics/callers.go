package metrics

import (
	"sync/atomic"

	"github.com/wasabiport/wasabiport/state"
)

const (
	// maxCallerLabels is the maximum number of callers with their own time
	// series.
	maxCallerLabels = 200
	// otherCallers is the label value shared by all other callers.
	otherCallers = "other"
)

// callerLabels assigns label values to callers. To limit the cardinality, only
// the first max callers get their own.
type callerLabels struct {
	max   int64
	count atomic.Int64
	known *state.ShardedMap[state.CallerName, string]
}

func newCallerLabels(limit int64) *callerLabels {
	return &callerLabels{
		max:   limit,
		known: state.NewShardedMap[state.CallerName, string](state.DefaultShardCount),
	}
}

func (l *callerLabels) label(caller state.CallerName) string {
	if label, ok := l.known.Get(caller); ok {
		return label
	}
	if caller == "" || l.count.Load() >= l.max {
		return otherCallers
	}
	label := otherCallers
	l.known.Update(caller, func(known string, present bool) (string, bool) {
		switch {
		case present:
			label = known
		case l.count.Add(1) <= l.max:
			label = string(caller)
		default:
			return "", false
		}
		return label, true
	})
	return label
}
