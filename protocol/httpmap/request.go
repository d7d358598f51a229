package httpmap

import (
	"net"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Bounds of single header values, in bytes.
const (
	maxKeyBytes    = 255
	maxCallerBytes = 255
)

// CheckRequest refuses requests that break a rule or that need what calls
// don't have, such as a connection of their own.
func CheckRequest(r *http.Request, maxFields int) *state.Refusal {
	switch {
	case r.Method == http.MethodConnect:
		return unsupported("the method CONNECT is not supported")
	case upgrades(r.Header):
		return unsupported("a change of protocol, as for websockets, is not supported")
	case !strings.HasPrefix(r.URL.Path, "/"):
		return badRequest("the request target must be a path")
	case hasDotSegment(r.URL.Path):
		return badRequest("the path must not hold the segments . or ..")
	case countFields(r.Header) > maxFields:
		return badRequest("the request has too many header fields")
	case !singleValue(r.Header, HeaderIdempotencyKey, maxKeyBytes):
		return badRequest("Idempotency-Key must be given once, with at most 255 bytes")
	case !singleValue(r.Header, HeaderCaller, maxCallerBytes):
		return badRequest("Wasabiport-Caller must be given once, with at most 255 bytes")
	case !singleValue(r.Header, HeaderTimeout, maxKeyBytes):
		return badRequest("Wasabiport-Timeout must be given once")
	default:
		return nil
	}
}

func unsupported(detail string) *state.Refusal {
	return state.NotRun(state.RefusedUnsupported, detail)
}

func badRequest(detail string) *state.Refusal {
	return state.NotRun(state.RefusedBadRequest, detail)
}

// upgrades reports whether a request asks for another protocol. An offer of
// HTTP/2 may be ignored.
func upgrades(header http.Header) bool {
	for _, protocol := range header.Values("Upgrade") {
		if !strings.EqualFold(strings.TrimSpace(protocol), "h2c") {
			return true
		}
	}
	return false
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func countFields(header http.Header) int {
	count := 0
	for _, values := range header {
		count += len(values)
	}
	return count
}

func singleValue(header http.Header, name string, maxBytes int) bool {
	values := header.Values(name)
	return len(values) == 0 || len(values) == 1 && len(values[0]) <= maxBytes
}

// RequestFields returns the header fields that go on to the backend server.
// Expect is not among them, as the entry node has answered it.
func RequestFields(header http.Header) []call.Field {
	fields := Fields(header)
	kept := fields[:0]
	for _, field := range fields {
		if field.Name != "Expect" {
			kept = append(kept, field)
		}
	}
	return kept
}

// Host returns the host that a request names, lower case and without port.
func Host(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Fingerprint identifies requests with the same method, target and body
// prefix.
func Fingerprint(r *http.Request, prefix []byte) state.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(prefix)
	return state.Fingerprint(hash.Sum64())
}
