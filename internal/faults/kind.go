package faults

import (
	"net/http"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// Kind is a kind of work that callers send.
type Kind struct {
	Name       string
	Method     string
	Path       string
	Class      state.PriorityClass
	Idempotent bool
	// AnswerBytes asks for an answer of this length; 0 asks for an echo.
	AnswerBytes int
	// ChunkInterval is the pause of the backend server after each part of
	// its answer.
	ChunkInterval time.Duration
	// BodyBytes is the length of the request's body; a shorter one names the
	// call.
	BodyBytes int
	// Chunked sends the body, and gets the echo, without its length.
	Chunked bool
	// ServiceTime is how long a backend server takes for it.
	ServiceTime time.Duration
	// Timeout is how long the caller gives the call; 0 leaves it to the route.
	Timeout time.Duration
	// Crashes says that each backend server that runs it crashes.
	Crashes bool
}

// The kinds of work.
var (
	// Notice is urgent and must not run twice.
	Notice = Kind{
		Name:        "notice",
		Method:      http.MethodPost,
		Path:        "/notices",
		Class:       state.ClassCritical,
		ServiceTime: 40 * time.Millisecond,
	}
	// Status is a lookup that a person waits for.
	Status = Kind{
		Name:        "status",
		Method:      http.MethodGet,
		Path:        "/status",
		Class:       state.ClassHigh,
		Idempotent:  true,
		ServiceTime: 20 * time.Millisecond,
	}
	// Drawing is a large download.
	Drawing = Kind{
		Name:          "drawing",
		Method:        http.MethodGet,
		Path:          "/drawings",
		Class:         state.ClassNormal,
		Idempotent:    true,
		AnswerBytes:   300 << 10,
		ChunkInterval: 4 * time.Millisecond,
		ServiceTime:   20 * time.Millisecond,
	}
	// Browse is work that can wait. Its body goes both ways without a length,
	// so that only an end marker tells a whole one from a cut one.
	Browse = Kind{
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

// Kinds returns all kinds of work.
func Kinds() []Kind { return []Kind{Notice, Status, Drawing, Browse} }
