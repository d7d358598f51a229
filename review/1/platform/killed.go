package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// maxLost is the number of requests from kept connections that may end without an
// answer.
const maxLost = 3

// killed kills the process of one machine while upstreams, which have sent the head
// of their answer, still work on the body. It counts the kept connections that the
// two other machines, which are in touch, close without an answer.
func killed(f *fleet, trouble bool) (verdict, error) {
	f.configure(1, []string{"permit-desk", "records-vault"}, []route{
		{"r-bundle", "/bundle/", "download", "records-vault", 4 * time.Second, 2},
	})
	for _, placed := range [][2]string{
		{"gl-north", "permit-desk"},
		{"gl-central", "permit-desk"},
		{"gl-south", "records-vault"},
		{"gl-south", "records-vault"},
	} {
		m, err := f.addMachine(placed[0], placed[1])
		if err != nil {
			return verdict{}, err
		}
		m.upstream.headFirst = true
		m.upstream.work = func(*http.Request) time.Duration { return 500 * time.Millisecond }
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var stopped atomic.Bool
	for i := range 24 {
		kept := &keptClient{client: f.newClient(f.machines[i%2], true)}
		f.clients.Add(1)
		go func() {
			defer f.clients.Done()
			for !stopped.Load() {
				kept.send(http.MethodGet, "/bundle/7")
			}
			kept.close()
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		victim := f.machines[2]
		f.log.notef("%s is killed", victim.name)
		victim.signal(syscall.SIGKILL)
	}
	time.Sleep(3 * time.Second)
	stopped.Store(true)
	f.clients.Wait()
	requests, runs := f.log.all()
	ran := make(map[string]bool)
	for _, r := range runs {
		ran[r.ID] = true
	}
	lost := 0
	for _, sent := range requests {
		if sent.Kept && sent.Error != "" && sent.Bytes == 0 && ran[sent.ID] {
			lost++
		}
	}
	text := fmt.Sprintf("%d requests, %d passed on from a kept connection that was closed without an answer", len(requests), lost)
	return verdict{broken: lost > maxLost, text: text}, nil
}
