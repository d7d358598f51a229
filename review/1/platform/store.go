package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key with its value, or the removal of a key.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the metadata store of the platform: one revision
// counter, linearizable answers, nothing is lost.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]storeItem), changed: make(chan struct{})}
}

func (s *store) write(change func(revision uint64) storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.history = append(s.history, change(s.revision))
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte) {
	s.write(func(revision uint64) storeItem {
		created := revision
		if known, ok := s.items[key]; ok {
			created = known.Created
		}
		item := storeItem{Key: key, Value: value, Revision: revision, Created: created}
		s.items[key] = item
		return item
	})
}

// ServeHTTP answers the read calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/wasabiport/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/wasabiport/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/wasabiport/kv-watch":
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	item, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision,
		"created": item.Created, "lease": item.Lease, "current-rev": revision,
	})
}

// pageSize is the number of items in one answer.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "has-more": more, "current-rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, item := range s.history {
			if item.Revision > after && strings.HasPrefix(item.Key, query.Get("prefix")) {
				events = append(events, item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, map[string]any{"events": events, "current-rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
