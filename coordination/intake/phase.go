package intake

import "time"

// Phase is what a connection is doing.
type Phase uint8

// The phases of a connection.
const (
	// PhaseNew is a connection that has sent nothing.
	PhaseNew Phase = iota
	// PhaseHead is a connection whose request head is not complete.
	PhaseHead
	// PhaseRunning is a connection with a request that is not waiting for its client.
	PhaseRunning
	// PhaseBody is a connection whose request waits for a part of its body.
	PhaseBody
	// PhaseIdle is a connection between two requests.
	PhaseIdle
	// PhaseRefused is a connection that is closed once its client has read a refusal.
	PhaseRefused
)

const (
	// headGrace is the time within which the clients of the own host send a head. Only
	// one that takes longer is closed before idle connections.
	headGrace = 200 * time.Millisecond
	// bodyGrace and writeGrace are times within which such a client sends a body and reads
	// what was written. Only one that takes longer is closed at all. Uploads of 360 KB
	// take 0.3 s on a link of 10 Mbit/s.
	bodyGrace  = 2 * time.Second
	writeGrace = 2 * time.Second
)

// Ranks of connections, the first to close first.
const (
	rankRefused = iota
	rankSlowHead
	rankNew
	rankIdle
	rankHead
	rankSlowBody
	rankUnread
	// rankKept connections are not closed.
	rankKept
)

// rankOf returns the rank of a connection that has been in a phase for a time, and that
// has been blocked in a write for a time.
func rankOf(phase Phase, age, blocked time.Duration) int {
	switch {
	case phase == PhaseRefused:
		return rankRefused
	case phase == PhaseHead && age >= headGrace:
		return rankSlowHead
	case phase == PhaseNew:
		return rankNew
	case phase == PhaseIdle:
		return rankIdle
	case phase == PhaseHead:
		return rankHead
	case phase == PhaseBody && age >= bodyGrace:
		return rankSlowBody
	case blocked >= writeGrace:
		return rankUnread
	default:
		return rankKept
	}
}
