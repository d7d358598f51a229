package faults_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/faults"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
)

// sessionVariable is the environment variable with the name of the session that
// a child process of the test records.
const sessionVariable = "WASABIPORT_SESSION"

// keyedCallDelay is longer than the time for which a guard that has just started
// refuses calls with an idempotency key, because another guard may hold their
// record.
const keyedCallDelay = 30 * time.Second

// keyBeforeStart is a UUIDv7 with a time before the start of the virtual clock.
const keyBeforeStart = "00dc6acf-ac00-7000-8000-000000000001"

type session struct {
	name string
	run  func(s *faults.Session, f *faults.Fleet) error
}

func sessions() []session {
	return []session{
		{"node joins", runNodeJoins},
		{"ticket accepted and rejected", runTickets},
		{"crossed updates", runCrossedUpdates},
		{"guard refuses", runRefusals},
		{"drain", runDrain},
		{"quarantine", runQuarantine},
	}
}

func runNodeJoins(s *faults.Session, f *faults.Fleet) error {
	if err := s.Perform("node host-5 dies", func() error { f.KillNode(5); return nil }); err != nil {
		return err
	}
	if err := s.Perform("ticket 2 is published", f.PublishTicket); err != nil {
		return err
	}
	s.Wait(time.Second)
	s.RecordNodes()
	if err := s.Perform("node host-5 starts", func() error { return f.StartNode(5) }); err != nil {
		return err
	}
	s.Wait(15 * time.Second)
	s.RecordNodes()
	return s.RecordTicket(5, 2)
}

func runTickets(s *faults.Session, f *faults.Fleet) error {
	if err := s.Perform("ticket 2, which names a missing service, is published", f.PublishInvalidTicket); err != nil {
		return err
	}
	s.Wait(5 * time.Second)
	s.RecordNodes()
	if err := s.RecordTicket(0, 2); err != nil {
		return err
	}
	if err := s.Perform("ticket 3 is published", f.PublishTicket); err != nil {
		return err
	}
	s.Wait(15 * time.Second)
	s.RecordNodes()
	return s.RecordTicket(4, 3)
}

func runCrossedUpdates(s *faults.Session, f *faults.Fleet) error {
	if err := s.Perform("tickets 2, 3 (bad) and 4 are published while half of the hosts hear late", f.CrossUpdates); err != nil {
		return err
	}
	s.Wait(15 * time.Second)
	s.RecordNodes()
	for _, number := range []state.TicketNumber{2, 3, 4} {
		if err := s.RecordTicket(5, number); err != nil {
			return err
		}
	}
	return nil
}

func runRefusals(s *faults.Session, _ *faults.Fleet) error {
	unknown := faults.Status
	unknown.Path = "/unknown"
	s.Send(unknown, 0, "")
	shortDeadline := faults.Status
	shortDeadline.Timeout = 5 * time.Millisecond
	s.Send(shortDeadline, 0, "")
	s.Wait(keyedCallDelay)
	key := faults.NewIdempotencyKey()
	s.Send(faults.Notice, 0, key)
	s.Send(faults.Notice, 3, key)
	s.RecordRuns(key)
	return s.Perform("a key that is older than the guards", func() error {
		s.Send(faults.Notice, 0, keyBeforeStart)
		s.RecordRuns(keyBeforeStart)
		return nil
	})
}

func runDrain(s *faults.Session, f *faults.Fleet) error {
	for host := range 6 {
		if err := f.Drain(host); err != nil {
			return err
		}
		time.Sleep(time.Second)
		s.Send(faults.Status, host, "")
	}
	s.RecordNodes()
	return nil
}

func runQuarantine(s *faults.Session, _ *faults.Fleet) error {
	crashing := faults.Status
	crashing.Crashes = true
	for range 3 {
		s.Send(crashing, 0, "")
		s.Wait(2 * time.Second)
	}
	s.RecordCrashes()
	s.Send(faults.Status, 0, "")
	s.Wait(keyedCallDelay)
	notice := faults.Notice
	notice.Crashes = true
	key := faults.NewIdempotencyKey()
	s.Send(notice, 0, key)
	s.Send(notice, 3, key)
	s.RecordRuns(key)
	return nil
}

// TestSessions compares recorded sessions with their golden files. Like the cells
// of the matrix, each session runs in a separate process.
func TestSessions(t *testing.T) {
	for _, session := range sessions() {
		t.Run(session.name, func(t *testing.T) {
			t.Parallel()
			arguments := []string{"-test.run=^TestSession$", "-test.timeout=2m"}
			for _, argument := range os.Args[1:] {
				if strings.HasPrefix(argument, "-update") {
					arguments = append(arguments, argument)
				}
			}
			command := exec.CommandContext(t.Context(), os.Args[0], arguments...)
			command.Env = append(os.Environ(), sessionVariable+"="+session.name)
			output, err := command.CombinedOutput()
			require.NoError(t, err, "%s", output)
		})
	}
}

// TestSession runs the session that is named in the environment variable.
// TestSessions starts it in a child process.
func TestSession(t *testing.T) {
	name := os.Getenv(sessionVariable)
	for _, session := range sessions() {
		if session.name == name {
			text := runSession(t, session)
			golden := goldie.New(t, goldie.WithNameSuffix(".golden"))
			golden.Assert(t, strings.ReplaceAll(name, " ", "-"), text)
			return
		}
	}
	require.Empty(t, name, "unknown session")
}

func runSession(t *testing.T, session session) (text []byte) {
	virtualtime.Test(t, func(t *testing.T) {
		f, err := faults.StartFleet(t.Context(), 1)
		defer f.Stop()
		require.NoError(t, err)
		require.NoError(t, f.PublishTicket())
		time.Sleep(15 * time.Second)
		s := faults.NewSession(f)
		s.RecordNodes()
		require.NoError(t, session.run(s, f))
		text = s.Text()
	})
	return text
}
