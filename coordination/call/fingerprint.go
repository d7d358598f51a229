package call

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabiport/wasabiport/state"
)

// MaxFingerprintBytes is the number of leading body bytes that the fingerprint
// covers. An entry node reads that many bytes, or the whole body if it is
// shorter, before it sends the head of the call.
const MaxFingerprintBytes = 4 << 10

// FingerprintOf returns the fingerprint of a request to service. It is
// independent of the caller, so that the same request is recognized from any
// caller.
func FingerprintOf(service state.ServiceName, method, target string, body []byte) state.Fingerprint {
	body = body[:min(len(body), MaxFingerprintBytes)]
	hash := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return state.Fingerprint(hash.Sum64())
}
