package httpframe

import "bytes"

// Head finds the end of a request head, which is an empty line.
type Head struct {
	// Lines is the number of complete lines, and Bytes that of bytes, including the
	// empty line.
	Lines, Bytes int
	// lineBytes is the number of bytes of the current line, and last the last of them.
	lineBytes int
	last      byte
}

// Scan reads the next bytes. It returns the number of bytes up to the end of the head, or
// false if they don't hold the end. The head is empty if its first line is empty.
func (h *Head) Scan(data []byte) (n int, ended bool) {
	for n < len(data) {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			h.add(data[n:])
			return len(data), false
		}
		h.add(data[n : n+end])
		n += end + 1
		h.Bytes++
		if h.lineBytes == 0 || h.lineBytes == 1 && h.last == '\r' {
			return n, true
		}
		h.Lines++
		h.lineBytes = 0
	}
	return n, false
}

func (h *Head) add(data []byte) {
	if len(data) == 0 {
		return
	}
	h.Bytes += len(data)
	h.lineBytes += len(data)
	h.last = data[len(data)-1]
}
