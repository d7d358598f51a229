package faults

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/operator"
)

// Session records what operators, callers and backend servers observe of a
// fleet as deterministic text, which is compared with a golden file.
type Session struct {
	fleet *Fleet
	text  strings.Builder
}

// NewSession returns a session of a fleet with no text.
func NewSession(f *Fleet) *Session { return &Session{fleet: f} }

// Text returns the recorded text.
func (s *Session) Text() []byte { return []byte(s.text.String()) }

func (s *Session) line(format string, args ...any) {
	fmt.Fprintf(&s.text, format+"\n", args...)
}

// Perform records the description of an action and runs it.
func (s *Session) Perform(description string, action func() error) error {
	s.line("%s", description)
	return action()
}

// Wait records a pause and sleeps in virtual time.
func (s *Session) Wait(duration time.Duration) {
	s.line("... %v later", duration)
	time.Sleep(duration)
}

// RecordNodes records the evaluated and accepted ticket and the readiness of
// every node.
func (s *Session) RecordNodes() {
	client := s.fleet.client(callerEndpoint)
	for i := range hostCount {
		var status operator.NodeStatus
		body, err := s.fleet.queryNode(client, i, "/v1/node")
		if err == nil {
			err = json.Unmarshal(body, &status)
		}
		if err != nil {
			s.line("  node %s: no answer", hostOf(i).Name)
			continue
		}
		s.line("  node %s: judged %d, accepted %d, %s", status.Host, status.Evaluated, status.Accepted, readiness(status))
	}
}

func readiness(status operator.NodeStatus) string {
	if status.Ready {
		return "ready"
	}
	return "not ready: " + status.NotReady
}

// RecordTicket records the status of a ticket that the node of a host reports.
func (s *Session) RecordTicket(host int, number state.TicketNumber) error {
	body, err := s.fleet.queryNode(s.fleet.client(callerEndpoint), host, fmt.Sprintf("/v1/tickets/%d", number))
	if err != nil {
		return err
	}
	var status operator.TicketStatus
	if err := json.Unmarshal(body, &status); err != nil {
		return err
	}
	s.line("  ticket %d, asked at %s: %s", number, hostOf(host).Name, status.Verdict)
	for _, validationError := range status.Errors {
		s.line("    fault at %s: %s", validationError.Path, validationError.Reason)
	}
	for _, zone := range status.Zones {
		s.line("    %s: hosts %d, in force %d, rejected %d, behind %d, not heard from %d",
			zone.Zone, zone.Hosts, zone.InForce, zone.Rejected, zone.Behind, zone.Unreported)
	}
	for _, zone := range status.UnseenZones {
		s.line("    %s can't be seen", zone)
	}
	return nil
}

// Send sends one call and records the answer that its caller receives.
func (s *Session) Send(kind CallKind, entry int, key string) {
	record := s.fleet.attempt(kind, entry, key)
	if !record.Answered {
		s.line("  %s at %s: no answer", kind.Name, hostOf(entry).Name)
		return
	}
	s.line("  %s at %s: status %d, %s %s", kind.Name, hostOf(entry).Name, record.Status, record.Outcome, record.Reason)
}

// RecordRuns records how many times a call with a key has run.
func (s *Session) RecordRuns(key string) {
	runs := 0
	for _, backend := range s.fleet.backends {
		runs += backend.Runs(key)
	}
	s.line("  runs: %d", runs)
}

// RecordCrashes records the total number of crashes of the backend servers.
func (s *Session) RecordCrashes() {
	crashes := 0
	for _, backend := range s.fleet.backends {
		crashes += backend.Crashes()
	}
	s.line("  crashes of backend servers: %d", crashes)
}
