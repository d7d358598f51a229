package standin

import (
	"slices"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// hostHistory holds the published host lists. The latest one that is older than
// lag is visible to readers.
type hostHistory struct {
	lag    time.Duration
	lists  []publishedHosts
	frozen *state.HostList
}

type publishedHosts struct {
	at   time.Time
	list state.HostList
}

func (h *hostHistory) publish(now time.Time, hosts []state.Host) {
	version := uint64(1)
	if len(h.lists) > 0 {
		version = h.lists[len(h.lists)-1].list.Version + 1
	}
	h.lists = append(h.lists, publishedHosts{
		at:   now,
		list: state.HostList{Version: version, Hosts: slices.Clone(hosts)},
	})
}

// visible returns the list that is visible to readers and the time until the
// next one becomes visible; 0 means that there is none.
func (h *hostHistory) visible(now time.Time) (state.HostList, time.Duration) {
	if h.frozen != nil {
		return *h.frozen, 0
	}
	var seen state.HostList
	for i, published := range h.lists {
		wait := published.at.Add(h.lag).Sub(now)
		if wait > 0 {
			h.lists = h.lists[max(0, i-1):]
			return seen, wait
		}
		seen = published.list
	}
	return seen, 0
}

func (h *hostHistory) freeze(now time.Time, frozen bool) {
	if !frozen {
		h.frozen = nil
		return
	}
	list, _ := h.visible(now)
	h.frozen = &list
}
