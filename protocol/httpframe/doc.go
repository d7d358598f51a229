// Package httpframe finds the ends of the heads and of the chunked bodies of HTTP/1.1
// requests in a sequence of bytes. It does not parse them.
package httpframe
