package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// slots and queueLength are those of an upstream of the site.
	slots       = 6
	queueLength = 24
	// heartbeat is the time between two writes of an upstream to the store.
	heartbeat = 1500 * time.Millisecond
)

// run is one request that an upstream has begun to work on.
type run struct {
	ID       string
	Upstream string
	Method   string
	Path     string
	Caller   string
	Arrived  time.Time
	Ended    time.Time
	Result   string
}

// upstream is a stand-in for an application server that registers itself in the
// store.
type upstream struct {
	id, service, zone, address string
	born                       int64
	store                      *store
	log                        *record
	slots                      chan struct{}
	waiting                    atomic.Int64
	// work is how long a request runs.
	work func(r *http.Request) time.Duration
	// headFirst is set if the head of an answer is sent as soon as a request runs.
	headFirst bool

	mu       sync.Mutex
	sequence int
}

func startUpstream(log *record, store *store, id, service, zone, address string) (*upstream, error) {
	u := &upstream{
		id: id, service: service, zone: zone, address: address, born: time.Now().UnixMilli(),
		store: store, log: log, slots: make(chan struct{}, slots),
		work: func(*http.Request) time.Duration { return 50 * time.Millisecond },
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	u.beat()
	go func() {
		for range time.Tick(heartbeat) {
			u.beat()
		}
	}()
	return u, nil
}

// beat writes the entry of the upstream to the store.
func (u *upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": u.service, "addr": u.address, "zone": u.zone, "version": "v1", "slots": slots,
		"state": "ready", "cold-left": "0ms", "seq": u.sequence, "born": u.born,
	})
	u.store.put("servers/"+u.id, entry)
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	id := r.Header.Get("Request-Id")
	header.Set("Request-Id", id)
	if r.URL.Path == "/healthz" {
		header.Set("Instance-Id", u.id)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.id {
		header.Set("Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.log.reach(id)
	ctx := r.Context()
	if millis, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(millis*float64(time.Millisecond)))
		defer cancel()
	}
	if !u.takeSlot(ctx) {
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.log.notef("request %s: its body at %s is not complete: %v", id, u.id, err)
		return
	}
	u.execute(ctx, w, r, id)
}

// takeSlot waits for a slot. It returns false when the queue is full or the
// request ends before.
func (u *upstream) takeSlot(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	defer u.waiting.Add(-1)
	if u.waiting.Add(1) > queueLength {
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *upstream) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	current := u.log.begin(run{
		ID: id, Upstream: u.id, Method: r.Method, Path: r.RequestURI,
		Caller: r.Header.Get("Caller-Service"), Arrived: time.Now(),
	})
	if u.headFirst {
		w.Header().Set("Response-Stamp", stampOf(u.id, id))
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	timer := time.NewTimer(u.work(r))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		if r.Context().Err() != nil {
			u.log.end(current, "dropped, as its connection was closed")
			return
		}
		u.log.end(current, "504 at its deadline")
		if u.headFirst {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Response-Stamp", stampOf(u.id, id))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Stamp", stampOf(u.id, id))
	body := bodyOf(u.id, id)
	if !u.headFirst {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	_, _ = io.WriteString(w, body)
	u.log.end(current, "200")
}

func stampOf(upstream, id string) string { return "stamp-" + upstream + "-" + id }

func bodyOf(upstream, id string) string { return fmt.Sprintf("answer of %s to %s\n", upstream, id) }
