package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headClients is the number of hostile connections over HTTP/2, headStreams that of the
	// requests on each of them, and headFields that of the fields of each request.
	headClients = 15
	headStreams = 50
	headFields  = 1880
	// headTime is how long they are watched.
	headTime = 10 * time.Second
)

// nameChars are characters of the names of fields (RFC 9110, section 5.1).
const nameChars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*.^_`|~"

// playHeads lets a few clients send requests with many small header fields.
func playHeads(b *bed) (int, error) {
	page := strings.Repeat("0123456789abcdef", 5000/16)
	serve := func(e *exchange) bool {
		_, _ = io.Copy(io.Discard, e.request.Body)
		time.Sleep(72 * time.Millisecond)
		return e.ok(page)
	}
	entry := b.add("vest-a", "booking", clinicMemoryMB, 1000, 12, serve)
	b.add("vest-b", "booking", clinicMemoryMB, 1000, 12, serve)
	for range 4 {
		b.add("vest-a", "imaging", clinicMemoryMB, 1000, 12, serve)
	}
	b.configure(7, []string{"booking", "imaging"}, []route{
		{name: "r-scan", prefix: "/rizu4/", kind: "safe", service: "imaging", timeout: "8000ms", slo: "5000ms", priority: 1, attempts: 3},
	})
	if err := b.start(); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed atomic.Int64
	clients.Go(func() { b.callOrdinarily(entry, stop, &served, &failed) })
	if b.trouble {
		for n := range headClients {
			clients.Go(func() { b.sendHeads(entry, n) })
		}
	}
	peak := b.watchMemory(entry, headTime)
	running := entry.isRunning()
	close(stop)
	clients.Wait()
	b.record.say("ordinary client: %d answers, %d failures", served.Load(), failed.Load())
	b.record.say("%s: %.0f MiB of anonymous memory at most, %d MiB allowed; still running: %v", entry.name, peak, clinicMemoryMB, running)
	if peak > clinicMemoryMB || !running {
		return broken, nil
	}
	return held, nil
}

// sendHeads sends requests over HTTP/2 and opens no window for their answers.
func (b *bed) sendHeads(m *machine, n int) {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	if startHTTP2(conn) != nil {
		return
	}
	go answerHTTP2(conn, 9*time.Second)
	fields := [][2]string{
		{":method", "GET"},
		{":scheme", "http"},
		{":authority", siteHost},
		{":path", fmt.Sprintf("/rizu4/%d", n)},
		{"request-id", fmt.Sprintf("%016x", n)},
		{"deadline-ms", "8000"},
	}
	for i := range headFields {
		name := string([]byte{nameChars[i/len(nameChars)], nameChars[i%len(nameChars)]})
		if name != "te" { // has a meaning in HTTP/2
			fields = append(fields, [2]string{name, ""})
		}
	}
	block := http2Fields(fields...)
	for i := range headStreams {
		if _, err := conn.Write(http2Frame(frameHeaders, flagEndStream|flagEndHeaders, uint32(2*i+1), block)); err != nil {
			b.record.add("client %d: %v", n, err)
			return
		}
	}
	time.Sleep(9 * time.Second)
}
