package entry

import (
	"bytes"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/protocol/httpframe"
)

// http2Preface is the HTTP/2 client connection preface (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

const (
	// minReadBytes is the size of the buffer of a connection without a partial head. It
	// is not accounted for separately.
	minReadBytes = 1 << 10
	// maxEmptyLines is the number of empty lines before a request that are ignored, as
	// some clients end a body with one.
	maxEmptyLines = 2
	// http2Bytes is the memory of an HTTP/2 connection beyond that of its requests.
	http2Bytes = 256 << 10
)

// errNoMemory is returned by reads of a connection that is closed because there is no
// memory for its request.
var errNoMemory = errors.New("no memory for the request")

// readMode is what the next bytes of a connection are.
type readMode uint8

const (
	readHead readMode = iota
	// readBody reads a body of a known length.
	readBody
	// readChunked reads a chunked body.
	readChunked
	// readPlain passes everything on: HTTP/2, and what the HTTP server will refuse.
	readPlain
)

// inbound reads the requests of one connection. It passes a head on when it is complete,
// so that heads which never end take no more than their bytes, and it passes nothing on
// beyond the end of the request. Only the goroutine that reads accesses its fields; the
// HTTP server reads in one goroutine at a time.
type inbound struct {
	conn    *callerConn
	tracked *intake.Conn
	intake  *intakeConfig

	// mode is the mode of the bytes after the ready ones.
	mode readMode
	// buffered holds bytes that were read and not passed on. The first ready bytes can
	// be passed on.
	buffered []byte
	ready    int
	// base is the buffer that is kept between requests.
	base []byte
	// held is the part of buffered that tracked accounts for.
	held int64
	// head finds the end of the next head.
	head       httpframe.Head
	emptyLines int
	// headSince is the time of the first byte of the head, or zero. opened is the time at
	// which the connection was accepted.
	headSince, opened time.Time
	// rest is the number of bytes of a body that were not read.
	rest    int64
	chunked *httpframe.Chunked
	// bodySince is the time at which the body began.
	bodySince time.Time
	// failed is the error after which nothing more is read.
	failed error
	// served is set when a head was passed on.
	served bool
	// heads is the number of heads that were passed on.
	heads int
	// requestBytes is what tracked accounts for the running request, and nextBytes for the
	// one that follows it.
	requestBytes, nextBytes atomic.Int64
}

func newInbound(conn *callerConn, tracked *intake.Conn, config *intakeConfig) *inbound {
	return &inbound{conn: conn, tracked: tracked, intake: config, opened: time.Now()}
}

// enter notes a state that the HTTP server reports. No read is pending then.
func (in *inbound) enter(newState http.ConnState) {
	now := time.Now()
	switch newState {
	case http.StateActive:
		in.tracked.Enter(now, intake.PhaseRunning)
	case http.StateIdle:
		if in.ready == 0 {
			in.tracked.Enter(now, intake.PhaseIdle)
		}
		in.tracked.Release(in.requestBytes.Swap(in.nextBytes.Swap(0)))
	default:
	}
}

// read returns the next bytes.
func (in *inbound) read(p []byte) (int, error) {
	if in.failed != nil {
		return 0, in.failed
	}
	if in.ready == 0 && in.mode == readHead {
		if err := in.awaitHead(); err != nil {
			return 0, in.headError(err)
		}
	}
	if in.ready > 0 {
		n := copy(p, in.buffered[:in.ready])
		in.ready -= n
		in.consume(n)
		return n, nil
	}
	switch in.mode {
	case readBody:
		return in.readBody(p)
	case readChunked:
		return in.readChunked(p)
	default:
		return in.readPart(p)
	}
}

// consume removes the first bytes of the buffer.
func (in *inbound) consume(n int) {
	in.buffered = in.buffered[n:]
	if len(in.buffered) > 0 {
		return
	}
	in.buffered = in.base
	in.tracked.Release(in.held)
	in.held = 0
}

// readPart returns buffered bytes, or else bytes of the connection.
func (in *inbound) readPart(p []byte) (int, error) {
	if len(in.buffered) == 0 {
		return in.conn.Conn.Read(p)
	}
	n := copy(p, in.buffered)
	in.consume(n)
	return n, nil
}

// readBodyPart is readPart for a body, which the caller may send slowly.
func (in *inbound) readBodyPart(p []byte) (int, error) {
	if len(in.buffered) > 0 {
		return in.readPart(p)
	}
	in.tracked.EnterSince(intake.PhaseBody, in.bodySince)
	limited := in.conn.limitBody(time.Now().Add(in.intake.limits().IdleTimeout))
	n, err := in.conn.Conn.Read(p)
	if limited && err != nil {
		// The HTTP server would read again in order to reach the end of the body.
		in.failed = err
	}
	in.tracked.Enter(time.Now(), intake.PhaseRunning)
	return n, err
}

func (in *inbound) readBody(p []byte) (int, error) {
	n, err := in.readBodyPart(p[:min(int64(len(p)), in.rest)])
	in.rest -= int64(n)
	if in.rest == 0 {
		in.beginHead()
	}
	return n, err
}

func (in *inbound) readChunked(p []byte) (int, error) {
	n, err := in.readBodyPart(p)
	end, ended, chunkErr := in.chunked.Scan(p[:n])
	switch {
	case chunkErr != nil:
		return 0, chunkErr
	case ended:
		in.unread(p[end:n])
		in.beginHead()
		return end, nil
	default:
		return n, err
	}
}

// unread puts bytes back into the buffer.
func (in *inbound) unread(data []byte) {
	if len(data) > 0 {
		in.buffered = append(bytes.Clone(data), in.buffered...)
	}
}

// beginHead is called at the end of a request.
func (in *inbound) beginHead() {
	in.mode = readHead
	in.chunked = nil
	in.head = httpframe.Head{}
	in.headSince = time.Time{}
	in.emptyLines = 0
}

// mayHaveBody reports whether a head has a field that announces a body.
func mayHaveBody(head []byte) bool {
	for line := range bytes.Lines(head) {
		if hasPrefixFold(line, "Content-Length") || hasPrefixFold(line, "Transfer-Encoding") {
			return true
		}
	}
	return false
}

func hasPrefixFold(line []byte, prefix string) bool {
	return len(line) >= len(prefix) && bytes.EqualFold(line[:len(prefix)], []byte(prefix))
}
