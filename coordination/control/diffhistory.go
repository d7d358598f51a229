package control

import (
	"slices"
	"sync"

	"github.com/wasabiport/wasabiport/state"
)

// Limits of the history of differences.
const (
	maxHistoryDiffs = 128
	maxHistoryBytes = 1 << 20
)

// diffHistory holds the differences between the latest configurations of the local
// node, in order. Each starts where the one before ends.
type diffHistory struct {
	mu    sync.Mutex
	diffs []state.SnapshotDiff
	bytes int
}

// add appends a difference. Out of two differences that two goroutines add in the
// wrong order, the older one is dropped.
func (h *diffHistory) add(diff state.SnapshotDiff) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if last := len(h.diffs) - 1; last >= 0 {
		newest := h.diffs[last].Version.Evaluated
		if diff.Version.Evaluated <= newest {
			return
		}
		if diff.Base > newest {
			h.diffs, h.bytes = nil, 0
		}
	}
	h.diffs = append(h.diffs, diff)
	h.bytes += diff.ApproximateBytes()
	for len(h.diffs) > maxHistoryDiffs || h.bytes > maxHistoryBytes {
		h.bytes -= h.diffs[0].ApproximateBytes()
		h.diffs = h.diffs[1:]
	}
}

// latest returns the difference to the newest configuration from the one before.
func (h *diffHistory) latest() (state.SnapshotDiff, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.diffs) == 0 {
		return state.SnapshotDiff{}, false
	}
	return h.diffs[len(h.diffs)-1], true
}

// since returns the difference to the newest configuration from the newest one that
// is not after a ticket. It returns false if the history does not reach back so
// far.
func (h *diffHistory) since(ticket state.TicketNumber) (state.SnapshotDiff, bool) {
	diffs := h.diffsSince(ticket)
	if len(diffs) == 0 {
		return state.SnapshotDiff{}, false
	}
	return state.MergeDiffs(diffs), true
}

func (h *diffHistory) diffsSince(ticket state.TicketNumber) []state.SnapshotDiff {
	h.mu.Lock()
	defer h.mu.Unlock()
	first := len(h.diffs) - 1
	for first >= 0 && h.diffs[first].Base > ticket {
		first--
	}
	if first < 0 {
		return nil
	}
	return slices.Clone(h.diffs[first:])
}
