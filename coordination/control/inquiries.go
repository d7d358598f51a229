package control

import (
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// inquiryTimeout is the time after which an unanswered question is put to the
// next peer.
const inquiryTimeout = 500 * time.Millisecond

// inquiries sees to it that the same thing is asked of one peer at a time.
type inquiries struct {
	mu         sync.Mutex
	ticketsAt  time.Time
	hostListAt time.Time
	tickets    lag
	hostList   lag
}

// sourcePatience is how long a node that watches the source waits for what a
// peer has heard before it asks the peer.
const sourcePatience = 400 * time.Millisecond

// lag is since when a node has been at a version that a peer is ahead of.
type lag struct {
	version uint64
	since   time.Time
}

func (l *lag) lasts(now time.Time, version uint64) bool {
	if l.since.IsZero() || l.version != version {
		l.version, l.since = version, now
	}
	return now.Sub(l.since) >= sourcePatience
}

// behindTickets reports whether a node that is at a ticket has been behind for
// so long that the source is not to be waited for.
func (i *inquiries) behindTickets(now time.Time, judged state.TicketNumber) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.tickets.lasts(now, uint64(judged))
}

// behindHostList does the same for the host list.
func (i *inquiries) behindHostList(now time.Time, version uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.hostList.lasts(now, version)
}

func (i *inquiries) mayAskTickets(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return mayAsk(now, &i.ticketsAt)
}

func (i *inquiries) mayAskHostList(now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return mayAsk(now, &i.hostListAt)
}

func mayAsk(now time.Time, askedAt *time.Time) bool {
	if !askedAt.IsZero() && now.Sub(*askedAt) < inquiryTimeout {
		return false
	}
	*askedAt = now
	return true
}

// ticketsAnswered allows the next question for tickets.
func (i *inquiries) ticketsAnswered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ticketsAt = time.Time{}
}

// hostListAnswered allows the next question for the host list.
func (i *inquiries) hostListAnswered() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.hostListAt = time.Time{}
}
