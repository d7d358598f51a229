package httpmap

import (
	"net"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/coordination/call"
	"github.com/wasabiport/wasabiport/state"
)

// Maximum lengths of header values, in bytes.
const (
	maxKeyBytes    = 255
	maxCallerBytes = 255
)

// CheckRequest refuses invalid requests and requests that a call can't carry,
// such as CONNECT and protocol upgrades, which need a dedicated connection.
func CheckRequest(r *http.Request, maxFields int) *state.Refusal {
	switch {
	case r.Method == http.MethodConnect:
		return unsupported("the method CONNECT is not supported")
	case requestsUpgrade(r.Header):
		return unsupported("a change of protocol, as for websockets, is not supported")
	case !strings.HasPrefix(r.URL.Path, "/"):
		return badRequest("the request target must be a path")
	case hasDotSegment(r.URL.Path):
		return badRequest("the path must not hold the segments . or ..")
	case countFields(r.Header) > maxFields:
		return badRequest("the request has too many header fields")
	case !atMostOneValue(r.Header, HeaderIdempotencyKey, maxKeyBytes):
		return badRequest("Idempotency-Key must be given once, with at most 255 bytes")
	case !atMostOneValue(r.Header, HeaderCaller, maxCallerBytes):
		return badRequest("Wasabiport-Caller must be given once, with at most 255 bytes")
	case !atMostOneValue(r.Header, HeaderTimeout, maxKeyBytes):
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

// requestsUpgrade reports whether a request asks for a protocol upgrade. It
// ignores an upgrade to HTTP/2 (h2c), which a server need not accept.
func requestsUpgrade(header http.Header) bool {
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

func atMostOneValue(header http.Header, name string, maxBytes int) bool {
	values := header.Values(name)
	return len(values) == 0 || len(values) == 1 && len(values[0]) <= maxBytes
}

// RequestFields returns the header fields that are forwarded to the backend
// server. Expect is not, because the entry node has already responded to it.
func RequestFields(header http.Header) []call.Field {
	fields := EndToEndFields(header)
	kept := fields[:0]
	for _, field := range fields {
		if field.Name != "Expect" {
			kept = append(kept, field)
		}
	}
	return kept
}

// Host returns the host of a request in lower case and without the port.
func Host(r *http.Request) string {
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Fingerprint returns a hash of the method, the target and a prefix of the body.
// Equal requests have equal fingerprints.
func Fingerprint(r *http.Request, prefix []byte) state.Fingerprint {
	hash := xxhash.New()
	for _, part := range []string{r.Method, r.URL.RequestURI()} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(prefix)
	return state.Fingerprint(hash.Sum64())
}
