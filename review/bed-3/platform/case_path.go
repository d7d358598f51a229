package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pathsSent is the number of requests.
const pathsSent = 20

// playPath sends requests with a path of its own to a service, and compares the path that
// the upstream gets.
func playPath(b *bed) (int, error) {
	var mu sync.Mutex
	sent, got := map[string]string{}, map[string]string{}
	serve := func(e *exchange) bool {
		_, _ = io.Copy(io.Discard, e.request.Body)
		mu.Lock()
		got[e.id()] = e.request.RequestURI
		mu.Unlock()
		b.record.add("upstream %s: runs %s: %s %s", e.up.id, e.id(), e.request.Method, e.request.RequestURI)
		return e.ok("done")
	}
	entry := b.add("vest-a", "permit-desk", 284, 1000, 6, serve)
	b.add("vest-b", "permit-desk", 284, 1000, 6, serve)
	b.add("vest-a", "records-vault", 284, 1000, 6, serve)
	b.add("vest-b", "records-vault", 284, 1000, 6, serve)
	b.configure(7, []string{"permit-desk", "records-vault"}, []route{
		{name: "r-notice", prefix: "/pufi791/", kind: "unsafe", service: "permit-desk", timeout: "2500ms", slo: "800ms", priority: 1, attempts: 2},
		{name: "r-history", prefix: "/lohu930/", kind: "safe", service: "records-vault", timeout: "8000ms", slo: "5000ms", priority: 2, attempts: 3},
	})
	if err := b.start(); err != nil {
		return cantRun, err
	}
	time.Sleep(3 * time.Second)
	// The paths name one document in the folder "streets": "permit|7/2" or "permit7#2".
	forms := []string{"/%s/streets/permit%%7C%d%%2F2", "/%s/streets/permit%d%%232"}
	if b.trouble {
		forms = []string{"/%s/streets/permit|%d%%2F2", "/%s/streets/permit%d#2"}
	}
	for n := range pathsSent {
		id, method, prefix := fmt.Sprintf("%016x", uint64(0x9c41)<<48+uint64(n)), "GET", "lohu930"
		if n%2 == 1 {
			method, prefix = "POST", "pufi791"
		}
		target := fmt.Sprintf(forms[n/2%2], prefix, n)
		mu.Lock()
		sent[id] = target
		mu.Unlock()
		status, err := sendPath(entry, method, target, id)
		b.record.add("client %s: %s %s: answer %d %v", id, method, target, status, err)
	}
	changed := 0
	mu.Lock()
	defer mu.Unlock()
	for id, target := range got {
		if sent[id] != target {
			changed++
		}
	}
	b.record.say("%d requests sent, %d run, %d of them with another path", len(sent), len(got), changed)
	switch {
	case changed > 0:
		return broken, nil
	case !b.trouble && len(got) == 0:
		return cantRun, nil
	default:
		return held, nil
	}
}

func sendPath(m *machine, method, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", m.outbound(), time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n", method, target, siteHost, id)
	if err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
