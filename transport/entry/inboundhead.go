package entry

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wasabiport/wasabiport/coordination/intake"
	"github.com/wasabiport/wasabiport/protocol/httpframe"
)

const (
	// refusedBytes and refusedTime bound what is read from a client after its head was
	// refused, so that it can read the refusal before the connection is reset.
	refusedBytes = 256 << 10
	refusedTime  = 500 * time.Millisecond
)

// headTooLarge is the response to a head over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large"

// awaitHead reads until the next head is complete. An error of the connection keeps what
// was read, since the HTTP server interrupts a read that runs beside a request.
func (in *inbound) awaitHead() error {
	for {
		if intake.HeadTooLarge(in.head.Bytes, in.intake.limits().MaxHeaderBytes) {
			return in.refuseHead()
		}
		_, ended := in.head.Scan(in.buffered[in.head.Bytes:])
		switch {
		case in.isHTTP2():
			return in.acceptHTTP2()
		case in.mayBeHTTP2():
			if err := in.readMore(); err != nil {
				return err
			}
		case ended && in.head.Lines == 0 && in.emptyLines < maxEmptyLines:
			in.skipEmptyLine()
		case intake.HeadTooLarge(in.head.Bytes, in.intake.limits().MaxHeaderBytes):
		case ended:
			return in.acceptHead()
		default:
			if err := in.readMore(); err != nil {
				return err
			}
		}
	}
}

func (in *inbound) skipEmptyLine() {
	in.consume(in.head.Bytes)
	in.head = httpframe.Head{}
	in.emptyLines++
}

// readMore reads the next bytes of a head into the buffer.
func (in *inbound) readMore() error {
	limited := in.conn.limitHead(in.headDeadline())
	if err := in.makeRoom(limited); err != nil {
		return err
	}
	n, err := in.conn.Conn.Read(in.buffered[len(in.buffered):cap(in.buffered)])
	if n == 0 {
		return err
	}
	in.buffered = in.buffered[:len(in.buffered)+n]
	if in.headSince.IsZero() {
		in.headSince = time.Now()
	}
	if limited {
		in.tracked.EnterSince(intake.PhaseHead, in.headSince)
	}
	return nil
}

// headDeadline returns the time by which the next bytes of the head must arrive. A head
// that began beside the previous request has its time from the end of that request.
func (in *inbound) headDeadline() time.Time {
	limits := in.intake.limits()
	idleSince := in.conn.idleTime(in.opened)
	switch {
	case in.headSince.IsZero() && in.emptyLines == 0:
		return idleSince.Add(limits.IdleTimeout)
	case in.headSince.Before(idleSince):
		return idleSince.Add(limits.HeaderTimeout)
	default:
		return in.headSince.Add(limits.HeaderTimeout)
	}
}

// makeRoom makes room for a read in the buffer. A read beside a request is not refused,
// because that would end the request.
func (in *inbound) makeRoom(limited bool) error {
	if in.base == nil {
		in.base = make([]byte, 0, minReadBytes)
		in.buffered = append(in.base, in.buffered...)
	}
	if len(in.buffered) < cap(in.buffered) {
		return nil
	}
	size := max(minReadBytes, 2*len(in.buffered))
	if !in.hold(int64(size)-in.held, limited) {
		return errNoMemory
	}
	grown := make([]byte, len(in.buffered), size)
	copy(grown, in.buffered)
	in.buffered = grown
	return nil
}

// hold accounts for a larger buffer.
func (in *inbound) hold(bytes int64, limited bool) bool {
	if !limited {
		if in.tracked.TryHold(bytes) {
			in.held += bytes
		}
		return true
	}
	held, evicted := in.tracked.Hold(time.Now(), bytes)
	in.intake.close(evicted)
	if held {
		in.held += bytes
	}
	return held
}

// acceptHead passes a head on, unless the connection was evicted or there is no memory
// for its request.
func (in *inbound) acceptHead() error {
	if !in.holdRequest() || !in.tracked.Enter(time.Now(), intake.PhaseRunning) {
		return errNoMemory
	}
	in.served = true
	in.heads++
	in.ready = in.head.Bytes
	in.frameBody(in.buffered[:in.ready])
	if in.mode == readHead && in.conn.isActive() {
		in.conn.pipeline.offer(in.heads, in.buffered[:in.ready])
	}
	return nil
}

// holdRequest accounts for a request. It returns false if there is no memory for it. One
// that follows a request that runs is not refused, see makeRoom.
func (in *inbound) holdRequest() bool {
	size := intake.RequestBytes(in.head.Bytes, in.head.Lines)
	if in.conn.isActive() {
		if in.tracked.TryHold(size) {
			in.nextBytes.Add(size)
		}
		return true
	}
	held, evicted := in.tracked.Hold(time.Now(), size)
	in.intake.close(evicted)
	if held {
		in.requestBytes.Add(size)
	}
	return held
}

// frameBody determines where the body of a request ends, as the HTTP server does.
func (in *inbound) frameBody(head []byte) {
	if !mayHaveBody(head) {
		in.beginHead()
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	in.bodySince = time.Now()
	switch {
	case err != nil:
		// The HTTP server refuses the request and closes the connection.
		in.mode = readPlain
	case len(request.TransferEncoding) > 0:
		in.mode = readChunked
		in.chunked = httpframe.NewChunked(in.intake.limits().MaxHeaderBytes)
	case request.ContentLength > 0:
		in.mode = readBody
		in.rest = request.ContentLength
	default:
		in.beginHead()
	}
}

// isHTTP2 reports whether the connection starts with the HTTP/2 preface.
func (in *inbound) isHTTP2() bool {
	return !in.served && bytes.HasPrefix(in.buffered, []byte(http2Preface))
}

// mayBeHTTP2 reports whether more bytes show if the connection starts with the preface.
func (in *inbound) mayBeHTTP2() bool {
	return !in.served && len(in.buffered) > 0 && bytes.HasPrefix([]byte(http2Preface), in.buffered)
}

func (in *inbound) acceptHTTP2() error {
	held, evicted := in.tracked.Hold(time.Now(), http2Bytes)
	in.intake.close(evicted)
	if !held || !in.tracked.Enter(time.Now(), intake.PhaseRunning) {
		return errNoMemory
	}
	in.conn.setHTTP2()
	in.mode = readPlain
	return nil
}

// refuseHead responds to a head over the limit. Beside a request, it passes one byte on,
// which ends the read, and refuses the head when the HTTP server reads again.
func (in *inbound) refuseHead() error {
	if !in.conn.limitHead(time.Now().Add(refusedTime)) {
		in.ready = 1
		return nil
	}
	in.tracked.Enter(time.Now(), intake.PhaseRefused)
	in.intake.count(in.conn, intake.CauseHeadTooLarge)
	in.consume(len(in.buffered))
	if _, err := io.WriteString(in.conn, headTooLarge); err != nil {
		return errors.Wrap(err, "refuse a head")
	}
	if closer, ok := in.conn.Conn.(interface{ CloseWrite() error }); ok {
		// An error means that the connection is closed, which the next read reports.
		_ = closer.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, in.conn.Conn, refusedBytes)
	return io.EOF
}

// headError notes an error that ends the connection, and counts heads that were not
// complete in time. A deadline that is not that of the head only interrupts the read.
func (in *inbound) headError(err error) error {
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		in.failed = err
		return err
	}
	if in.conn.isActive() || time.Now().Before(in.headDeadline()) {
		return err
	}
	in.failed = err
	if !in.headSince.IsZero() {
		in.intake.count(in.conn, intake.CauseHeadTimeout)
	}
	return err
}
