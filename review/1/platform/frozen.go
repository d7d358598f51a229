package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// clientRate is the number of requests a second at each of the two machines.
	clientRate = 50
	// routeTimeout is the timeout of the route under test, and answerSlack the time
	// after it within which the rule asks for an answer.
	routeTimeout = 500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// freezeTime is the length of the freeze.
	freezeTime = 5 * time.Second
)

// frozen freezes one of nine machines, which has the only upstream of a service, while
// the clients on two other machines, which are in touch, send requests to it.
func frozen(f *fleet, trouble bool) (verdict, error) {
	f.configure(1, []string{"permit-desk", "records-vault"}, []route{
		{"r-status", "/status/", "safe", "permit-desk", 2 * time.Second, 2},
		{"r-parcel", "/parcel/", "safe", "records-vault", routeTimeout, 2},
	})
	zones := []string{"gl-north", "gl-central", "gl-south"}
	for i := range 9 {
		service := "permit-desk"
		if i == 2 {
			service = "records-vault"
		}
		if _, err := f.addMachine(zones[i%len(zones)], service); err != nil {
			return verdict{}, err
		}
	}
	f.machines[2].upstream.work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	for _, m := range f.machines[:2] {
		f.newClient(m, true).load(clientRate, 12*time.Second, http.MethodGet, "/parcel/7", 4*time.Second)
	}
	time.Sleep(4 * time.Second)
	if trouble {
		victim := f.machines[2]
		f.log.notef("%s freezes", victim.name)
		victim.signal(syscall.SIGSTOP)
		time.Sleep(freezeTime)
		victim.signal(syscall.SIGCONT)
		f.log.notef("%s wakes", victim.name)
	}
	f.clients.Wait()
	requests, _ := f.log.all()
	open, late := 0, 0
	for _, sent := range requests {
		taken := sent.Answered.Sub(sent.Sent)
		if taken > routeTimeout {
			open++
		}
		if taken > routeTimeout+answerSlack || sent.Error != "" {
			late++
		}
	}
	text := fmt.Sprintf("%d requests, %d without an answer at the timeout of their route, %d of these without one half a second later", len(requests), open, late)
	return verdict{broken: late >= 8 && 2*late > open, text: text}, nil
}
