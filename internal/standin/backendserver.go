package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Request headers that a BackendServer understands.
const (
	// HeaderCallID carries the id of the call; runs are counted by it.
	HeaderCallID = "Wasabiport-Call-Id"
	// HeaderIdempotencyKey carries the caller's key; runs are counted by it.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCrash makes the backend server break its connection and lose all
	// calls that it runs, as a process does that crashes.
	HeaderCrash = "Standin-Crash"
	// HeaderAnswerBytes asks for an answer of this many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderChunkInterval asks for a pause, such as "4ms", after each part of
	// an answer, which has at most 16 KiB.
	HeaderChunkInterval = "Standin-Chunk-Interval"
	// HeaderServiceTime asks for another service time, such as "20ms".
	HeaderServiceTime = "Standin-Service-Time"
	// HeaderServedBy names the backend server in answers.
	HeaderServedBy = "Standin-Served-By"
)

const streamChunkBytes = 16 << 10

// BackendServerConfig holds the settings of a BackendServer.
type BackendServerConfig struct {
	// Name is sent in answers.
	Name string
	// Slots is the number of calls that run at the same time; more are shed
	// with status 503. 0 means no bound.
	Slots int
	// ServiceTime is the time for which a call holds its slot.
	ServiceTime time.Duration
	// ColdFactor multiplies ServiceTime when the server starts; it falls
	// evenly to 1 over ColdTime. Values below 1 mean 1.
	ColdFactor float64
	// ColdTime is the time for which the server is cold; 0 means none.
	ColdTime time.Duration
	// RestartTime is the time after a crash for which all calls fail.
	RestartTime time.Duration
}

// BackendServer is an http.Handler that stands in for a backend server. It
// echoes the body of a request, or answers HeaderAnswerBytes bytes. It is safe
// for use by many threads.
type BackendServer struct {
	config BackendServerConfig
	runs   runCounter

	mu       sync.Mutex
	started  time.Time
	running  int
	peak     int
	shedding bool
	crashed  chan struct{}
	crashes  int
	upAt     time.Time
}

// NewBackendServer returns a cold backend server.
func NewBackendServer(config BackendServerConfig) *BackendServer {
	return &BackendServer{
		config:  config,
		runs:    newRunCounter(),
		started: time.Now(),
		crashed: make(chan struct{}),
	}
}

// SetShedding makes the server decline all calls with status 503 before it
// runs them.
func (b *BackendServer) SetShedding(shedding bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedding = shedding
}

// Runs returns how often calls with the idempotency key or call id have run.
func (b *BackendServer) Runs(key string) int { return b.runs.of(key) }

// RunsTotal returns the number of calls that have started to run.
func (b *BackendServer) RunsTotal() int { return b.runs.sum() }

// RunKeys returns every key that has run, with its number of runs.
func (b *BackendServer) RunKeys() map[string]int { return b.runs.all() }

// Crashes returns the number of crashes.
func (b *BackendServer) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// PeakRunning returns the largest number of calls that ran at the same time.
func (b *BackendServer) PeakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// ServeHTTP runs a call.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := b.admit(time.Now())
	if !admitted.up {
		breakConnection(w)
		return
	}
	if admitted.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer b.leave()
	b.runs.add(r.Header.Get(HeaderIdempotencyKey), r.Header.Get(HeaderCallID))
	if r.Header.Get(HeaderCrash) != "" {
		b.crash(time.Now())
		breakConnection(w)
		return
	}
	if !b.serve(r, admitted) {
		breakConnection(w)
		return
	}
	b.answer(w, r)
}

// admission is the outcome of asking for a slot.
type admission struct {
	up   bool
	shed bool
	// crashed is closed when the process that runs the call crashes.
	crashed <-chan struct{}
	factor  float64
}

func (b *BackendServer) admit(now time.Time) admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.upAt) {
		return admission{}
	}
	if b.shedding || (b.config.Slots > 0 && b.running >= b.config.Slots) {
		return admission{up: true, shed: true}
	}
	b.running++
	b.peak = max(b.peak, b.running)
	return admission{up: true, crashed: b.crashed, factor: b.coldFactor(now)}
}

func (b *BackendServer) coldFactor(now time.Time) float64 {
	age := now.Sub(b.started)
	if b.config.ColdFactor <= 1 || age >= b.config.ColdTime {
		return 1
	}
	cold := 1 - float64(age)/float64(b.config.ColdTime)
	return 1 + cold*(b.config.ColdFactor-1)
}

func (b *BackendServer) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *BackendServer) crash(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	b.upAt = now.Add(b.config.RestartTime)
	b.started = b.upAt
	close(b.crashed)
	b.crashed = make(chan struct{})
}

// serve takes the service time. It returns false when the call is lost.
func (b *BackendServer) serve(r *http.Request, admitted admission) bool {
	serviceTime := b.config.ServiceTime
	if asked, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		serviceTime = asked
	}
	if serviceTime <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(float64(serviceTime) * admitted.factor))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-admitted.crashed:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (b *BackendServer) answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderServedBy, b.config.Name)
	interval, _ := time.ParseDuration(r.Header.Get(HeaderChunkInterval))
	paced := &pacedWriter{writer: w, interval: interval}
	if size, err := strconv.ParseInt(r.Header.Get(HeaderAnswerBytes), 10, 64); err == nil {
		w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
		writePattern(paced, size)
		return
	}
	if r.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	}
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	// An echo reads the request while it writes the answer. Servers of
	// HTTP/2 do that anyway and say that this is not supported.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if _, err := io.CopyBuffer(paced, r.Body, make([]byte, streamChunkBytes)); err != nil {
		// The echo would else end as if it were whole.
		breakConnection(w)
	}
}

// writePattern writes size bytes that repeat the letters a to z.
func writePattern(w io.Writer, size int64) {
	chunk := make([]byte, streamChunkBytes)
	for written := int64(0); written < size; {
		part := chunk[:min(int64(len(chunk)), size-written)]
		for i := range part {
			part[i] = PatternByte(written + int64(i))
		}
		n, err := w.Write(part)
		if err != nil {
			return
		}
		written += int64(n)
	}
}

// pacedWriter pauses after each write.
type pacedWriter struct {
	writer   http.ResponseWriter
	interval time.Duration
}

func (p *pacedWriter) Write(chunk []byte) (int, error) {
	n, err := p.writer.Write(chunk)
	if err != nil || p.interval <= 0 {
		return n, err
	}
	if err := http.NewResponseController(p.writer).Flush(); err != nil {
		return n, err
	}
	time.Sleep(p.interval)
	return n, nil
}

// PatternByte returns the byte at an offset of an answer that was asked for
// with HeaderAnswerBytes.
func PatternByte(offset int64) byte { return byte('a' + offset%26) }

// breakConnection closes the connection without an answer.
func breakConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.Close()
}
