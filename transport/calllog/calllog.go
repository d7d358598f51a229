// Package calllog logs the calls that an engineer may be asked about: those
// that failed, were refused, were cut or needed more than one attempt. Calls
// that go well are counted by package metrics alone.
package calllog

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/wasabiport/wasabiport/transport/entry"
	"github.com/wasabiport/wasabiport/transport/events"
)

// Bounds of the lines that a node logs on calls.
const (
	linesPerSecond = 20
	burstLines     = 100
)

// Observer logs calls and passes them on to another observer.
type Observer struct {
	entry.Observer
	logger  logr.Logger
	limiter *rate.Limiter
	// leftOut counts the lines that were not written since the last one.
	leftOut atomic.Int64
}

// New returns an observer that passes on to next.
func New(next entry.Observer, logger logr.Logger) *Observer {
	return &Observer{Observer: next, logger: logger, limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

// Ended logs a call if it did not simply go well.
func (o *Observer) Ended(ended entry.Ended) {
	o.Observer.Ended(ended)
	if ended.Reason == 0 && !ended.Cut && len(ended.Attempts) <= 1 {
		return
	}
	if !o.limiter.AllowN(time.Now(), 1) {
		o.leftOut.Add(1)
		return
	}
	events.Log(o.logger, events.CallEnded{
		Call:     ended.ID,
		Route:    ended.Route,
		Class:    ended.Class,
		Ticket:   ended.Ticket,
		Took:     ended.Took.Round(time.Microsecond),
		Outcome:  outcome(ended),
		Reason:   reason(ended),
		Detail:   ended.Detail,
		Attempts: attempts(ended.Attempts),
		LeftOut:  o.leftOut.Swap(0),
	})
}

func outcome(ended entry.Ended) string {
	if ended.Cut {
		return "cut"
	}
	return ended.Outcome.String()
}

func reason(ended entry.Ended) string {
	if ended.Reason == 0 {
		return ""
	}
	return ended.Reason.String()
}

// attempts returns one line for all attempts, in order.
func attempts(made []entry.Attempt) string {
	var line strings.Builder
	for i, attempt := range made {
		if i > 0 {
			line.WriteString("; ")
		}
		fmt.Fprintf(&line, "%s %s ", attempt.BackendServer, attempt.Took.Round(time.Millisecond))
		if attempt.Refusal == nil {
			line.WriteString("answered")
			continue
		}
		fmt.Fprintf(&line, "%s %s", attempt.Refusal.Reason, attempt.Refusal.Outcome)
	}
	return line.String()
}
