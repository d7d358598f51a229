package httpframe

import (
	"github.com/cockroachdb/errors"
)

// ErrChunked means that a chunked body is malformed or that a line of it is too long.
var ErrChunked = errors.New("malformed chunked body")

const (
	// maxSizeLineBytes is the maximum size of the line before a chunk, with its
	// extensions. It is that of package net/http.
	maxSizeLineBytes = 4 << 10
	// maxSizeDigits is the maximum number of digits of the size of a chunk.
	maxSizeDigits = 16
)

type chunkedState uint8

const (
	inSize chunkedState = iota
	inExtension
	inSizeEnd
	inData
	inDataReturn
	inDataEnd
	inTrailer
)

// Chunked finds the end of a chunked body.
type Chunked struct {
	state chunkedState
	// size is the rest of the current chunk, and digits the number of digits of its size.
	size      uint64
	digits    int
	lineBytes int
	trailer   Head

	maxTrailerBytes int
}

// NewChunked returns a scanner for a body whose trailer has at most maxTrailerBytes.
func NewChunked(maxTrailerBytes int) *Chunked { return &Chunked{maxTrailerBytes: maxTrailerBytes} }

// Scan reads the next bytes. It returns the number of bytes up to the end of the body, or
// false if they don't hold the end.
func (c *Chunked) Scan(data []byte) (n int, ended bool, err error) {
	for n < len(data) {
		switch c.state {
		case inData:
			n += c.skipData(len(data) - n)
		case inTrailer:
			part, ended := c.trailer.Scan(data[n:])
			if c.trailer.Bytes > c.maxTrailerBytes {
				return n, false, ErrChunked
			}
			return n + part, ended, nil
		default:
			if !c.step(data[n]) {
				return n, false, ErrChunked
			}
			n++
		}
	}
	return n, false, nil
}

func (c *Chunked) skipData(available int) int {
	skipped := min(uint64(available), c.size)
	c.size -= skipped
	if c.size == 0 {
		c.state = inDataReturn
	}
	return int(skipped)
}

// step reads a byte of the lines around the data. It returns false if the body is
// malformed.
func (c *Chunked) step(b byte) bool {
	switch c.state {
	case inDataReturn:
		c.state = inDataEnd
		return b == '\r'
	case inDataEnd:
		c.state = inSize
		return b == '\n'
	case inSizeEnd:
		return b == '\n' && c.endSizeLine()
	default:
		return c.stepSizeLine(b)
	}
}

func (c *Chunked) stepSizeLine(b byte) bool {
	c.lineBytes++
	if c.lineBytes > maxSizeLineBytes {
		return false
	}
	digit, isDigit := hexDigit(b)
	switch {
	case b == '\r':
		c.state = inSizeEnd
	case b == '\n':
		return false
	case c.state == inExtension:
	case isDigit:
		c.digits++
		c.size = c.size<<4 | digit
		return c.digits <= maxSizeDigits
	default:
		c.state = inExtension
	}
	return true
}

func (c *Chunked) endSizeLine() bool {
	valid := c.digits > 0
	c.state = inData
	if c.size == 0 {
		c.state = inTrailer
	}
	c.digits, c.lineBytes = 0, 0
	return valid
}

func hexDigit(b byte) (value uint64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	default:
		return 0, false
	}
}
