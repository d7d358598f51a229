package control

import (
	"sync"
	"time"
)

// inquiryTimeout is the time after which an unanswered question is put to the
// next peer.
const inquiryTimeout = 500 * time.Millisecond

// inquiries sees to it that the same thing is asked of one peer at a time.
type inquiries struct {
	mu         sync.Mutex
	ticketsAt  time.Time
	hostListAt time.Time
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
