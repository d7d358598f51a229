package faults

import (
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// CallKind describes one type of call in the workload.
type CallKind struct {
	Name       string
	Method     string
	Path       string
	Class      state.PriorityClass
	Idempotent bool
	// AnswerBytes is the requested length of the answer; 0 requests an echo of
	// the body.
	AnswerBytes int
	// ChunkInterval is the time that the backend server pauses after each
	// chunk of its answer.
	ChunkInterval time.Duration
	// BodyBytes is the length to which the request body, which identifies the
	// call, is padded.
	BodyBytes int
	// Chunked sends the body, and receives the echo, without Content-Length.
	Chunked bool
	// ServiceTime is the time that a backend server spends on the call.
	ServiceTime time.Duration
	// Timeout is the timeout that the caller requests; 0 uses that of the route.
	Timeout time.Duration
	// Crashes makes every backend server that runs the call crash.
	Crashes bool
}

// The call kinds of the workload.
var (
	// Notice is an urgent, non-idempotent call.
	Notice = CallKind{
		Name:        "notice",
		Method:      http.MethodPost,
		Path:        "/notices",
		Class:       state.ClassCritical,
		ServiceTime: 40 * time.Millisecond,
	}
	// Status is an interactive lookup.
	Status = CallKind{
		Name:        "status",
		Method:      http.MethodGet,
		Path:        "/status",
		Class:       state.ClassHigh,
		Idempotent:  true,
		ServiceTime: 20 * time.Millisecond,
	}
	// Drawing is a large download.
	Drawing = CallKind{
		Name:          "drawing",
		Method:        http.MethodGet,
		Path:          "/drawings",
		Class:         state.ClassNormal,
		Idempotent:    true,
		AnswerBytes:   300 << 10,
		ChunkInterval: 4 * time.Millisecond,
		ServiceTime:   20 * time.Millisecond,
	}
	// Browse is background work. Its body is sent and echoed without a length,
	// so that only the end marker distinguishes a complete body from a
	// truncated one.
	Browse = CallKind{
		Name:          "browse",
		Method:        http.MethodPost,
		BodyBytes:     150 << 10,
		ChunkInterval: 4 * time.Millisecond,
		Chunked:       true,
		Path:          "/browse",
		Class:         state.ClassBackground,
		Idempotent:    true,
		ServiceTime:   40 * time.Millisecond,
	}
)

// CallKinds returns all call kinds.
func CallKinds() []CallKind { return []CallKind{Notice, Status, Drawing, Browse} }
