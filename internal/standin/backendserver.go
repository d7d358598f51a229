package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Headers that a BackendServer reads from requests or sets in answers.
const (
	// HeaderCallID carries the id of the call. Runs are counted per id.
	HeaderCallID = "Wasabiport-Call-Id"
	// HeaderIdempotencyKey carries the caller's key. Runs are counted per key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCrash simulates a crash of the process: the backend server aborts
	// the connection and loses all running calls.
	HeaderCrash = "Standin-Crash"
	// HeaderAnswerBytes requests an answer of this many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
	// HeaderChunkInterval requests a pause, such as "4ms", after each chunk of
	// the answer. A chunk has at most 16 KiB.
	HeaderChunkInterval = "Standin-Chunk-Interval"
	// HeaderServiceTime overrides the service time, for example with "20ms".
	HeaderServiceTime = "Standin-Service-Time"
	// HeaderServedBy carries the name of the backend server in answers.
	HeaderServedBy = "Standin-Served-By"
)

const streamChunkBytes = 16 << 10

// BackendServerConfig holds the settings of a BackendServer.
type BackendServerConfig struct {
	// Name is sent in HeaderServedBy.
	Name string
	// Slots limits the calls that run concurrently; further calls are shed with
	// status 503. 0 means no limit.
	Slots int
	// ServiceTime is the time for which a call occupies its slot.
	ServiceTime time.Duration
	// ColdFactor multiplies ServiceTime when the server starts. It decreases
	// linearly to 1 over ColdTime. Values below 1 mean 1.
	ColdFactor float64
	// ColdTime is the duration of the cold start; 0 means none.
	ColdTime time.Duration
	// RestartTime is the time after a crash during which all calls fail.
	RestartTime time.Duration
}

// BackendServer is an http.Handler that simulates a backend server. It echoes
// the request body, or answers with as many bytes as HeaderAnswerBytes requests.
// It is safe for concurrent use.
type BackendServer struct {
	config BackendServerConfig
	runs   runCounter

	mu          sync.Mutex
	started     time.Time
	running     int
	peak        int
	shedding    bool
	crashed     chan struct{}
	crashes     int
	availableAt time.Time
}

// NewBackendServer returns a backend server at the start of its cold start.
func NewBackendServer(config BackendServerConfig) *BackendServer {
	return &BackendServer{
		config:  config,
		runs:    newRunCounter(),
		started: time.Now(),
		crashed: make(chan struct{}),
	}
}

// SetShedding makes the server reject all calls with status 503 without running
// them.
func (b *BackendServer) SetShedding(shedding bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shedding = shedding
}

// Runs returns the number of runs of calls with an idempotency key or call id.
func (b *BackendServer) Runs(key string) int { return b.runs.count(key) }

// RunsTotal returns the total number of calls that have started to run.
func (b *BackendServer) RunsTotal() int { return b.runs.totalRuns() }

// RunsByKey returns every key that has run, with its number of runs.
func (b *BackendServer) RunsByKey() map[string]int { return b.runs.byKey() }

// Crashes returns the number of crashes.
func (b *BackendServer) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// PeakRunning returns the largest number of calls that ran concurrently.
func (b *BackendServer) PeakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// ServeHTTP runs a call.
func (b *BackendServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	admitted := b.admit(time.Now())
	if !admitted.available {
		abortConnection(w)
		return
	}
	if admitted.shed {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer b.release()
	b.runs.add(r.Header.Get(HeaderIdempotencyKey), r.Header.Get(HeaderCallID))
	if r.Header.Get(HeaderCrash) != "" {
		b.crash(time.Now())
		abortConnection(w)
		return
	}
	if !b.process(r, admitted) {
		abortConnection(w)
		return
	}
	b.answer(w, r)
}

// admission is the result of a request for a slot.
type admission struct {
	available bool
	shed      bool
	// crashed is closed when the simulated process that runs the call crashes.
	crashed <-chan struct{}
	factor  float64
}

func (b *BackendServer) admit(now time.Time) admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.availableAt) {
		return admission{}
	}
	if b.shedding || (b.config.Slots > 0 && b.running >= b.config.Slots) {
		return admission{available: true, shed: true}
	}
	b.running++
	b.peak = max(b.peak, b.running)
	return admission{available: true, crashed: b.crashed, factor: b.coldFactor(now)}
}

func (b *BackendServer) coldFactor(now time.Time) float64 {
	age := now.Sub(b.started)
	if b.config.ColdFactor <= 1 || age >= b.config.ColdTime {
		return 1
	}
	cold := 1 - float64(age)/float64(b.config.ColdTime)
	return 1 + cold*(b.config.ColdFactor-1)
}

func (b *BackendServer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *BackendServer) crash(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.crashes++
	b.availableAt = now.Add(b.config.RestartTime)
	b.started = b.availableAt
	close(b.crashed)
	b.crashed = make(chan struct{})
}

// process waits for the service time. It returns false if the call is lost in a
// crash or canceled.
func (b *BackendServer) process(r *http.Request, admitted admission) bool {
	serviceTime := b.config.ServiceTime
	if requested, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		serviceTime = requested
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
	// The echo reads the request while it writes the answer. The error is ignored
	// because HTTP/2 is always full duplex and reports the call as unsupported.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if _, err := io.CopyBuffer(paced, r.Body, make([]byte, streamChunkBytes)); err != nil {
		// Otherwise the truncated echo would end like a complete one.
		abortConnection(w)
	}
}

// writePattern writes size bytes of the repeated letters a to z.
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

// pacedWriter flushes and pauses after each write.
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

// PatternByte returns the expected byte at an offset of an answer that was
// requested with HeaderAnswerBytes.
func PatternByte(offset int64) byte { return byte('a' + offset%26) }

// abortConnection closes the connection without an answer.
func abortConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = connection.Close()
}
