package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// request is one attempt of a client.
type request struct {
	ID      string
	Machine string
	Method  string
	Path    string
	Sent    time.Time
	// Kept is set if the connection has carried a request before.
	Kept bool
	// Left is set if the client closed its connection before it had an answer.
	Left bool
	// Answered is zero if the client got no answer.
	Answered time.Time
	Status   int
	// Bytes is the number of bytes that arrived on a kept connection.
	Bytes int
	Stamp string
	Whole bool
	Error string
}

// record collects what was sent, answered and run.
type record struct {
	mu       sync.Mutex
	started  time.Time
	requests []request
	runs     []*run
	notes    []note
	// reached holds the times at which requests arrived at upstreams, by id.
	reached map[string][]time.Time
}

type note struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{started: time.Now(), reached: make(map[string][]time.Time)} }

func (r *record) notef(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, note{at: time.Now(), text: fmt.Sprintf(format, values...)})
	fmt.Printf("%8.3f s  %s\n", time.Since(r.started).Seconds(), r.notes[len(r.notes)-1].text)
}

func (r *record) reach(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reached[id] = append(r.reached[id], time.Now())
}

func (r *record) reachedBy(id string) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.reached[id]...)
}

func (r *record) begin(started run) *run {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := &started
	r.runs = append(r.runs, current)
	return current
}

func (r *record) end(current *run, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current.Ended, current.Result = time.Now(), result
}

func (r *record) add(done request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, done)
}

// all returns copies of the requests and the runs.
func (r *record) all() ([]request, []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := append([]request(nil), r.requests...)
	runs := make([]run, 0, len(r.runs))
	for _, current := range r.runs {
		runs = append(runs, *current)
	}
	return requests, runs
}

// write writes the events in the order of time.
func (r *record) write(path string) error {
	requests, runs := r.all()
	var lines []note
	for _, sent := range requests {
		lines = append(lines, note{sent.Sent, fmt.Sprintf("request %s: %s %s sent to %s", sent.ID, sent.Method, sent.Path, sent.Machine)})
		if sent.Answered.IsZero() {
			continue
		}
		text := fmt.Sprintf("request %s: status %d, stamp %q, whole %t", sent.ID, sent.Status, sent.Stamp, sent.Whole)
		if sent.Error != "" {
			text = fmt.Sprintf("request %s: no answer, %d bytes: %s", sent.ID, sent.Bytes, sent.Error)
		}
		lines = append(lines, note{sent.Answered, text})
	}
	for _, current := range runs {
		lines = append(lines, note{current.Arrived, fmt.Sprintf("request %s: %s begins to run it", current.ID, current.Upstream)})
		if !current.Ended.IsZero() {
			lines = append(lines, note{current.Ended, fmt.Sprintf("request %s: its run at %s ends: %s", current.ID, current.Upstream, current.Result)})
		}
	}
	r.mu.Lock()
	for id, times := range r.reached {
		for _, at := range times {
			lines = append(lines, note{at, fmt.Sprintf("request %s: reaches an upstream", id)})
		}
	}
	lines = append(lines, r.notes...)
	r.mu.Unlock()
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at.Before(lines[j].at) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Fprintf(file, "%9.3f s  %s\n", line.at.Sub(r.started).Seconds(), line.text)
	}
	return file.Close()
}
