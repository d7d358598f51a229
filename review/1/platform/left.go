package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// uploadBytes is the length of the body of a request.
	uploadBytes = 200 << 10
	// stay is how long a client that leaves early waits, and goneSlack the time after
	// which none of its requests may reach an upstream.
	stay      = 300 * time.Millisecond
	goneSlack = 500 * time.Millisecond
	// leavingShare is one client in so many.
	leavingShare = 4
	// maxGone is the number of requests that count as a few.
	maxGone = 5
)

// left lets some clients leave while their requests wait for a slot of an upstream.
func left(f *fleet, trouble bool) (verdict, error) {
	f.configure(1, []string{"permit-desk", "records-vault"}, []route{
		{"r-upload", "/upload/", "unsafe", "records-vault", 8 * time.Second, 2},
	})
	for _, placed := range [][2]string{
		{"gl-north", "permit-desk"},
		{"gl-central", "permit-desk"},
		{"gl-south", "records-vault"},
	} {
		m, err := f.addMachine(placed[0], placed[1])
		if err != nil {
			return verdict{}, err
		}
		m.upstream.work = func(*http.Request) time.Duration { return 880 * time.Millisecond }
	}
	if err := f.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	for i := range 160 {
		c := f.newClient(f.machines[i%2], false)
		f.clients.Add(1)
		go func() {
			defer f.clients.Done()
			c.upload(trouble && i%leavingShare == 0)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	f.clients.Wait()
	time.Sleep(2 * time.Second)
	requests, _ := f.log.all()
	leavers, gone := 0, 0
	for _, sent := range requests {
		if !sent.Left {
			continue
		}
		leavers++
		for _, at := range f.log.reachedBy(sent.ID) {
			if at.Sub(sent.Answered) > goneSlack {
				gone++
			}
		}
	}
	text := fmt.Sprintf("%d requests, %d clients left, %d of their requests reached an upstream over half a second later", len(requests), leavers, gone)
	return verdict{broken: gone > maxGone, text: text}, nil
}

// upload sends one request on a connection of its own. A client that leaves closes the
// connection after a while.
func (c *client) upload(leaves bool) {
	done := request{ID: c.fleet.nextID(), Machine: c.machine.name, Method: http.MethodPost, Path: "/upload/7"}
	conn, err := net.DialTimeout("tcp", c.fleet.at(c.machine, "outbound"), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	done.Sent = time.Now()
	if leaves {
		time.AfterFunc(stay, func() { _ = conn.Close() })
	}
	err = c.exchangeUpload(conn, &done)
	done.Answered = time.Now()
	if err != nil {
		done.Error = cause(err)
		done.Left = leaves
	}
	c.fleet.log.add(done)
}

func (c *client) exchangeUpload(conn net.Conn, done *request) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	sent, err := http.NewRequestWithContext(ctx, done.Method, "http://"+domain+done.Path, strings.NewReader(strings.Repeat("x", uploadBytes)))
	if err != nil {
		return err
	}
	sent.Header.Set("Request-Id", done.ID)
	sent.Header.Set("Deadline-Ms", "15000")
	_ = conn.SetDeadline(time.Now().Add(15 * time.Second))
	if err := sent.Write(conn); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	done.Status, done.Stamp = response.StatusCode, response.Header.Get("Response-Stamp")
	if _, err := io.ReadAll(response.Body); err != nil {
		return err
	}
	done.Whole = true
	return nil
}
