package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// scanBytes is the size of an answer; those of the site have up to 1,700,000 bytes.
	scanBytes = 280_000
	// slowReaders is the number of clients that read slowly at the same time, and
	// readerBytes what each of them reads in readerPause.
	slowReaders = 400
	readerBytes = 2 << 10
	readerPause = 200 * time.Millisecond
	// readersTime is how long they are watched.
	readersTime = 10 * time.Second
	// clinicMemoryMB is the memory of a machine of the site.
	clinicMemoryMB = 134
)

// playMemory lets many clients of one machine read their answers slowly.
func playMemory(b *bed) (int, error) {
	scan := strings.Repeat("0123456789abcdef", scanBytes/16)
	serve := func(e *exchange) bool {
		_, _ = io.Copy(io.Discard, e.request.Body)
		time.Sleep(40 * time.Millisecond)
		return e.ok(scan)
	}
	entry := b.add("vest-a", "booking", clinicMemoryMB, 1000, 12, serve)
	b.add("vest-b", "booking", clinicMemoryMB, 1000, 12, serve)
	for range 4 {
		b.add("vest-a", "imaging", clinicMemoryMB, 1000, 12, serve)
	}
	b.configure(7, []string{"booking", "imaging"}, []route{
		{name: "r-scan", prefix: "/rizu4/", kind: "download", service: "imaging", timeout: "30000ms", slo: "5000ms", priority: 1, attempts: 3},
	})
	if err := b.start(); err != nil {
		return cantRun, err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, failed, begun atomic.Int64
	clients.Go(func() { b.callOrdinarily(entry, stop, &served, &failed) })
	for n := range slowReaders {
		clients.Go(func() { b.readSlowly(entry, n, &begun, stop) })
		time.Sleep(5 * time.Millisecond)
	}
	peak := b.watchMemory(entry, readersTime)
	running := entry.isRunning()
	close(stop)
	clients.Wait()
	b.record.say("%d clients with an answer; ordinary client: %d answers, %d failures", begun.Load(), served.Load(), failed.Load())
	b.record.say("%s: %.0f MiB of anonymous memory at most, %d MiB allowed; still running: %v", entry.name, peak, clinicMemoryMB, running)
	switch {
	case peak > clinicMemoryMB || !running:
		return broken, nil
	case begun.Load() == 0:
		return cantRun, nil
	default:
		return held, nil
	}
}

// watchMemory returns the largest amount of anonymous memory of a process.
func (b *bed) watchMemory(m *machine, duration time.Duration) float64 {
	peak := 0.0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		used := m.memory("RssAnon")
		peak = max(peak, used)
		b.record.add("%s: %.1f MiB of anonymous memory, %.1f MiB resident", m.name, used, m.memory("VmRSS"))
	}
	return peak
}

// callOrdinarily sends single requests, one after the other.
func (b *bed) callOrdinarily(m *machine, stop <-chan struct{}, served, failed *atomic.Int64) {
	client := http.Client{Timeout: 5 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		request, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/rizu4/%d", m.outbound(), n), nil)
		request.Host = siteHost
		request.Header.Set("Request-Id", fmt.Sprintf("%016x", uint64(0x5b00000000000000)+uint64(n)))
		request.Header.Set("Deadline-Ms", "5000")
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			failed.Add(1)
			continue
		}
		served.Add(1)
	}
}

// readSlowly asks for a scan and reads the answer slowly, or at once without the trouble.
func (b *bed) readSlowly(m *machine, n int, begun *atomic.Int64, stop <-chan struct{}) {
	dialer := net.Dialer{Timeout: time.Second, Control: smallWindow}
	conn, err := dialer.Dial("tcp", m.outbound())
	if err != nil {
		b.record.add("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /rizu4/%d HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nDeadline-Ms: 30000\r\n\r\n", n, siteHost, uint64(0x9c41)<<48+uint64(n))
	if err != nil {
		return
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	if err != nil {
		b.record.add("client %d: no answer: %v", n, err)
		return
	}
	b.record.add("client %d: answer %d", n, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		return
	}
	begun.Add(1)
	read := 0
	for {
		part, err := io.CopyN(io.Discard, response.Body, readerBytes)
		read += int(part)
		if err != nil {
			b.record.add("client %d: %d bytes: %v", n, read, err)
			return
		}
		if !b.trouble {
			continue
		}
		select {
		case <-stop:
			return
		case <-time.After(readerPause):
		}
	}
}
