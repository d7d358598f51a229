package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// keptClient sends its requests on one connection.
type keptClient struct {
	*client
	conn   net.Conn
	reader *bufio.Reader
	// received counts the bytes that have arrived on the connection.
	received int
}

// Read reads from the connection.
func (k *keptClient) Read(p []byte) (int, error) {
	n, err := k.conn.Read(p)
	k.received += n
	return n, err
}

func (k *keptClient) close() {
	if k.conn != nil {
		_ = k.conn.Close()
	}
}

// keptDeadline is the deadline of the requests of a keptClient.
const keptDeadline = 5 * time.Second

func (k *keptClient) send(method, path string) {
	id := k.fleet.nextID()
	done := request{ID: id, Machine: k.machine.name, Method: method, Path: path, Sent: time.Now(), Kept: k.conn != nil}
	before := k.received
	if err := k.exchange(&done); err != nil {
		done.Error = cause(err)
		k.close()
		k.conn = nil
	}
	done.Bytes = k.received - before
	done.Answered = time.Now()
	k.fleet.log.add(done)
}

func (k *keptClient) exchange(done *request) error {
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.fleet.at(k.machine, "outbound"), time.Second)
		if err != nil {
			return err
		}
		k.conn, k.reader = conn, bufio.NewReader(k)
	}
	_ = k.conn.SetDeadline(time.Now().Add(keptDeadline))
	body := ""
	if done.Method == http.MethodPost {
		body = "notice " + done.ID
	}
	head := []string{
		done.Method + " " + done.Path + " HTTP/1.1", "Host: " + domain, "Request-Id: " + done.ID,
		fmt.Sprintf("Deadline-Ms: %d", keptDeadline.Milliseconds()),
	}
	if body != "" {
		head = append(head, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	if _, err := io.WriteString(k.conn, strings.Join(head, "\r\n")+"\r\n\r\n"+body); err != nil {
		return err
	}
	response, err := http.ReadResponse(k.reader, nil)
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
