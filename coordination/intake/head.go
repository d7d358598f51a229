package intake

const (
	// headSlackBytes is how much larger than the limit a head may be, since clients count
	// the request line and the line ends differently. It is that of package net/http.
	headSlackBytes = 4 << 10
	// fieldBytes approximates the parsed form of a header field without its text, in the
	// request, in the call and in the message to the guard.
	fieldBytes = 512
)

// HeadTooLarge reports whether a head exceeds the limit. A head that is not complete yet
// may not grow further then.
func HeadTooLarge(bytes, maxBytes int) bool { return bytes > maxBytes+headSlackBytes }

// RequestBytes returns the memory that a request takes while it runs, without its body.
func RequestBytes(headBytes, lines int) int64 { return int64(headBytes) + int64(lines)*fieldBytes }
