package controlloop_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/coordination/sourcereading"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/controlloop"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/source"
)

// failingSource fails every read with err and records the times of the ticket
// reads.
type failingSource struct {
	mu    sync.Mutex
	err   error
	reads []time.Time
}

func (s *failingSource) Tickets(context.Context, state.TicketNumber, time.Duration) ([]state.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, time.Now())
	return nil, s.err
}

func (s *failingSource) Hosts(context.Context, sourcereading.Query) (state.HostList, error) {
	return state.HostList{}, s.err
}

// recordingPeers records the messages that are sent.
type recordingPeers struct {
	mu   sync.Mutex
	sent []control.Message
}

func (p *recordingPeers) Send(_ state.HostName, message control.Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = append(p.sent, message)
	return nil
}

func (p *recordingPeers) MaintainSession(ctx context.Context, _ state.Host) { <-ctx.Done() }

func startLoop(t *testing.T, source controlloop.Source) (*controlloop.Loop, *recordingPeers, *bytes.Buffer) {
	plane := control.NewPlane(
		control.Config{Self: state.Host{Name: "self", Zone: "north"}, Incarnation: 1},
		state.NewSnapshotStore(1), rand.New(rand.NewPCG(1, 1)))
	var log bytes.Buffer
	logger, err := events.NewLogger(&log, events.FormatText, events.LevelInfo)
	require.NoError(t, err)
	loop, peers := controlloop.New(plane, source, discardReads{}, logger), &recordingPeers{}
	loop.Start(peers)
	return loop, peers, &log
}

func TestFailingSourceBacksOffAndIsLoggedOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		source := &failingSource{err: errors.New("refused")}
		loop, _, log := startLoop(t, source)
		time.Sleep(10 * time.Minute)
		loop.Shutdown()
		require.Greater(t, len(source.reads), 10)
		require.Less(t, len(source.reads), 100, "at most one read per 30 s once the backoff has grown")
		require.Equal(t, 2, strings.Count(log.String(), "source-failed"), "one for the tickets and one for the host list")
	})
}

func TestThrottledSourceIsNotReadBeforeRetryAfter(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		throttled := &source.ThrottledError{Status: "429", Delay: time.Minute}
		source := &failingSource{err: errors.Wrap(throttled, "read")}
		loop, _, _ := startLoop(t, source)
		time.Sleep(20 * time.Minute)
		loop.Shutdown()
		require.Greater(t, len(source.reads), 2)
		for i := range source.reads[1:] {
			require.GreaterOrEqual(t, source.reads[i+1].Sub(source.reads[i]), time.Minute)
		}
	})
}

func TestLeavingIsAnnounced(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		loop, peers, _ := startLoop(t, &failingSource{err: errors.New("refused")})
		loop.Connected("peer")
		loop.Leave()
		loop.Shutdown()
		var announced []state.HostPhase
		for _, message := range peers.sent {
			if updates, ok := message.(control.HostUpdates); ok {
				announced = append(announced, updates.Updates[0].Phase)
			}
		}
		require.Equal(t, []state.HostPhase{state.HostLeaving}, announced)
	})
}

// discardReads is a ReadObserver that does nothing.
type discardReads struct{}

func (discardReads) TicketsRead(sourcereading.Reason)  {}
func (discardReads) HostListRead(sourcereading.Reason) {}

// oneTicketSource returns one ticket and a host list with one host.
type oneTicketSource struct{}

func (oneTicketSource) Tickets(ctx context.Context, after state.TicketNumber, _ time.Duration) ([]state.Ticket, error) {
	if after == 0 {
		return []state.Ticket{{Number: 1}}, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (oneTicketSource) Hosts(ctx context.Context, query sourcereading.Query) (state.HostList, error) {
	if query.After == 0 {
		return state.HostList{Version: 1, Hosts: []state.Host{{Name: "self", Zone: "north"}}}, nil
	}
	<-ctx.Done()
	return state.HostList{}, ctx.Err()
}

func TestReadinessIsLoggedOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		loop, _, log := startLoop(t, oneTicketSource{})
		time.Sleep(time.Minute)
		loop.Shutdown()
		require.Equal(t, 1, strings.Count(log.String(), "msg=node-ready event=102 ticket=1 "), log.String())
	})
}

// hangingSource never answers the first read of the host list, like a source that
// crashes after accepting it, and fails the first read of the tickets.
type hangingSource struct {
	mu        sync.Mutex
	hostReads int
	tickets   int
}

func (s *hangingSource) Tickets(context.Context, state.TicketNumber, time.Duration) ([]state.Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tickets++; s.tickets == 1 {
		return nil, errors.New("refused")
	}
	return nil, nil
}

func (s *hangingSource) Hosts(ctx context.Context, _ sourcereading.Query) (state.HostList, error) {
	s.mu.Lock()
	s.hostReads++
	first := s.hostReads == 1
	s.mu.Unlock()
	if first {
		<-ctx.Done()
		return state.HostList{}, ctx.Err()
	}
	return state.HostList{Version: 1, Hosts: []state.Host{{Name: "self", Zone: "north"}}}, nil
}

func (s *hangingSource) hostReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostReads
}

// A read that the source accepted before an outage may never be answered. The
// loop must cancel it once another read shows that the source has recovered.
func TestUnansweredReadIsCanceledWhenSourceRecovers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		source := &hangingSource{}
		loop, _, _ := startLoop(t, source)
		time.Sleep(time.Minute)
		require.Greater(t, source.hostReadCount(), 1)
		loop.Shutdown()
	})
}
